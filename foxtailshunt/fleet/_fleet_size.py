"""Estimates the number of nodes in the fleet, for limits that all nodes share."""

import threading
from collections.abc import Callable

from foxtailshunt.fleet._view import FleetView

#: Least number of nodes that is assumed: a node that has just started may know only some.
MIN_NODES = 12
#: Time for which the largest list of members counts at least, in seconds. The list of a new leader
#: starts with the leader alone and grows as the others report.
REMEMBERED_S = 30.0


class FleetSize:
    """The largest number of members lately known; thread-safe.

    :param view: the node's view of the fleet.
    :param now: returns seconds of a clock.
    """

    def __init__(self, view: FleetView, now: Callable[[], float]) -> None:
        self._view = view
        self._now = now
        self._lock = threading.Lock()
        self._period_began = now()
        #: Largest number of members in the current period, and in the one before it.
        self._largest, self._previous = 0, 0

    def observe(self) -> None:
        """Take the current number of members into account; called from time to time."""
        with self._lock:
            self._observe()

    def nodes(self) -> int:
        """Return the number of nodes that share a limit of the fleet."""
        with self._lock:
            self._observe()
            return max(MIN_NODES, self._largest, self._previous)

    def _observe(self) -> None:
        now = self._now()
        members = len(self._view.members)
        if now - self._period_began >= REMEMBERED_S:
            is_next_period = now - self._period_began < 2 * REMEMBERED_S
            self._previous = self._largest if is_next_period else members
            self._period_began, self._largest = now, 0
        self._largest = max(self._largest, members)
