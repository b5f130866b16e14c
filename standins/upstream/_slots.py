"""The upstream's slots: how much work it does at one time."""

import threading


class WorkSlots:
    """Lets in as many as there are slots, and makes a few more wait.

    :param slots: work done at one time.
    :param queue: work that may wait for a slot.
    """

    def __init__(self, slots: int, queue: int) -> None:
        self._condition = threading.Condition()
        self._free = slots
        self._slots = slots
        self._queue = queue
        self._waiting = 0

    @property
    def load(self) -> float:
        """Return the share of slots in use, over 1 while work waits."""
        return (self._slots - self._free + self._waiting) / self._slots

    def enter(self) -> bool:
        """Take a slot, after a wait in the queue if need be; False if the queue is full."""
        with self._condition:
            if self._free > 0:
                self._free -= 1
                return True
            if self._waiting >= self._queue:
                return False
            self._waiting += 1
            self._condition.wait_for(lambda: self._free > 0)
            self._waiting -= 1
            self._free -= 1
            return True

    def leave(self) -> None:
        """Give a slot back."""
        with self._condition:
            self._free += 1
            self._condition.notify()
