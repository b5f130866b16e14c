"""Service order of queued requests under the floors of the lower ranks."""

from collections import deque
from collections.abc import Callable, Sequence

from foxtailshunt.admission._floor_credits import FloorCredits
from foxtailshunt.admission._queue_entry import QueueEntry


class FloorScheduler:
    """Moves requests of ranks that are below their floor before more urgent ones.

    :param credits: the current credits of the ranks; not modified.
    :param mean_latency_s: returns the mean latency of a request's route, in seconds.
    """

    def __init__(
        self, credits: FloorCredits, mean_latency_s: Callable[[QueueEntry], float]
    ) -> None:
        self._credits = credits.copy()
        self._mean_latency_s = mean_latency_s
        self._unscheduled: dict[int, deque[QueueEntry]] = {}
        self._scheduled: list[QueueEntry] = []

    def schedule(self, ordered: Sequence[QueueEntry]) -> list[QueueEntry]:
        """Return requests in service order, assuming the mean latency for each.

        :param ordered: the requests in the order that applies without floors.
        """
        for entry in ordered:
            self._unscheduled.setdefault(entry.call.rank, deque()).append(entry)
        for entry in ordered:
            while (rank := self._credits.most_underserved(self._unscheduled.keys())) is not None:
                higher_rank_waits = any(other < rank for other in self._unscheduled)
                self._append(self._unscheduled[rank][0], promoted_by_floor=higher_rank_waits)
            if entry in self._unscheduled.get(entry.call.rank, ()):
                self._append(entry, promoted_by_floor=False)
        return self._scheduled

    def _append(self, entry: QueueEntry, promoted_by_floor: bool) -> None:
        rank = entry.call.rank
        entry.promoted_by_floor = promoted_by_floor
        self._scheduled.append(entry)
        self._unscheduled[rank].remove(entry)
        if not self._unscheduled[rank]:
            del self._unscheduled[rank]
        self._credits.charge(
            rank, self._mean_latency_s(entry), promoted_by_floor, self._unscheduled.keys()
        )
