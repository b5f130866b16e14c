"""What a node knows of each upstream: speed, pauses, leaving, reachability."""

from foxtailshunt.upstreams._latency_estimator import LatencyEstimator
from foxtailshunt.upstreams._leaving_upstreams import LeavingUpstreams
from foxtailshunt.upstreams._unreachable_upstreams import UnreachableUpstreams
from foxtailshunt.upstreams._upstream_pauses import UpstreamPauses

__all__ = [
    "LatencyEstimator",
    "LeavingUpstreams",
    "UnreachableUpstreams",
    "UpstreamPauses",
]
