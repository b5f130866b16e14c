"""Looks up the owner of a key."""

from bisect import bisect_right
from collections.abc import Iterable

from foxtailshunt.fleet._types import KeyRange


class OwnershipTable:
    """The ranges of all keyed services; immutable.

    :param ranges: the ranges; those of one service must not overlap.
    """

    def __init__(self, ranges: Iterable[KeyRange]) -> None:
        self.ranges = tuple(sorted(ranges, key=lambda item: (item.service, item.first)))
        self._by_service: dict[str, tuple[list[int], list[KeyRange]]] = {}
        for item in self.ranges:
            firsts, found = self._by_service.setdefault(item.service, ([], []))
            firsts.append(item.first)
            found.append(item)

    def find(self, service: str, key: int) -> KeyRange | None:
        """Return the range that contains a key, or None.

        :param service: name of the service.
        :param key: the key.
        """
        firsts, found = self._by_service.get(service, ([], []))
        index = bisect_right(firsts, key) - 1
        if index < 0 or found[index].last < key:
            return None
        return found[index]

    def changes_since(self, older: "OwnershipTable") -> tuple[KeyRange, ...]:
        """Return the ranges that an older table does not contain, in order of their keys.

        :param older: a table that covers the same keys.
        """
        known = frozenset(older.ranges)
        return tuple(item for item in self.ranges if item not in known)

    def with_changes(self, changes: Iterable[KeyRange]) -> "OwnershipTable":
        """Return a table in which changed ranges replace those that they overlap.

        :param changes: the changed ranges, as returned by :meth:`changes_since`.
        """
        changed = OwnershipTable(changes)
        kept = (item for item in self.ranges if not changed._overlaps(item))
        return OwnershipTable((*kept, *changed.ranges))

    def _overlaps(self, item: KeyRange) -> bool:
        firsts, found = self._by_service.get(item.service, ([], []))
        index = bisect_right(firsts, item.last) - 1
        return index >= 0 and found[index].last >= item.first

    def of_service(self, service: str) -> list[KeyRange]:
        """Return the ranges of a service in order of their keys.

        :param service: name of the service.
        """
        return self._by_service.get(service, ([], []))[1]
