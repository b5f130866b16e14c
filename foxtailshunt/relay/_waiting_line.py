"""The order of waiting requests where lower ranks keep a share of an upstream."""

from collections import deque
from collections.abc import Callable, Sequence

from foxtailshunt.relay._floor_credits import FloorCredits
from foxtailshunt.relay._ticket import Ticket


class WaitingLine:
    """Lets requests of ranks below their floor go ahead of more urgent ones.

    :param credits: what the ranks are owed now; not changed.
    :param work_s: returns the time that a request takes, in seconds.
    """

    def __init__(self, credits: FloorCredits, work_s: Callable[[Ticket], float]) -> None:
        self._credits = credits.copy()
        self._work_s = work_s
        self._by_rank: dict[int, deque[Ticket]] = {}
        self._line: list[Ticket] = []

    def arrange(self, ordered: Sequence[Ticket]) -> list[Ticket]:
        """Return requests in the order in which they are served if each takes its usual time.

        :param ordered: the requests in their order without floors.
        """
        for ticket in ordered:
            self._by_rank.setdefault(ticket.call.rank, deque()).append(ticket)
        for ticket in ordered:
            while (rank := self._credits.most_owed(self._by_rank.keys())) is not None:
                urgent_waits = any(other < rank for other in self._by_rank)
                self._append(self._by_rank[rank][0], by_floor=urgent_waits)
            if ticket in self._by_rank.get(ticket.call.rank, ()):
                self._append(ticket, by_floor=False)
        return self._line

    def _append(self, ticket: Ticket, by_floor: bool) -> None:
        rank = ticket.call.rank
        ticket.by_floor = by_floor
        self._line.append(ticket)
        self._by_rank[rank].remove(ticket)
        if not self._by_rank[rank]:
            del self._by_rank[rank]
        self._credits.charge(rank, self._work_s(ticket), by_floor, self._by_rank.keys())
