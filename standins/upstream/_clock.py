"""The upstream's own clock."""

import random
import time


class UpstreamClock:
    """Readings in milliseconds since a moment that differs at each start."""

    def __init__(self) -> None:
        self._offset_s = random.uniform(0, 1_000_000)

    def now(self) -> float:
        """Return seconds of the machine's monotonic clock."""
        return time.clock_gettime(time.CLOCK_MONOTONIC)

    def reading_ms(self) -> int:
        """Return a reading for answers."""
        return int((self.now() + self._offset_s) * 1000)

    def time_of_reading(self, reading_ms: int) -> float:
        """Return the machine's monotonic time of a reading, in seconds.

        :param reading_ms: the reading.
        """
        return reading_ms / 1000 - self._offset_s
