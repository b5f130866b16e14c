"""Limits of requests in progress by rank."""

import threading

from foxtailshunt.config import EntryLimits, Rank


class RankLimiter:
    """Counts the requests in progress of each rank and refuses those over the rank's limit."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._limits = dict.fromkeys(Rank, 0)
        self._in_use = dict.fromkeys(Rank, 0)

    def set_limits(self, limits: EntryLimits) -> None:
        """Take new limits into force; requests in progress stay.

        :param limits: the limits.
        """
        with self._lock:
            self._limits = {rank: getattr(limits, rank.value) for rank in Rank}

    def try_enter(self, rank: Rank) -> bool:
        """Count a request in; False if the rank is at its limit.

        :param rank: the request's rank.
        """
        with self._lock:
            if self._in_use[rank] >= self._limits[rank]:
                return False
            self._in_use[rank] += 1
            return True

    def leave(self, rank: Rank) -> None:
        """Count a request out.

        :param rank: the request's rank.
        """
        with self._lock:
            self._in_use[rank] -= 1

    def in_use(self) -> dict[Rank, int]:
        """Return the number of requests in progress by rank."""
        with self._lock:
            return dict(self._in_use)
