"""Latency estimates by route and by upstream."""

import math
import threading
import time
from collections.abc import Callable
from typing import TypeVar

from foxtailshunt.upstreams._latency_reports import LatencyReport, ReportTotals
from foxtailshunt.upstreams._load_hint import LoadHint, LoadReport
from foxtailshunt.upstreams._request_result import RequestResult
from foxtailshunt.upstreams._speed_estimate import MAX_RATIO, SpeedEstimate

#: Assumed latency of a route without samples, in seconds; data sheets state 84 to 210 ms.
INITIAL_LATENCY_S = 0.15
#: Weight of the newest sample in a route's moving average, which covers about the last 50 samples.
#: The first samples have a larger weight, and the assumed latency weighs as much as one sample.
ROUTE_WEIGHT = 0.02
#: Exponent of the base ratio by which a sample is divided before it enters the mean of its route.
#: The ratios of all upstreams could grow while the means shrink, or the reverse, without any
#: change in the expected latencies; an exponent below 1 keeps the mean ratio of the requests at 1.
RATIO_EXPONENT = 0.98
#: Time for which a current ratio is used once it was computed, in seconds. A long queue asks for it
#: more than a thousand times a second.
RATIO_VALIDITY_S = 0.01
#: Maximum number of upstreams that are remembered; the one that was recorded first is forgotten.
MAX_REMEMBERED = 4096
#: Weights, in the logarithm of the current ratio, of latencies measured just now, of a report that
#: is trusted entirely, and of the assumption that nothing has changed.
MEASURED_WEIGHT, REPORTED_WEIGHT, UNCHANGED_WEIGHT = 3.0, 1.0, 0.5

_Estimate = TypeVar("_Estimate")


