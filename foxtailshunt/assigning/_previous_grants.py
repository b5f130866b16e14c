"""Tracks until when each upstream may hold keys by grants of previous leaders."""

import threading
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from foxtailshunt.fleet import KeyRange


@dataclass(frozen=True, slots=True)
class _Interval:
    service: str
    first: int
    last: int

    def without(self, other: "_Interval") -> Iterable["_Interval"]:
        """Return the parts of this interval that another one doesn't cover."""
        if other.service != self.service or other.first > self.last or other.last < self.first:
            yield self
            return
        if self.first < other.first:
            yield _Interval(self.service, self.first, other.first - 1)
        if other.last < self.last:
            yield _Interval(self.service, other.last + 1, self.last)


class PreviousGrants:
    """Grants of previous leaders that may be in force; thread-safe.

    The table that a leader takes over names every upstream that may hold a key: the owner of its
    range and, while the range moves, the previous owner. Each of them accepts grants of previous
    leaders for the key until it has seen a fencing token of this term for it.

    :param ranges: the ranges of the table when the term began.
    :param leaders_expire_at: returns the latest time at which a grant of any previous leader
        expires, in seconds of the clock.
    """

    def __init__(self, ranges: Iterable[KeyRange], leaders_expire_at: Callable[[], float]) -> None:
        self._leaders_expire_at = leaders_expire_at
        self._lock = threading.Lock()
        #: Keys under which the table names each upstream.
        self._named: defaultdict[str, list[_Interval]] = defaultdict(list)
        for item in ranges:
            for upstream_id in {item.owner, item.giver} - {None}:
                self._named[upstream_id].append(_interval(item))
        #: Those of them for which the upstream has not yet seen a token of this term.
        self._unfenced = dict(self._named)

    def expire_at(self, upstream_id: str) -> float:
        """Return until when an upstream may hold keys by these grants, in seconds of the clock.

        :param upstream_id: id of the upstream.
        :returns: minus infinity if the upstream refuses all of them.
        """
        with self._lock:
            if not self._unfenced.get(upstream_id):
                return float("-inf")
        return self._leaders_expire_at()

    def expire_at_latest(self) -> float:
        """Return until when any of these grants may be in force, in seconds of the clock."""
        return self._leaders_expire_at()

    def fence(self, upstream_id: str, keys: KeyRange) -> None:
        """Record that an upstream has seen a fencing token of this term.

        :param upstream_id: id of the upstream.
        :param keys: the keys of the grant or release that it has confirmed.
        """
        with self._lock:
            self._unfenced[upstream_id] = [
                part
                for item in self._unfenced.get(upstream_id, ())
                for part in item.without(_interval(keys))
            ]

    def forget(self, upstream_id: str) -> None:
        """Record that an upstream has terminated.

        :param upstream_id: id of the upstream.
        """
        with self._lock:
            self._unfenced.pop(upstream_id, None)

    def restore(self, upstream_id: str) -> None:
        """Record that an upstream has restarted, and no longer knows the tokens that it has seen.

        :param upstream_id: id of the upstream.
        """
        with self._lock:
            if upstream_id in self._named:
                self._unfenced[upstream_id] = self._named[upstream_id]


def _interval(keys: KeyRange) -> _Interval:
    return _Interval(keys.service, keys.first, keys.last)
