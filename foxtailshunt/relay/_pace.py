"""How long requests take: by route, and how much slower or faster each upstream is."""

import threading
from dataclasses import dataclass

#: Time that a request of an unknown route is taken to need, in seconds; sheets say 84 to 210 ms.
FIRST_WORK_S = 0.15
#: Weight of the newest answer in a route's mean, so that about the last 50 answers count; the first
#: answers weigh more, and the assumed time as much as one answer.
ROUTE_WEIGHT = 0.02
#: Weight of the newest answer in an upstream's slowness; about the last 8 answers count.
UPSTREAM_WEIGHT = 0.12
#: Bounds of an upstream's slowness; targets differ by 3, faults slow them by up to 12.
MIN_SLOWNESS, MAX_SLOWNESS = 0.25, 20.0
#: One request counts at most so many times the mean, so that one long answer decides nothing.
MAX_RATIO = 6.0


@dataclass(slots=True)
class _Tally:
    elapsed_s: float = 0.0
    expected_latency_s: float = 0.0
    answered: int = 0
    failed: int = 0


@dataclass(frozen=True, slots=True)
class LatencyReport:
    """What an upstream's requests took since the last report."""

    #: The upstream.
    upstream_id: str
    #: Time that its requests took, in seconds.
    elapsed_s: float
    #: Time that they take on the average of all upstreams, in seconds.
    expected_latency_s: float
    #: Requests that it answered.
    answered: int
    #: Requests that it failed or refused.
    failed: int


class LatencyEstimator:
    """Estimates from observed answers; safe to use from any thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._work_s: dict[str, float] = {}
        #: Answers of each route so far.
        self._answered: dict[str, int] = {}
        self._slowness: dict[str, float] = {}
        self._tallies: dict[str, _Tally] = {}

    def mean_latency_s(self, route: str) -> float:
        """Return the mean time of a route's requests, in seconds.

        :param route: name of the route.
        """
        return self._work_s.get(route, FIRST_WORK_S)

    def latency_ratio(self, upstream_id: str) -> float:
        """Return how many times the mean an upstream takes; 1 if nothing is known.

        :param upstream_id: the upstream.
        """
        return self._slowness.get(upstream_id, 1.0)

    def expected_latency_s(self, route: str, upstream_id: str) -> float:
        """Return the time that a request of a route takes at an upstream, in seconds.

        :param route: name of the route.
        :param upstream_id: the upstream.
        """
        return self.mean_latency_s(route) * self.latency_ratio(upstream_id)

    def record_response(self, route: str, upstream_id: str, elapsed_s: float) -> None:
        """Take a finished request into account.

        :param route: name of its route.
        :param upstream_id: the upstream that ran it.
        :param taken_s: how long it took, in seconds.
        """
        with self._lock:
            mean = self._work_s.get(route)
            if mean is None:
                mean = self._work_s[route] = FIRST_WORK_S
            answered = self._answered[route] = self._answered.get(route, 0) + 1
            bounded = min(elapsed_s, MAX_RATIO * mean)
            latency_ratio = self._slowness.get(upstream_id, 1.0)
            # Dividing by the slowness keeps a slow upstream from making all its routes look long.
            weight = max(ROUTE_WEIGHT, 1 / (answered + 1))
            self._work_s[route] = mean + weight * (bounded / latency_ratio - mean)
            self._note_ratio(upstream_id, bounded / mean)
            tally = self._tallies.setdefault(upstream_id, _Tally())
            tally.elapsed_s += bounded
            tally.expected_latency_s += mean
            tally.answered += 1

    def record_failure(self, upstream_id: str) -> None:
        """Take a request that an upstream failed or refused into account.

        :param upstream_id: the upstream.
        """
        with self._lock:
            self._tallies.setdefault(upstream_id, _Tally()).failed += 1

    def record_timeout(self, route: str, upstream_id: str, waited_s: float) -> None:
        """Take a request into account that was given up before its answer came.

        :param route: name of its route.
        :param upstream_id: the upstream.
        :param waited_s: how long the answer was waited for, in seconds.
        """
        with self._lock:
            ratio = min(MAX_RATIO, waited_s / self.mean_latency_s(route))
            if ratio > self._slowness.get(upstream_id, 1.0):
                self._note_ratio(upstream_id, ratio)
            self._tallies.setdefault(upstream_id, _Tally()).failed += 1

    def drain_reports(self) -> list[LatencyReport]:
        """Return what happened since the last call."""
        with self._lock:
            tallies, self._tallies = self._tallies, {}
        return [
            LatencyReport(
                upstream_id, tally.elapsed_s, tally.expected_latency_s, tally.answered, tally.failed
            )
            for upstream_id, tally in tallies.items()
        ]

    def _note_ratio(self, upstream_id: str, ratio: float) -> None:
        old = self._slowness.get(upstream_id, 1.0)
        new = old + UPSTREAM_WEIGHT * (ratio - old)
        self._slowness[upstream_id] = min(MAX_SLOWNESS, max(MIN_SLOWNESS, new))
