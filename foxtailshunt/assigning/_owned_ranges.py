"""The ranges of the ownership table while this node leads."""

import threading
from collections.abc import Iterable
from dataclasses import replace

from foxtailshunt.fleet import KeyRange


class OwnedRanges:
    """The ranges of the table of one term; thread-safe.

    A grant of keys may begin only while the table contains their range as it was read, with the
    same owner and token.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._ranges: tuple[KeyRange, ...] = ()
        #: The same, to look one up for each grant.
        self._current: frozenset[KeyRange] = frozenset()

    def all(self) -> tuple[KeyRange, ...]:
        """Return all ranges."""
        return self._ranges

    def replace_all(self, ranges: Iterable[KeyRange]) -> None:
        """Replace all ranges.

        :param ranges: the ranges.
        """
        with self._lock:
            self._set(ranges)

    def contains(self, keys: KeyRange) -> bool:
        """Return whether a range is part of the table.

        :param keys: the range, with its owner and token.
        """
        return keys in self._current

    def owned_by(self, upstream_id: str) -> list[KeyRange]:
        """Return the ranges that an upstream owns or is to own after a move.

        :param upstream_id: id of the upstream.
        """
        return [item for item in self._ranges if item.owner == upstream_id]

    def of_service(self, service: str) -> list[KeyRange]:
        """Return the ranges of a service.

        :param service: name of the service.
        """
        return [item for item in self._ranges if item.service == service]

    def complete_move(self, keys: KeyRange) -> bool:
        """Record that only the new owner holds the keys; return False if the move has ended.

        :param keys: the moving range.
        """
        with self._lock:
            if keys not in self._current:
                return False
            completed = replace(keys, giver=None, moving=False)
            self._set(completed if item == keys else item for item in self._ranges)
            return True

    def change(
        self,
        changed: Iterable[tuple[KeyRange, list[KeyRange]]],
        initial: Iterable[KeyRange],
    ) -> None:
        """Replace ranges by others and add further ones.

        :param changed: each range with those that replace it; without effect if it is not there.
        :param initial: the further ranges.
        """
        with self._lock:
            self._set(self._with_changes(changed, initial))

    def with_changes(
        self,
        changed: Iterable[tuple[KeyRange, list[KeyRange]]],
        initial: Iterable[KeyRange],
    ) -> list[KeyRange]:
        """Return the ranges as they would be after :meth:`change`.

        :param changed: each range with those that replace it; without effect if it is not there.
        :param initial: the further ranges.
        """
        with self._lock:
            return self._with_changes(changed, initial)

    def _with_changes(
        self,
        changed: Iterable[tuple[KeyRange, list[KeyRange]]],
        initial: Iterable[KeyRange],
    ) -> list[KeyRange]:
        ranges = dict.fromkeys(self._ranges)
        for before, after in changed:
            if before in ranges:
                del ranges[before]
                ranges |= dict.fromkeys(after)
        return [*ranges, *initial]

    def _set(self, ranges: Iterable[KeyRange]) -> None:
        self._ranges = tuple(ranges)
        self._current = frozenset(self._ranges)
