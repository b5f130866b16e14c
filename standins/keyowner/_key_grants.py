"""The grants that an upstream holds."""

import threading
import time
from dataclasses import dataclass


@dataclass(slots=True)
class HeldGrant:
    """Keys that are held, and when."""

    first: int
    last: int
    fence: int
    #: Since when, in seconds of the monotonic clock.
    since: float
    #: Until when; moved on by renewals, back by releases.
    until: float

    def covers(self, key: int) -> bool:
        """Return whether a key lies in the grant."""
        return self.first <= key <= self.last


class KeyGrants:
    """Grants by range with the highest fencing token seen on each key."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        #: Everything that was ever held, for checking afterwards.
        self.history: list[HeldGrant] = []
        self._seen: list[tuple[int, int, int]] = []

    def grant(self, first: int, last: int, fence: int, hold_s: float, arrived: float) -> bool:
        """Take keys, or renew them; false if a higher fencing token was seen on one of them."""
        with self._lock:
            if self._highest(first, last) > fence:
                return False
            self._seen.append((first, last, fence))
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
        """Give keys up; nothing is refused."""
        now = time.monotonic()
        with self._lock:
            self._seen.append((first, last, fence))
            for held in [h for h in self.history if h.until > now]:
                if held.first > last or held.last < first:
                    continue
                for low, high in ((held.first, first - 1), (last + 1, held.last)):
                    if low <= high:
                        rest = HeldGrant(low, high, held.fence, held.since, held.until)
                        self.history.append(rest)
                held.first, held.last = max(held.first, first), min(held.last, last)
                held.until = now

    def forget(self) -> None:
        """Hold nothing any more, as after the end of the process."""
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

    def _highest(self, first: int, last: int) -> int:
        return max((f for low, high, f in self._seen if low <= last and high >= first), default=0)
