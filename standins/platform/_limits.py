"""Limits on calls a second."""

import threading
import time


class RateLimit:
    """A token bucket that holds one second's worth of calls.

    :param calls_per_s: calls allowed a second; None for no limit.
    """

    def __init__(self, calls_per_s: float | None) -> None:
        self._lock = threading.Lock()
        self._calls_per_s = calls_per_s
        self._tokens = calls_per_s or 0.0
        self._filled_at = time.monotonic()

    def take(self) -> bool:
        """Count one call; False if it is over the limit."""
        if self._calls_per_s is None:
            return True
        with self._lock:
            self._fill(self._calls_per_s)
            if self._tokens < 1:
                return False
            self._tokens -= 1
            return True

    def _fill(self, calls_per_s: float) -> None:
        now = time.monotonic()
        self._tokens += (now - self._filled_at) * calls_per_s
        self._tokens = min(self._tokens, calls_per_s)
        self._filled_at = now
