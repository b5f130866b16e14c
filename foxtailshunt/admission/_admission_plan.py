"""The plan of a queue with new requests: which are admitted, and which requests leave the queue."""

from collections.abc import Callable, Collection, Sequence
from operator import attrgetter

from foxtailshunt.admission._cost_order import WAIT_SHARE, CostOrder
from foxtailshunt.admission._plan import plan
from foxtailshunt.admission._queue_entry import QueueEntry
from foxtailshunt.admission._start_forecast import StartForecast

#: Returns the estimated time until the response of a new request, in seconds, from the wait that is
#: expected without further arrivals, the duration, and whether it is delayed.
Estimate = Callable[[QueueEntry, float, float, bool], float]

_BY_LATEST_START = attrgetter("latest_start")


class AdmissionPlan:
    """The plan with new requests.

    :param queued: the queued requests.
    :param new: the new ones.
    :param order: the service order.
    :param forecast: the starts of requests, without any of these.
    :param pause_s: time until the first upstream accepts requests, in seconds.
    :param estimate: estimates the response time of new requests.
    :param now: the time in seconds.
    """

    def __init__(
        self,
        queued: Sequence[QueueEntry],
        new: Collection[QueueEntry],
        order: CostOrder,
        forecast: StartForecast,
        pause_s: float,
        estimate: Estimate,
        now: float,
    ) -> None:
        self._order = order
        self._pause_s = pause_s
        self._estimate = estimate
        self._now = now
        #: Estimated time until the response of each refused request, in seconds; None if it would
        #: be in time, but would make others miss their deadline.
        self.refused: dict[QueueEntry, float | None] = {}
        harmful = self._place(queued, new, forecast.copy())
        if harmful:
            self.refused.update(dict.fromkeys(harmful))
            left = [entry for entry in new if entry not in self.refused]
            self._place(queued, left, forecast.copy())

    def _place(
        self, queued: Sequence[QueueEntry], new: Collection[QueueEntry], forecast: StartForecast
    ) -> dict[QueueEntry, None]:
        """Place all requests in service order.

        :returns: the new requests because of which queued ones would miss their deadline that are
            not less urgent.
        """
        now = self._now
        entries = sorted([*queued, *new], key=_BY_LATEST_START)
        undecided = set(new)
        #: Requests that are expected to meet their objective, and the others.
        self.on_time, self.delayed = plan(entries, forecast.copy())
        #: Less urgent requests that would miss their deadline because of a new one.
        self.displaced: list[QueueEntry] = []
        #: Requests that can no longer meet their deadline.
        self.expired: list[QueueEntry] = []
        delayed = set(self.delayed) if new else ()
        new_ahead: list[QueueEntry] = []
        harmful: dict[QueueEntry, None] = {}
        for entry in self._order.arrange(self.on_time, self.delayed, forecast, now):
            start = forecast.next_start()
            duration_s = forecast.next_duration_s(entry.work_s)
            rank, deadline = entry.call.rank, entry.call.deadline
            if entry in undecided:
                estimate_s = self._estimate(entry, start - now, duration_s, entry in delayed)
                if now + estimate_s > deadline:
                    self.refused[entry] = estimate_s
                    continue
                new_ahead.append(entry)
            elif start + duration_s > deadline:
                if any(other.call.rank < rank for other in new_ahead):
                    self.displaced.append(entry)
                    continue
                if new_ahead:
                    harmful.update(dict.fromkeys(new_ahead))
                elif self._is_hopeless(start, duration_s, deadline):
                    self.expired.append(entry)
                    continue
            forecast.place(entry.work_s)
        #: Expected start of a request after all others, in seconds.
        self.end_of_queue = forecast.next_start()
        return harmful

    def _is_hopeless(self, start: float, duration_s: float, deadline: float) -> bool:
        # The wait for a slot is an estimate, the pause of an upstream is not.
        wait_s = start - self._now
        pause_s = min(wait_s, self._pause_s)
        least_wait_s = pause_s + WAIT_SHARE * (wait_s - pause_s)
        return self._now + least_wait_s + duration_s > deadline
