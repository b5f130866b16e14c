"""Latency estimates by route and by upstream."""

import threading
from dataclasses import dataclass

#: Assumed latency of a route without samples, in seconds; data sheets state 84 to 210 ms.
INITIAL_LATENCY_S = 0.15
#: Weight of the newest sample in a route's moving average, which covers about the last 50 samples.
#: The first samples have a larger weight, and the assumed latency weighs as much as one sample.
ROUTE_WEIGHT = 0.02
#: Weight of the newest sample in an upstream's latency ratio, which covers about 8 samples.
UPSTREAM_WEIGHT = 0.12
#: Bounds of an upstream's latency ratio. Upstreams differ by a factor of 3, and faults slow them
#: down by a factor of up to 12.
MIN_LATENCY_RATIO, MAX_LATENCY_RATIO = 0.25, 20.0
#: Bound of one sample, as a multiple of the mean, so that a single outlier has little effect.
MAX_SAMPLE_RATIO = 6.0


@dataclass(slots=True)
class _Totals:
    elapsed_s: float = 0.0
    expected_latency_s: float = 0.0
    answered: int = 0
    failed: int = 0


@dataclass(frozen=True, slots=True)
class LatencyReport:
    """The requests of one upstream since the last report."""

    #: The upstream.
    upstream_id: str
    #: Sum of the observed latencies, in seconds.
    elapsed_s: float
    #: Sum of the mean latencies of the same routes over all upstreams, in seconds.
    expected_latency_s: float
    #: Number of requests that the upstream answered.
    answered: int
    #: Number of requests that the upstream failed or refused.
    failed: int


class LatencyEstimator:
    """Estimates latencies from completed requests; safe to use from any thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._mean_latencies_s: dict[str, float] = {}
        #: Number of samples by route.
        self._sample_counts: dict[str, int] = {}
        self._latency_ratios: dict[str, float] = {}
        self._totals: dict[str, _Totals] = {}

    def mean_latency_s(self, route: str) -> float:
        """Return the mean latency of a route's requests, in seconds.

        :param route: name of the route.
        """
        return self._mean_latencies_s.get(route, INITIAL_LATENCY_S)

    def latency_ratio(self, upstream_id: str) -> float:
        """Return the latency of an upstream relative to the mean; 1 without samples.

        :param upstream_id: the upstream.
        """
        return self._latency_ratios.get(upstream_id, 1.0)

    def expected_latency_s(self, route: str, upstream_id: str) -> float:
        """Return the expected latency of a route's requests at an upstream, in seconds.

        :param route: name of the route.
        :param upstream_id: the upstream.
        """
        return self.mean_latency_s(route) * self.latency_ratio(upstream_id)

    def record_response(self, route: str, upstream_id: str, elapsed_s: float) -> None:
        """Record the latency of a request that was answered.

        :param route: name of the route.
        :param upstream_id: the upstream that answered.
        :param elapsed_s: the latency in seconds.
        """
        with self._lock:
            mean = self._mean_latencies_s.get(route)
            if mean is None:
                mean = self._mean_latencies_s[route] = INITIAL_LATENCY_S
            sample_count = self._sample_counts[route] = self._sample_counts.get(route, 0) + 1
            bounded = min(elapsed_s, MAX_SAMPLE_RATIO * mean)
            latency_ratio = self._latency_ratios.get(upstream_id, 1.0)
            # Dividing by the latency ratio keeps a slow upstream from raising its routes' means.
            weight = max(ROUTE_WEIGHT, 1 / (sample_count + 1))
            self._mean_latencies_s[route] = mean + weight * (bounded / latency_ratio - mean)
            self._update_ratio(upstream_id, bounded / mean)
            totals = self._totals.setdefault(upstream_id, _Totals())
            totals.elapsed_s += bounded
            totals.expected_latency_s += mean
            totals.answered += 1

    def record_failure(self, upstream_id: str) -> None:
        """Record a request that an upstream failed or refused.

        :param upstream_id: the upstream.
        """
        with self._lock:
            self._totals.setdefault(upstream_id, _Totals()).failed += 1

    def record_timeout(self, route: str, upstream_id: str, waited_s: float) -> None:
        """Record a request that timed out.

        The elapsed time is a lower bound of the latency, so it can only raise the latency ratio.

        :param route: name of the route.
        :param upstream_id: the upstream.
        :param waited_s: the time until the timeout, in seconds.
        """
        with self._lock:
            ratio = min(MAX_SAMPLE_RATIO, waited_s / self.mean_latency_s(route))
            if ratio > self._latency_ratios.get(upstream_id, 1.0):
                self._update_ratio(upstream_id, ratio)
            self._totals.setdefault(upstream_id, _Totals()).failed += 1

    def drain_reports(self) -> list[LatencyReport]:
        """Return the totals by upstream since the last call, and reset them."""
        with self._lock:
            totals_by_upstream, self._totals = self._totals, {}
        return [
            LatencyReport(
                upstream_id,
                totals.elapsed_s,
                totals.expected_latency_s,
                totals.answered,
                totals.failed,
            )
            for upstream_id, totals in totals_by_upstream.items()
        ]

    def _update_ratio(self, upstream_id: str, ratio: float) -> None:
        previous = self._latency_ratios.get(upstream_id, 1.0)
        updated = previous + UPSTREAM_WEIGHT * (ratio - previous)
        self._latency_ratios[upstream_id] = min(MAX_LATENCY_RATIO, max(MIN_LATENCY_RATIO, updated))
