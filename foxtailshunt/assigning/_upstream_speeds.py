"""Estimates the speed of upstreams from the latencies that all senders report.

A sender of few upstreams cannot tell a slow upstream from a route with long requests, since it
compares an upstream with its own others. The leader knows the latencies by route of all upstreams,
and separates them: the logarithm of a latency is that of its route plus that of its upstream.
"""

import math
from dataclasses import dataclass

from foxtailshunt.upstreams import LatencyReport, RouteLatency

#: Time constants of the estimates of an upstream and of a route, in seconds.
UPSTREAM_TIME_S, ROUTE_TIME_S = 15.0, 30.0
#: Weight of the assumption that an upstream has the average speed, in requests.
PRIOR_REQUESTS = 4.0
#: Weight, in requests, and time since the first report, in seconds, from which the speed of an
#: upstream is considered known.
KNOWN_REQUESTS, KNOWN_AFTER_S = 20.0, 4.0
#: Bound of the deviation of one report from the estimate, as a logarithm: a factor of 3.
MAX_DEVIATION = math.log(3.0)
#: Share of an upstream's estimate that is removed from a sample before it enters that of its
#: route; below 1, so that the routes and the upstreams cannot drift apart.
SEPARATED_SHARE = 0.98


@dataclass(slots=True)
class _Mean:
    value: float
    weight: float
    updated_at: float

    def add(self, sample: float, count: int, time_s: float, least: float, now: float) -> None:
        elapsed_s = max(0.0, now - self.updated_at)
        self.weight = max(least, self.weight * math.exp(-elapsed_s / time_s)) + count
        self.value += (sample - self.value) * count / self.weight
        self.updated_at = now


class UpstreamSpeeds:
    """Logarithms of the latency ratios of upstreams; not thread-safe."""

    def __init__(self) -> None:
        self._routes: dict[str, _Mean] = {}
        self._upstreams: dict[str, _Mean] = {}
        self._first_report_at: dict[str, float] = {}

    def observe(self, report: LatencyReport, now: float) -> None:
        """Add a report of a sender.

        :param report: the report.
        :param now: the time in seconds.
        """
        if report.answered <= 0:
            return
        self._first_report_at.setdefault(report.upstream_id, now)
        for latency in report.latencies:
            if latency.count > 0 and math.isfinite(latency.mean_log_s):
                self._observe_route(report.upstream_id, latency, now)
        if not report.latencies and report.elapsed_s > 0 and report.expected_latency_s > 0:
            ratio = report.elapsed_s / report.expected_latency_s
            self._add(report.upstream_id, math.log(ratio), report.answered, now)

    def log_ratio(self, upstream_id: str, now: float) -> float | None:
        """Return the logarithm of the latency ratio of an upstream; None if it is not yet known.

        :param upstream_id: the upstream.
        :param now: the time in seconds.
        """
        mean = self._upstreams.get(upstream_id)
        if mean is None or mean.weight < PRIOR_REQUESTS + KNOWN_REQUESTS:
            return None
        return mean.value if self.age_s(upstream_id, now) >= KNOWN_AFTER_S else None

    def age_s(self, upstream_id: str, now: float) -> float:
        """Return the time since the first report on an upstream, in seconds.

        :param upstream_id: the upstream.
        :param now: the time in seconds.
        """
        return now - self._first_report_at.get(upstream_id, now)

    def retain(self, upstream_ids: set[str]) -> None:
        """Discard what is known of all but some upstreams.

        :param upstream_ids: the upstreams that exist.
        """
        for name in self._upstreams.keys() - upstream_ids:
            del self._upstreams[name]
        for name in self._first_report_at.keys() - upstream_ids:
            del self._first_report_at[name]

    def _observe_route(self, upstream_id: str, latency: RouteLatency, now: float) -> None:
        upstream = self._upstreams.get(upstream_id)
        known = upstream.value if upstream is not None else 0.0
        usual = latency.mean_log_s - SEPARATED_SHARE * known
        route = self._routes.setdefault(latency.route, _Mean(usual, 0.0, now))
        deviation = latency.mean_log_s - route.value
        route.add(usual, latency.count, ROUTE_TIME_S, 0.0, now)
        self._add(upstream_id, deviation, latency.count, now)

    def _add(self, upstream_id: str, sample: float, count: int, now: float) -> None:
        mean = self._upstreams.setdefault(upstream_id, _Mean(0.0, PRIOR_REQUESTS, now))
        if mean.weight >= PRIOR_REQUESTS + KNOWN_REQUESTS:
            sample = min(mean.value + MAX_DEVIATION, max(mean.value - MAX_DEVIATION, sample))
        mean.add(sample, count, UPSTREAM_TIME_S, PRIOR_REQUESTS, now)
