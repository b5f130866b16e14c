"""Moving rates of the work that arrives at a pool."""

import math
from dataclasses import dataclass

#: Time constant of each of the two averages, in seconds. Shorter times make the rate of a pool that
#: gets a few requests a second too noisy; longer ones keep capacity for a burst that has ended.
AVERAGING_S = 0.5


@dataclass(slots=True)
class _Rate:
    rank: int
    #: Average of the arriving work, and the average of this average, in seconds per second.
    first: float = 0.0
    second: float = 0.0
    updated_at: float = 0.0

    def update(self, now: float) -> None:
        steps = max(0.0, now - self.updated_at) / AVERAGING_S
        decay = math.exp(-steps)
        self.second = (self.second + self.first * steps) * decay
        self.first *= decay
        self.updated_at = now


class ArrivalRates:
    """The rate at which work arrives, by route.

    The rate is averaged twice, so that requests that arrive at the same moment are not taken for a
    rate at which more of them are to be expected: they are in the queue already.
    """

    def __init__(self) -> None:
        self._rates: dict[str, _Rate] = {}

    def record(self, route: str, rank: int, work_s: float, now: float) -> None:
        """Record the arrival of a request.

        :param route: name of the route.
        :param rank: rank of the request.
        :param work_s: expected work of the request, in seconds.
        :param now: the time in seconds.
        """
        rate = self._rates.setdefault(route, _Rate(rank, updated_at=now))
        rate.update(now)
        rate.rank = rank
        rate.first += work_s / AVERAGING_S

    def work_rate(self, now: float, more_urgent_than: int | None = None) -> float:
        """Return the work that arrives per second, in seconds.

        :param now: the time in seconds.
        :param more_urgent_than: counts only routes of more urgent ranks; None for all.
        """
        total = 0.0
        for rate in self._rates.values():
            if more_urgent_than is None or rate.rank < more_urgent_than:
                rate.update(now)
                total += rate.second
        return total
