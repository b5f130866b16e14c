"""The order of waiting requests where lower ranks keep a share of an upstream."""

from collections import deque
from collections.abc import Callable, Sequence

from foxtailshunt.relay._floor_credits import FloorCredits
from foxtailshunt.relay._ticket import QueueEntry


class FloorScheduler:
    """Lets requests of ranks below their floor go ahead of more urgent ones.

    :param credits: what the ranks are owed now; not changed.
    :param work_s: returns the time that a request takes, in seconds.
    """

    def __init__(
        self, credits: FloorCredits, mean_latency_s: Callable[[QueueEntry], float]
    ) -> None:
        self._credits = credits.copy()
        self._work_s = mean_latency_s
        self._by_rank: dict[int, deque[QueueEntry]] = {}
        self._line: list[QueueEntry] = []

    def schedule(self, ordered: Sequence[QueueEntry]) -> list[QueueEntry]:
        """Return requests in the order in which they are served if each takes its usual time.

        :param ordered: the requests in their order without floors.
        """
        for ticket in ordered:
            self._by_rank.setdefault(ticket.call.rank, deque()).append(ticket)
        for ticket in ordered:
            while (rank := self._credits.most_underserved(self._by_rank.keys())) is not None:
                urgent_waits = any(other < rank for other in self._by_rank)
                self._append(self._by_rank[rank][0], promoted_by_floor=urgent_waits)
            if ticket in self._by_rank.get(ticket.call.rank, ()):
                self._append(ticket, promoted_by_floor=False)
        return self._line

    def _append(self, ticket: QueueEntry, promoted_by_floor: bool) -> None:
        rank = ticket.call.rank
        ticket.promoted_by_floor = promoted_by_floor
        self._line.append(ticket)
        self._by_rank[rank].remove(ticket)
        if not self._by_rank[rank]:
            del self._by_rank[rank]
        self._credits.charge(rank, self._work_s(ticket), promoted_by_floor, self._by_rank.keys())
