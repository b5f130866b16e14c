"""Uses the load that an upstream reports as a hint for its latency."""

import math
from collections import deque
from dataclasses import dataclass

#: Time constant in which the weight of a report decays, in seconds; the load changes many times a
#: second.
DECAY_TIME_S = 0.2
#: Bounds of the slowdown that a report may state.
MIN_SLOWDOWN, MAX_SLOWDOWN = 0.5, 3.0
#: Initial trust in the reports of an upstream, from 0 to 1, and the weight of the newest
#: comparison of a report with the latency that was measured after it.
INITIAL_TRUST, TRUST_WEIGHT = 0.5, 0.2
#: Logarithm of a slowdown below which a report states nothing that could be compared.
MIN_STATEMENT = 0.2
#: Number of reports that are kept for the comparison, and their greatest age at the start of the
#: request that they are compared with, in seconds.
KEPT_REPORTS, MAX_COMPARED_AGE_S = 16, 0.4


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load that an upstream reports in a response."""

    #: Requests that it processes.
    running: int
    #: Requests that wait for a slot there.
    waiting: int
    #: Requests that it processes concurrently.
    slots: int
    #: Time that work takes at this moment, in percent of the usual time; None if not reported.
    duration_percent: int | None = None

    @property
    def slowdown(self) -> float:
        """Return the expected latency relative to the usual one, within bounds."""
        duration = 1.0 if self.duration_percent is None else self.duration_percent / 100
        slowdown = duration * (1.0 + self.waiting / max(1, self.slots))
        return min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, slowdown))


class LoadHint:
    """The reports of one upstream, and how far measured latencies confirm them."""

    def __init__(self) -> None:
        #: Logarithm of the stated slowdown and time of the report, in seconds, the newest last.
        self._reports: deque[tuple[float, float]] = deque(maxlen=KEPT_REPORTS)
        #: How far the reports are used, from 0 to 1.
        self.trust = INITIAL_TRUST

    def add(self, report: LoadReport, now: float) -> None:
        """Add a report.

        :param report: the report.
        :param now: the time in seconds.
        """
        self._reports.append((math.log(report.slowdown), now))

    def compare(self, deviation: float, started_at: float) -> None:
        """Compare a measured latency with what was reported before the request started.

        :param deviation: the latency relative to the usual one of the upstream.
        :param started_at: start of the request, in seconds.
        """
        for stated, at in reversed(self._reports):
            if at > started_at:
                continue
            if started_at - at <= MAX_COMPARED_AGE_S and abs(stated) >= MIN_STATEMENT:
                measured = math.log(min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, deviation)))
                is_confirmed = abs(measured - stated) < abs(measured)
                self.trust += TRUST_WEIGHT * (float(is_confirmed) - self.trust)
            return

    def weighted(self, now: float) -> tuple[float, float]:
        """Return the logarithm of the stated slowdown and its weight, from 0 to 1.

        :param now: the time in seconds.
        """
        if not self._reports:
            return 0.0, 0.0
        stated, at = self._reports[-1]
        return stated, self.trust * math.exp(min(0.0, at - now) / DECAY_TIME_S)
