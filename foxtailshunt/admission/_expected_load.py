"""Capacity of a pool that the requests which are expected to arrive leave to others."""

from foxtailshunt.admission._arrival_rates import ArrivalRates
from foxtailshunt.admission._call import Call
from foxtailshunt.admission._floor_credits import FloorCredits

#: Least share of the capacity that is assumed to be left by expected arrivals. The rates of a pool
#: with a few requests a second are off by more than this, and with no share left nothing but the
#: most urgent requests would be admitted, even if the queue is almost empty.
MIN_LEFT_SHARE = 0.05


class ExpectedLoad:
    """The share of a pool's capacity that expected arrivals leave.

    :param rates: the rates of arriving work.
    :param credits: the minimum shares of the ranks.
    """

    def __init__(self, rates: ArrivalRates, credits: FloorCredits) -> None:
        self._rates = rates
        self._credits = credits

    def left_by_more_urgent(self, call: Call, capacity: float, now: float) -> float:
        """Return the share that arrivals leave which are more urgent than a request.

        :param call: the request.
        :param capacity: work that the pool does per second, in seconds.
        :param now: the time in seconds.
        """
        return self._left(call, self._rates.work_rate(now, call.rank), capacity)

    def left_by_all(self, call: Call, capacity: float, now: float) -> float:
        """Return the share that all arrivals leave to a delayed request.

        Arrivals that can meet their latency objective are served before delayed requests,
        whatever their rank.

        :param call: the request.
        :param capacity: work that the pool does per second, in seconds.
        :param now: the time in seconds.
        """
        return self._left(call, self._rates.work_rate(now), capacity)

    def _left(self, call: Call, work_rate: float, capacity: float) -> float:
        left = 1 - work_rate / capacity if capacity > 0 else 0.0
        return max(left, MIN_LEFT_SHARE, self._credits.share(call.rank))
