"""Clocks that parts are handed, so that a test can hand them another."""

import time
from typing import Protocol


class Clock(Protocol):
    """A source of monotonic and wall time, both in seconds."""

    def now(self) -> float:
        """Return monotonic time in seconds."""
        ...

    def wall_time(self) -> float:
        """Return wall time in seconds since the epoch."""
        ...


class MonotonicClock:
    """The machine's clock.

    Monotonic time is ``CLOCK_BOOTTIME``: it counts the time that a machine spends suspended, so
    that a lease is seen as lapsed after a suspension.
    """

    def now(self) -> float:
        """Return seconds since the machine started, suspension included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_time(self) -> float:
        """Return wall time in seconds since the epoch."""
        return time.time()
