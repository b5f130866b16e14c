"""Plans which queued requests meet their latency objective (Moore-Hodgson, weighted by rank)."""

import heapq
from collections.abc import Iterable, Sequence

from foxtailshunt.admission._queue_entry import QueueEntry
from foxtailshunt.admission._start_forecast import StartForecast


def plan(
    entries: Sequence[QueueEntry], forecast: StartForecast
) -> tuple[list[QueueEntry], list[QueueEntry]]:
    """Divide requests into those that are served first and those that are delayed.

    The requests are placed by their latest start. If one would miss its latency objective, the
    least urgent of those placed so far is delayed, among equals the one with the most work, and
    among these the one with the latest start. For one slot and one rank, no other choice delays
    fewer requests. The time that a delayed request leaves is distributed over all slots, which is
    an approximation that avoids placing the other requests again.

    :param entries: the requests by latest start; ``work_s`` and ``latest_start`` are set.
    :param forecast: the starts of requests; modified.
    :returns: the requests that meet their objective, by latest start, and the delayed ones, by
        rank and deadline.
    """
    first_start = forecast.next_start()
    if first_start == float("inf"):
        return [], in_delayed_order(entries)
    planner = _Planner(forecast, first_start)
    for entry in entries:
        planner.add(entry)
    delayed = planner.delayed
    if not delayed:
        return list(entries), []
    on_time = [entry for entry in entries if entry not in delayed]
    return on_time, in_delayed_order(entry for entry in entries if entry in delayed)


def in_delayed_order(entries: Iterable[QueueEntry]) -> list[QueueEntry]:
    """Return delayed requests in the order in which they are served.

    :param entries: the requests.
    """
    return sorted(entries, key=lambda entry: (entry.call.rank, entry.call.deadline))


class _Planner:
    def __init__(self, forecast: StartForecast, first_start: float) -> None:
        self._forecast = forecast
        self._first_start = first_start
        #: Work that was placed and then removed again, in seconds.
        self._removed_s = 0.0
        #: Placed requests by rank; the first of each heap has the most work.
        self._placed: dict[int, list[tuple[float, int, QueueEntry]]] = {}
        #: Work of the placed requests by rank, in seconds.
        self._work_s: dict[int, float] = {}
        self._count = 0
        self.delayed: set[QueueEntry] = set()

    def add(self, entry: QueueEntry) -> None:
        """Place a request, or delay it or others."""
        start = self._next_start()
        if start > entry.latest_start and not self._make_room(entry, start):
            self.delayed.add(entry)
            return
        rank = entry.call.rank
        self._count += 1
        item = (-entry.work_s, -self._count, entry)
        heapq.heappush(self._placed.setdefault(rank, []), item)
        self._work_s[rank] = self._work_s.get(rank, 0.0) + entry.work_s
        self._forecast.place(entry.work_s)

    def _next_start(self) -> float:
        shift_s = self._removed_s / self._forecast.capacity
        return max(self._first_start, self._forecast.next_start() - shift_s)

    def _make_room(self, entry: QueueEntry, start: float) -> bool:
        """Delay others so that a request meets its objective; return False if that is in vain."""
        missing_s = (start - entry.latest_start) * self._forecast.capacity
        if self._first_start > entry.latest_start:
            return False
        less_urgent = sorted(
            (rank for rank in self._placed if rank > entry.call.rank), reverse=True
        )
        room_s = sum(self._work_s[rank] for rank in less_urgent)
        same_rank = self._placed.get(entry.call.rank)
        if room_s < missing_s and same_rank and -same_rank[0][0] > entry.work_s:
            room_s += -same_rank[0][0]
            less_urgent.append(entry.call.rank)
        if room_s < missing_s:
            return False
        for rank in less_urgent:
            while missing_s > 0 and self._placed[rank]:
                missing_s -= self._delay_largest(rank)
        return True

    def _delay_largest(self, rank: int) -> float:
        """Delay the request with the most work of a rank, and return that work."""
        _, _, entry = heapq.heappop(self._placed[rank])
        self.delayed.add(entry)
        self._work_s[rank] -= entry.work_s
        self._removed_s += entry.work_s
        return entry.work_s
