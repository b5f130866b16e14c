"""Summarizes what a node knows of the upstreams of each service, for metrics."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass

from foxtailshunt.upstreams._latency_estimator import LatencyEstimator
from foxtailshunt.upstreams._outlier_detector import OutlierDetector


@dataclass(slots=True)
class UpstreamHealth:
    """The upstreams of one service that a node sends to."""

    #: Number of ejected upstreams.
    ejected: int = 0
    #: Number of ejections so far.
    ejections: int = 0
    #: Highest share of failures of an upstream.
    highest_failure_share: float = 0.0
    #: Highest base latency ratio of an upstream.
    highest_slow_ratio: float = 0.0


def summarize_health(
    detectors: Iterable[OutlierDetector],
    known: Collection[str],
    latencies: LatencyEstimator,
    now: float,
) -> dict[str, UpstreamHealth]:
    """Return the health of the upstreams by service.

    :param detectors: the detectors of all pools.
    :param known: the upstreams that exist; a pool may still have one that is gone.
    :param latencies: latency estimates by route and upstream.
    :param now: the time in seconds.
    """
    health: dict[str, UpstreamHealth] = {}
    for detector in detectors:
        for upstream, share in detector.failure_shares():
            if upstream.upstream_id not in known:
                continue
            item = health.setdefault(upstream.service, UpstreamHealth())
            item.ejected += detector.is_ejected(upstream.upstream_id, now)
            item.highest_failure_share = max(item.highest_failure_share, share)
            slow_ratio = latencies.slow_ratio(upstream.upstream_id)
            item.highest_slow_ratio = max(item.highest_slow_ratio, slow_ratio)
        for service, count in detector.ejections_by_service.items():
            health.setdefault(service, UpstreamHealth()).ejections += count
    return health
