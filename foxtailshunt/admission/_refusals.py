"""Refusals with a time at which the caller is expected to be served."""

from foxtailshunt.admission._call import Call
from foxtailshunt.admission._queue_entry import QueueEntry, Refusal
from foxtailshunt.admission._reservations import Reservation, ReservationBook

#: Share of their remaining time for which callers wait at most before they return.
HONOURED_SHARE = 1 / 3
#: Least Retry-After, in seconds. A shorter one returns before other requests have ended.
MIN_RETRY_AFTER_S = 0.03
#: Longest Retry-After for callers that do not state how long they wait, in seconds.
MAX_RETRY_AFTER_S = 1.5


def return_limit(call: Call, now: float) -> float:
    """Return the latest time at which the caller of a refused request returns, in seconds.

    :param call: the request.
    :param now: the time in seconds.
    """
    if call.caller_deadline is None:
        return now + MAX_RETRY_AFTER_S
    return now + max(0.0, call.caller_deadline - now) * HONOURED_SHARE


class Refusals:
    """Refuses requests, and reserves the capacity with which they are expected to be served.

    :param book: remembers the refused callers.
    """

    def __init__(self, book: ReservationBook) -> None:
        self._book = book

    def refuse(
        self,
        entry: QueueEntry,
        start: float,
        pause_s: float,
        now: float,
        estimate_s: float | None = None,
        reason: str = "",
    ) -> Refusal:
        """Refuse a request.

        The caller returns at the expected start, or, if it would not wait that long, as late as it
        waits and is then queued until the start. Capacity is reserved only if the request can end
        before the deadline that it will have.

        :param entry: the request.
        :param start: expected start of the request if its caller returns, in seconds.
        :param pause_s: time until the first upstream accepts requests, in seconds.
        :param now: the time in seconds.
        :param estimate_s: estimated time until the response of this attempt, in seconds.
        :param reason: why it is refused other than for its own estimate; empty if it is not.
        """
        call = entry.call
        return_at = max(now + MIN_RETRY_AFTER_S, min(start, return_limit(call, now)))
        if call.caller_deadline is not None:
            deadline = min(call.caller_deadline, return_at + (call.deadline - entry.queued_at))
            can_end = start + entry.work_s <= deadline
            self._remember(entry, call.caller_deadline, return_at, start if can_end else None)
        return Refusal(estimate_s, max(pause_s, return_at - now), reason)

    def _remember(
        self, entry: QueueEntry, caller_deadline: float, return_at: float, start: float | None
    ) -> None:
        call = entry.call
        reservation = Reservation(
            route=call.route,
            key=call.key,
            rank=call.rank,
            caller_deadline=caller_deadline,
            remaining_s=caller_deadline - entry.queued_at,
            objective_at=entry.objective_at,
            work_s=entry.work_s,
            return_at=return_at,
            start=start,
        )
        self._book.add(reservation)
