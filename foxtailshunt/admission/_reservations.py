"""Remembers refused callers, and the capacity that is reserved for their return."""

import bisect
import itertools
from collections.abc import Iterator
from dataclasses import dataclass

from foxtailshunt.admission._call import Call

#: Tolerance for the deadline of a returning caller, in seconds: the time between nodes, and
#: rounding to milliseconds, shift it between attempts.
DEADLINE_TOLERANCE_S = 0.025
#: Least time by which the remaining time of a returning caller has decreased, in seconds. The first
#: attempts of other callers of the same route have as much time left as the refused one had.
MIN_ELAPSED_S = 0.01
#: Time after the announced return for which capacity stays reserved, in seconds: connecting and the
#: way take some milliseconds.
RETURN_GRACE_S = 0.1
#: Maximum number of remembered callers; the one whose deadline is next is forgotten first.
MAX_REMEMBERED = 4096


@dataclass(frozen=True, slots=True)
class Reservation:
    """A refused request whose caller may return."""

    #: Name of the route.
    route: str
    #: Key of the request; None if its service is not sharded.
    key: int | None
    #: Rank of the request.
    rank: int
    #: Deadline of the caller, in seconds of the monotonic clock.
    caller_deadline: float
    #: Time that the caller had left when the refused attempt arrived, in seconds.
    remaining_s: float
    #: Time by which the latency objective of the first attempt is met, in seconds of the clock.
    objective_at: float
    #: Expected work, in seconds.
    work_s: float
    #: When the caller has been told to return, in seconds of the clock.
    return_at: float
    #: Expected start for which capacity is reserved, in seconds; None if there is no capacity.
    start: float | None

    def is_held(self, now: float) -> bool:
        """Return whether capacity is reserved for the caller.

        :param now: the time in seconds.
        """
        return self.start is not None and now <= self.return_at + RETURN_GRACE_S


class ReservationBook:
    """The refused callers of a pool that may return, by their deadline.

    A caller is recognized by its absolute deadline, which is the same for all of its attempts, and
    by its route and key. If two callers are confused, they have the same route and deadline, so
    that it makes no difference to them.
    """

    def __init__(self) -> None:
        #: Sorted by the deadline of the caller.
        self._book: list[Reservation] = []
        self._held: list[Reservation] = []

    def __len__(self) -> int:
        """Return the number of remembered callers."""
        return len(self._book)

    def add(self, reservation: Reservation) -> None:
        """Remember a refused caller.

        :param reservation: the refused request.
        """
        if len(self._book) >= MAX_REMEMBERED:
            self.remove(self._book[0])
        bisect.insort(self._book, reservation, key=_deadline)
        if reservation.start is not None:
            self._held.append(reservation)

    def remove(self, reservation: Reservation) -> None:
        """Forget a caller and the capacity that is reserved for it.

        :param reservation: the refused request.
        """
        index = bisect.bisect_left(self._book, reservation.caller_deadline, key=_deadline)
        while index < len(self._book) and self._book[index] is not reservation:
            index += 1
        del self._book[index : index + 1]
        if reservation.start is not None:
            self._held = [item for item in self._held if item is not reservation]

    def find(self, call: Call, now: float) -> Reservation | None:
        """Return the refused request whose caller returns with a request.

        :param call: the request.
        :param now: the time in seconds.
        :returns: None if the request is a first attempt, or its caller is not known.
        """
        self._forget_expired(now)
        deadline = call.caller_deadline
        if deadline is None or not self._book:
            return None
        remaining_s = deadline - now
        candidates = [
            item
            for item in self._near(deadline)
            if item.route == call.route
            and item.key == call.key
            and remaining_s <= item.remaining_s - MIN_ELAPSED_S
        ]
        return min(candidates, key=lambda item: abs(item.caller_deadline - deadline), default=None)

    def held_work_s(
        self, rank: int, now: float, own: Reservation | None = None, is_on_time: bool = False
    ) -> float:
        """Return the work that is reserved ahead of a request, in seconds.

        Nothing that is reserved for a later start is ahead of a caller that returns on time.

        :param rank: rank of the request.
        :param now: the time in seconds.
        :param own: the request's own reservation, if any.
        :param is_on_time: True if its caller returns when it was told to, or later.
        """
        if not self._held:
            return 0.0
        self._held = [item for item in self._held if item.is_held(now)]
        before = own.start if own is not None and is_on_time else None
        return sum(
            item.work_s
            for item in self._held
            if item is not own
            and item.rank <= rank
            and (before is None or item.start is None or item.start < before)
        )

    def _near(self, deadline: float) -> Iterator[Reservation]:
        index = bisect.bisect_left(self._book, deadline - DEADLINE_TOLERANCE_S, key=_deadline)
        for item in itertools.islice(self._book, index, None):
            if item.caller_deadline > deadline + DEADLINE_TOLERANCE_S:
                return
            yield item

    def _forget_expired(self, now: float) -> None:
        if self._book and self._book[0].caller_deadline < now:
            del self._book[: bisect.bisect_left(self._book, now, key=_deadline)]


def _deadline(reservation: Reservation) -> float:
    return reservation.caller_deadline