class LatencyEstimator:
    """Estimates latencies from completed requests; safe to use from any thread.

    :param now: returns the time in seconds.
    """

    def __init__(self, now: Callable[[], float] = time.monotonic) -> None:
        self._now = now
        self._lock = threading.Lock()
        self._mean_latencies_s: dict[str, float] = {}
        #: Number of samples by route.
        self._sample_counts: dict[str, int] = {}
        self._speeds: dict[str, SpeedEstimate] = {}
        self._hints: dict[str, LoadHint] = {}
        self._totals: dict[str, ReportTotals] = {}
        #: Current latency ratios by upstream, and until when they are used, in seconds.
        self._ratios: dict[str, tuple[float, float]] = {}

    def mean_latency_s(self, route: str) -> float:
        """Return the mean latency of a route's requests, in seconds.

        :param route: name of the route.
        """
        return self._mean_latencies_s.get(route, INITIAL_LATENCY_S)

    def latency_ratio(self, upstream_id: str) -> float:
        """Return the latency of an upstream relative to the mean at this moment.

        :param upstream_id: the upstream.
        :returns: 1 without samples and reports.
        """
        now = self._now()
        cached = self._ratios.get(upstream_id)
        if cached is not None and now < cached[0]:
            return cached[1]
        ratio = self._latency_ratio(upstream_id, now)
        if len(self._ratios) >= MAX_REMEMBERED:
            self._ratios.clear()
        self._ratios[upstream_id] = (now + RATIO_VALIDITY_S, ratio)
        return ratio

    def slow_ratio(self, upstream_id: str) -> float:
        """Return the latency of an upstream relative to the mean over some 10 s.

        :param upstream_id: the upstream.
        """
        speed = self._speeds.get(upstream_id)
        return 1.0 if speed is None else speed.slow_ratio

    def slow_ratios(self) -> dict[str, float]:
        """Return the base latency ratio of each upstream that has served requests."""
        return {name: speed.slow_ratio for name, speed in list(self._speeds.items())}

    def report_trust(self, upstream_id: str) -> float:
        """Return how far the load reports of an upstream are used, from 0 to 1.

        :param upstream_id: the upstream.
        """
        hint = self._hints.get(upstream_id)
        return 0.0 if hint is None else hint.trust

    def expected_latency_s(self, route: str, upstream_id: str) -> float:
        """Return the expected latency of a route's requests at an upstream, in seconds.

        :param route: name of the route.
        :param upstream_id: the upstream.
        """
        return self.mean_latency_s(route) * self.latency_ratio(upstream_id)

    def record_response(self, route: str, upstream_id: str, elapsed_s: float) -> None:
        """Record the latency of a request that was served.

        :param route: name of the route.
        :param upstream_id: the upstream that served it.
        :param elapsed_s: the latency in seconds.
        """
        now = self._now()
        with self._lock:
            mean = self._mean_latencies_s.get(route)
            if mean is None:
                mean = self._mean_latencies_s[route] = INITIAL_LATENCY_S
            sample_count = self._sample_counts[route] = self._sample_counts.get(route, 0) + 1
            speed = self._speed(upstream_id)
            bounded = min(elapsed_s, speed.max_sample * mean)
            hint = self._hints.get(upstream_id)
            if hint is not None:
                hint.compare(bounded / mean / speed.slow_ratio, now - elapsed_s)
            # Dividing by the base ratio keeps a slow upstream from raising its routes' means.
            weight = max(ROUTE_WEIGHT, 1 / (sample_count + 1))
            usual = bounded / speed.slow_ratio**RATIO_EXPONENT
            self._mean_latencies_s[route] = mean + weight * (usual - mean)
            speed.add(bounded / mean, now)
            self._ratios.pop(upstream_id, None)
            self._totals_of(upstream_id).add_served(route, bounded, mean)

    def record_load(self, upstream_id: str, report: LoadReport) -> None:
        """Record the load that an upstream has reported.

        :param upstream_id: the upstream.
        :param report: the report.
        """
        with self._lock:
            hint = _get_or_create(self._hints, upstream_id, LoadHint)
            hint.add(report, self._now())
            self._ratios.pop(upstream_id, None)

    def record_failure(self, upstream_id: str, result: RequestResult) -> None:
        """Record a request that an upstream failed or refused; it states nothing about its speed.

        :param upstream_id: the upstream.
        :param result: the kind of failure.
        """
        with self._lock:
            self._totals_of(upstream_id).results[result] += 1

    def record_timeout(self, route: str, upstream_id: str, waited_s: float) -> None:
        """Record a request that timed out before it would usually have been served.

        The elapsed time is a lower bound of the latency, so it can only raise the latency ratio.

        :param route: name of the route.
        :param upstream_id: the upstream.
        :param waited_s: the time until the timeout, in seconds.
        """
        now = self._now()
        with self._lock:
            speed = self._speed(upstream_id)
            ratio = min(speed.max_sample, waited_s / self.mean_latency_s(route))
            if ratio > speed.slow_ratio * speed.current_ratio(now):
                speed.add(ratio, now)
                self._ratios.pop(upstream_id, None)

    def drain_reports(self) -> list[LatencyReport]:
        """Return the totals by upstream since the last call, and reset them."""
        with self._lock:
            totals, self._totals = self._totals, {}
        return [item.to_report(upstream_id) for upstream_id, item in totals.items()]

    def _latency_ratio(self, upstream_id: str, now: float) -> float:
        speed, hint = self._speeds.get(upstream_id), self._hints.get(upstream_id)
        total = weighted = 0.0
        if speed is not None:
            total = MEASURED_WEIGHT * speed.freshness(now)
            weighted = total * math.log(speed.current_ratio(now))
        if hint is not None:
            stated, weight = hint.weighted(now)
            total += REPORTED_WEIGHT * weight
            weighted += REPORTED_WEIGHT * weight * stated
        current = math.exp(weighted / (total + UNCHANGED_WEIGHT))
        return min(MAX_RATIO, current * (1.0 if speed is None else speed.slow_ratio))

    def _speed(self, upstream_id: str) -> SpeedEstimate:
        return _get_or_create(self._speeds, upstream_id, SpeedEstimate)

    def _totals_of(self, upstream_id: str) -> ReportTotals:
        return self._totals.setdefault(upstream_id, ReportTotals())


def _get_or_create(
    estimates: dict[str, _Estimate], upstream_id: str, create: Callable[[], _Estimate]
) -> _Estimate:
    """Return the estimate of an upstream; forgets the oldest one if there are too many."""
    estimate = estimates.get(upstream_id)
    if estimate is None:
        if len(estimates) >= MAX_REMEMBERED:
            del estimates[next(iter(estimates))]
        estimate = estimates[upstream_id] = create()
    return estimate
