"""Lets requests wait while the memory of an earlier sender is being asked for."""

import threading

from foxtailshunt.timing import Clock

_PULL_WAIT_S = 0.3


class PullGate:
    """Counts the transfers of memory to one upstream that are under way.

    :param clock: the clock of deadlines.
    """

    def __init__(self, clock: Clock) -> None:
        #: Longest time that a request waits for the memory, in seconds.
        self.longest_wait_s = _PULL_WAIT_S
        self._clock = clock
        self._changed = threading.Condition()
        self._count = 0

    def begin(self) -> None:
        """Count a transfer that begins."""
        with self._changed:
            self._count += 1

    def end(self) -> None:
        """Count a transfer that ended, whatever it brought."""
        with self._changed:
            self._count -= 1
            self._changed.notify_all()

    def wait(self, deadline_at: float) -> None:
        """Wait until no transfer is under way, within bounds.

        :param deadline_at: when the waiting request is due, in seconds of the monotonic clock.
        """
        remaining_s = min(self.longest_wait_s, deadline_at - self._clock.now())
        with self._changed:
            self._changed.wait_for(lambda: self._count == 0, max(0.0, remaining_s))
