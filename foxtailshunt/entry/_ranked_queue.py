"""The queue of connections that wait for a worker, in order of rank."""

import itertools
import queue
from typing import Any

from foxtailshunt.entry._caller_connection import CallerConnection

#: Comes after every rank, for what is no caller's connection.
_LAST = 99


class RankedQueue:
    """Gives out connections by the rank of their next request, then by age.

    Has the methods of :class:`queue.Queue` that cheroot's thread pool uses.
    """

    def __init__(self) -> None:
        self._sequence = itertools.count()
        self._queue: queue.PriorityQueue[tuple[int, int, Any]] = queue.PriorityQueue()

    def put(self, item: Any, block: bool = True, timeout: float | None = None) -> None:
        """Add a connection, or the pool's sign for a worker to end.

        :param item: the item.
        :param block: not used; the queue is bounded by the limit of connections.
        :param timeout: not used.
        """
        priority = item.priority if isinstance(item, CallerConnection) else _LAST
        self._queue.put((priority, next(self._sequence), item))

    def get(self) -> Any:
        """Wait for the next item and return it."""
        return self._queue.get()[2]

    def qsize(self) -> int:
        """Return the number of items that wait."""
        return self._queue.qsize()
