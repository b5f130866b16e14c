"""Finds the owner of a key."""

from bisect import bisect_right
from collections.abc import Iterable

from foxtailshunt.fleet._types import KeyRange

#: Number of keys of a service; keys run from 0.
KEY_COUNT = 65_536


class OwnershipTable:
    """The ranges of all keyed services; it never changes.

    :param ranges: ranges that do not overlap inside a service.
    """

    def __init__(self, ranges: Iterable[KeyRange]) -> None:
        self.ranges = tuple(sorted(ranges, key=lambda item: (item.service, item.first)))
        self._by_service: dict[str, tuple[list[int], list[KeyRange]]] = {}
        for item in self.ranges:
            firsts, found = self._by_service.setdefault(item.service, ([], []))
            firsts.append(item.first)
            found.append(item)

    def find(self, service: str, key: int) -> KeyRange | None:
        """Return the range that a key lies in, or None.

        :param service: name of the service.
        :param key: the key.
        """
        firsts, found = self._by_service.get(service, ([], []))
        place = bisect_right(firsts, key) - 1
        if place < 0 or found[place].last < key:
            return None
        return found[place]

    def of_service(self, service: str) -> list[KeyRange]:
        """Return the ranges of a service in order of their keys.

        :param service: name of the service.
        """
        return self._by_service.get(service, ([], []))[1]
