"""What a node knows of each upstream: speed, success, pauses, leaving, reachability, warm-up."""

from foxtailshunt.upstreams._latency_estimator import LatencyEstimator
from foxtailshunt.upstreams._latency_reports import LatencyReport, RouteLatency
from foxtailshunt.upstreams._leaving_upstreams import LeavingUpstreams
from foxtailshunt.upstreams._load_hint import LoadReport
from foxtailshunt.upstreams._outlier_detector import OutlierDetector
from foxtailshunt.upstreams._request_result import RequestResult
from foxtailshunt.upstreams._start_limiter import ColdBound, StartLimit, StartLimiter
from foxtailshunt.upstreams._unreachable_upstreams import UnreachableUpstreams
from foxtailshunt.upstreams._upstream_health import UpstreamHealth, summarize_health
from foxtailshunt.upstreams._upstream_pauses import UpstreamPauses
from foxtailshunt.upstreams._warmup_states import WarmupStates
from foxtailshunt.upstreams._warmup_tracker import WarmupTracker

__all__ = [
    "ColdBound",
    "LatencyEstimator",
    "LatencyReport",
    "LeavingUpstreams",
    "StartLimit",
    "StartLimiter",
    "LoadReport",
    "OutlierDetector",
    "RequestResult",
    "RouteLatency",
    "UnreachableUpstreams",
    "UpstreamHealth",
    "UpstreamPauses",
    "WarmupStates",
    "WarmupTracker",
    "summarize_health",
]
