"""Collects what a sender reports to the leader about each upstream."""

import math
from collections import Counter
from dataclasses import dataclass, field

from foxtailshunt.upstreams._request_result import RequestResult

#: Maximum number of routes of an upstream in one report, so that its size is bounded.
MAX_ROUTES = 16


@dataclass(frozen=True, slots=True)
class RouteLatency:
    """The latencies of one route's requests at one upstream."""

    #: Name of the route.
    route: str
    #: Number of requests.
    count: int
    #: Mean of the natural logarithms of their latencies in seconds.
    mean_log_s: float


@dataclass(frozen=True, slots=True)
class LatencyReport:
    """The requests of one upstream since the last report."""

    #: The upstream.
    upstream_id: str
    #: Sum of the observed latencies, in seconds.
    elapsed_s: float
    #: Sum of the mean latencies of the same routes over all upstreams, in seconds.
    expected_latency_s: float
    #: Number of requests that the upstream served.
    answered: int
    #: Number of requests that the upstream failed or refused.
    failed: int
    #: Number of failed requests that the upstream refused.
    refused: int = 0
    #: Number of failed requests to which the upstream did not respond at all.
    unanswered: int = 0
    #: Latencies of the requests that it served, by route.
    latencies: tuple[RouteLatency, ...] = ()


@dataclass(slots=True)
class ReportTotals:
    """The requests of one upstream that have not been reported yet."""

    elapsed_s: float = 0.0
    expected_latency_s: float = 0.0
    results: Counter[RequestResult] = field(default_factory=Counter)
    #: Number of requests and sum of the logarithms of their latencies, by route.
    logs: dict[str, tuple[int, float]] = field(default_factory=dict)

    def add_served(self, route: str, elapsed_s: float, expected_latency_s: float) -> None:
        """Add a request that was served.

        :param route: name of the route.
        :param elapsed_s: its latency in seconds, bounded.
        :param expected_latency_s: mean latency of its route, in seconds.
        """
        self.elapsed_s += elapsed_s
        self.expected_latency_s += expected_latency_s
        self.results[RequestResult.SERVED] += 1
        count, total = self.logs.get(route, (0, 0.0))
        if count or len(self.logs) < MAX_ROUTES:
            self.logs[route] = (count + 1, total + math.log(max(0.0001, elapsed_s)))

    def to_report(self, upstream_id: str) -> LatencyReport:
        """Return the report.

        :param upstream_id: the upstream.
        """
        return LatencyReport(
            upstream_id,
            self.elapsed_s,
            self.expected_latency_s,
            answered=self.results[RequestResult.SERVED],
            failed=sum(n for result, n in self.results.items() if result.is_failure),
            refused=self.results[RequestResult.REFUSED],
            unanswered=sum(n for result, n in self.results.items() if result.is_unanswered),
            latencies=tuple(
                RouteLatency(route, count, total / count)
                for route, (count, total) in self.logs.items()
            ),
        )
