"""Clock interface, which tests can replace, and its implementation on the system clock."""

import time
from typing import Protocol


class Clock(Protocol):
    """A source of monotonic time, in seconds."""

    def now(self) -> float:
        """Return monotonic time in seconds."""
        ...


class MonotonicClock:
    """The system clock.

    Monotonic time is ``CLOCK_BOOTTIME``, which includes time spent in suspension, so that a lease
    is recognized as expired after the machine was suspended.
    """

    def now(self) -> float:
        """Return seconds since the machine was booted, including time in suspension."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
