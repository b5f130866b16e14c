"""Counts of calls."""

import threading
from collections import Counter
from enum import Enum


class CallKind(Enum):
    """The kinds of calls that are counted."""

    READ = "read"
    WATCH = "watch"
    CAS = "cas"
    ACQUIRE = "acquire"
    SESSION_CREATE = "session_create"
    SESSION_RENEW = "session_renew"
    SESSION_DESTROY = "session_destroy"
    LIST = "list"


#: Kinds that count against the limit on writes; all others count as reads.
WRITES = frozenset(
    {
        CallKind.CAS,
        CallKind.ACQUIRE,
        CallKind.SESSION_CREATE,
        CallKind.SESSION_RENEW,
        CallKind.SESSION_DESTROY,
    }
)


class CallCounts:
    """Calls since the start, by kind, and how many were over the limits."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._calls: Counter[CallKind] = Counter()
        self._limited = 0

    def count(self, kind: CallKind) -> None:
        """Count one call.

        :param kind: its kind.
        """
        with self._lock:
            self._calls[kind] += 1

    def count_limited(self) -> None:
        """Count one call over the limits."""
        with self._lock:
            self._limited += 1

    def snapshot(self) -> dict[str, int]:
        """Return the counts by name; the totals are ``reads``, ``writes`` and ``limited``."""
        with self._lock:
            counts = {kind.value: self._calls[kind] for kind in CallKind}
            writes = sum(self._calls[kind] for kind in WRITES)
            total = sum(self._calls.values())
            return counts | {"writes": writes, "reads": total - writes, "limited": self._limited}
