"""A budget of retries as a fraction of recent successes."""

import threading

_MAX_TOKENS = 50.0
_FIRST_TOKENS = 5.0


class RetryBudget:
    """Lets retries through while they are a small part of the successes.

    :param ratio: tokens that each success adds; a retry takes one.
    """

    def __init__(self, ratio: float) -> None:
        self._ratio = ratio
        self._lock = threading.Lock()
        self._tokens = _FIRST_TOKENS

    def add_success(self) -> None:
        """Count a success."""
        with self._lock:
            self._tokens = min(_MAX_TOKENS, self._tokens + self._ratio)

    def take(self) -> bool:
        """Take the right to one retry; False if there is none."""
        with self._lock:
            if self._tokens < 1:
                return False
            self._tokens -= 1
            return True
