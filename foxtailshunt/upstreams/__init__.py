"""What a node knows of each upstream: speed, pauses, leaving, reachability, warm-up."""

from foxtailshunt.upstreams._latency_estimator import LatencyEstimator
from foxtailshunt.upstreams._leaving_upstreams import LeavingUpstreams
from foxtailshunt.upstreams._start_limiter import ColdBound, StartLimit, StartLimiter
from foxtailshunt.upstreams._unreachable_upstreams import UnreachableUpstreams
from foxtailshunt.upstreams._upstream_pauses import UpstreamPauses
from foxtailshunt.upstreams._warmup_states import WarmupStates
from foxtailshunt.upstreams._warmup_tracker import WarmupTracker

__all__ = [
    "ColdBound",
    "LatencyEstimator",
    "LeavingUpstreams",
    "StartLimit",
    "StartLimiter",
    "UnreachableUpstreams",
    "UpstreamPauses",
    "WarmupStates",
    "WarmupTracker",
]
