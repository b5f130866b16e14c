"""Grants of key ranges to an upstream, with fencing tokens."""

import threading
import time
from dataclasses import dataclass


@dataclass(slots=True)
class HeldGrant:
    """A key range and the period in which it is held."""

    first: int
    last: int
    fence: int
    #: Start of the period, in seconds of the monotonic clock.
    since: float
    #: End of the period, in seconds of the monotonic clock.
    #: Renewals extend it, releases shorten it.
    until: float

    def covers(self, key: int) -> bool:
        """Return whether the key range contains a key."""
        return self.first <= key <= self.last


class KeyGrants:
    """Grants of an upstream and the fencing tokens seen on each key range.

    Safe to use from several threads.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        #: All past and present grants, for later checks.
        self.history: list[HeldGrant] = []
        self._seen_fences: list[tuple[int, int, int]] = []

    def grant(self, first: int, last: int, fence: int, hold_s: float, arrived: float) -> bool:
        """Grant or renew keys; return False if a higher fencing token was seen on one of them."""
        with self._lock:
            if self._highest_fence(first, last) > fence:
                return False
            self._seen_fences.append((first, last, fence))
            until = arrived + hold_s
            now = time.monotonic()
            for held in self.history:
                same = (held.first, held.last, held.fence) == (first, last, fence)
                if same and held.until >= now:
                    held.until = max(held.until, until)
                    return True
            if until > now:
                self.history.append(HeldGrant(first, last, fence, now, until))
            return True

    def release(self, first: int, last: int, fence: int) -> None:
        """Release keys regardless of the fencing token."""
        now = time.monotonic()
        with self._lock:
            self._seen_fences.append((first, last, fence))
            for held in [h for h in self.history if h.until > now]:
                if held.first > last or held.last < first:
                    continue
                for low, high in ((held.first, first - 1), (last + 1, held.last)):
                    if low <= high:
                        rest = HeldGrant(low, high, held.fence, held.since, held.until)
                        self.history.append(rest)
                held.first, held.last = max(held.first, first), min(held.last, last)
                held.until = now

    def end_all(self) -> None:
        """End all grants, as if the process had exited."""
        now = time.monotonic()
        with self._lock:
            for held in self.history:
                held.until = min(held.until, now)

    def holds(self, key: int) -> bool:
        """Return whether a key is held now."""
        now = time.monotonic()
        with self._lock:
            return any(held.covers(key) and held.until > now for held in self.history)

    def held_count(self) -> int:
        """Return how many keys are held now."""
        now = time.monotonic()
        with self._lock:
            keys: set[int] = set()
            for held in self.history:
                if held.until > now:
                    keys.update(range(held.first, held.last + 1))
            return len(keys)

    def _highest_fence(self, first: int, last: int) -> int:
        return max(
            (fence for low, high, fence in self._seen_fences if low <= last and high >= first),
            default=0,
        )
