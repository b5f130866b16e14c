"""Remembers which nodes exit soon, for the requests that they have passed on to this node."""

import threading

from foxtailshunt.relay._stop_schedule import StopSchedule

#: How long the exit of a node is remembered, in seconds: its requests end soon after.
REMEMBERED_S = 10.0


class OriginExits:
    """The announced exits of other nodes, by boot id; thread-safe.

    Without them, the requests of a stopping node would wait here until their own deadlines, and
    their callers would get no answer once the node has exited.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._exits: dict[str, tuple[float, StopSchedule]] = {}
        self._endless = StopSchedule()

    def record(self, origin: str, exits_at: float, now: float) -> None:
        """Record that a node exits.

        :param origin: boot id of the node.
        :param exits_at: when it exits, in seconds of the monotonic clock.
        :param now: the time in seconds of the monotonic clock.
        """
        schedule = StopSchedule()
        schedule.begin(exits_at)
        with self._lock:
            self._exits = {
                name: item
                for name, item in self._exits.items()
                if now < item[0] + REMEMBERED_S and name != origin
            }
            self._exits[origin] = (exits_at, schedule)

    def schedule_of(self, origin: str) -> StopSchedule:
        """Return the schedule of a node; one without an end unless it has announced its exit.

        :param origin: boot id of the node; empty for this one.
        """
        with self._lock:
            found = self._exits.get(origin)
        return self._endless if found is None else found[1]
