"""Service order of the policy ``by-cost``."""

from collections.abc import Sequence

from foxtailshunt.admission._floor_scheduler import FloorScheduler
from foxtailshunt.admission._pool_state import PoolState
from foxtailshunt.admission._queue_entry import QueueEntry
from foxtailshunt.admission._start_forecast import StartForecast

#: Margin for the variance of latencies, as a share of the expected latency.
LATENCY_MARGIN = 0.25
#: Share of the expected wait that is used to decide whether a queued request can still meet its
#: deadline. Wait estimates are off by about the remaining share.
WAIT_SHARE = 0.75
#: Time before its deadline by which a delayed request is served, as a multiple of its expected
#: duration: an upstream may be three times slower for some tenths of a second, and the slot may
#: become free later than expected. A request that times out wastes its work, and its upstream gets
#: a backoff.
LAST_CALL_DURATIONS = 4.0


class CostOrder:
    """Orders requests: those that can meet their latency objective first, then the delayed ones.

    A delayed request that would miss its deadline behind the others comes first, so that admitted
    requests do not expire, unless more urgent ones can still meet their objective. Ranks that are
    below their floor come before that.

    :param state: the slots of the pool, with the credits of the ranks.
    """

    def __init__(self, state: PoolState) -> None:
        self._state = state

    def arrange(
        self,
        on_time: Sequence[QueueEntry],
        delayed: Sequence[QueueEntry],
        forecast: StartForecast,
        now: float,
    ) -> Sequence[QueueEntry]:
        """Return requests in the order in which they are to be served.

        :param on_time: requests that are expected to meet their objective, by latest start.
        :param delayed: the other requests, by rank and deadline.
        :param forecast: the starts of requests, without any of these.
        :param now: the time in seconds.
        """
        ordered = [*on_time, *delayed]
        due = _last_calls(on_time, delayed, forecast, now) if delayed else []
        if due:
            ordered = [*due, *(entry for entry in ordered if entry not in due)]
        if not self._state.credits:
            return ordered
        return FloorScheduler(self._state.credits, lambda entry: entry.work_s).schedule(ordered)


def _last_calls(
    on_time: Sequence[QueueEntry],
    delayed: Sequence[QueueEntry],
    forecast: StartForecast,
    now: float,
) -> dict[QueueEntry, None]:
    """Return the delayed requests that come first, in their order."""
    if not forecast.capacity:
        return {}
    most_urgent = min((entry.call.rank for entry in on_time), default=None)
    work_ahead_s = sum(entry.work_s for entry in on_time)
    wait_s = forecast.next_start() - now + work_ahead_s / forecast.capacity
    latest_start = now + wait_s / WAIT_SHARE
    latency_ratio = forecast.slowness * LAST_CALL_DURATIONS
    return dict.fromkeys(
        entry
        for entry in delayed
        if latest_start + entry.work_s * latency_ratio > entry.call.deadline
        and (most_urgent is None or entry.call.rank <= most_urgent)
    )
