"""Counts calls in progress, so that a stop can wait for them."""

import threading


class InProgress:
    """Calls in progress; safe to use from any thread."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._count = 0
        self._is_stopping = False

    @property
    def is_stopping(self) -> bool:
        """Return whether new calls are refused."""
        return self._is_stopping

    @property
    def count(self) -> int:
        """Return how many calls are in progress."""
        return self._count

    def enter(self) -> bool:
        """Count a new call; False if it is refused."""
        with self._changed:
            if self._is_stopping:
                return False
            self._count += 1
            return True

    def leave(self) -> None:
        """Count the end of a call."""
        with self._changed:
            self._count -= 1
            if self._is_stopping:
                self._changed.notify_all()

    def stop(self, grace_s: float) -> bool:
        """Refuse new calls and wait until none is in progress.

        :param grace_s: longest wait in seconds.
        :returns: True if none is in progress.
        """
        with self._changed:
            self._is_stopping = True
            return self._changed.wait_for(lambda: self._count == 0, grace_s)
