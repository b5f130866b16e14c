"""A bound on retries as a fraction of successes."""

import threading

_INITIAL_TOKENS = 5.0
_MAX_TOKENS = 20.0
#: Rounding error allowed for, in tokens.
_TOLERANCE = 1e-6


class RetryBudget:
    """A token bucket that successes fill and retries empty; safe to use from any thread.

    :param ratio: retries allowed for each success.
    """

    def __init__(self, ratio: float) -> None:
        self.ratio = ratio
        self._lock = threading.Lock()
        self._tokens = _INITIAL_TOKENS if ratio > 0 else 0.0

    @property
    def tokens(self) -> float:
        """Return the retries allowed now."""
        return self._tokens

    def note_success(self) -> None:
        """Add what one success allows."""
        with self._lock:
            self._tokens = min(_MAX_TOKENS, self._tokens + self.ratio)

    def take(self) -> bool:
        """Take one retry; False if there is none left."""
        with self._lock:
            if self._tokens < 1 - _TOLERANCE:
                return False
            self._tokens = max(0.0, self._tokens - 1)
            return True

    def give_back(self) -> None:
        """Return a retry that was taken and not used."""
        with self._lock:
            self._tokens = min(_MAX_TOKENS, self._tokens + 1)
