"""Differences between the entries of two configurations."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any


class DifferenceKind(StrEnum):
    """How an entry differs."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclass(frozen=True, slots=True)
class Difference:
    """An entry that differs from the version in force."""

    #: How the entry differs.
    kind: DifferenceKind
    #: Path of the entry in the document.
    location: str
    #: Value in the version in force; None if the entry was added.
    old: Any
    #: Value in the checked configuration; None if the entry was removed.
    new: Any


def compare_entries(old: Mapping[str, Any], new: Mapping[str, Any]) -> tuple[Difference, ...]:
    """Return the differences between two trees of entries, sorted by location.

    An entry that was added or removed with all that is below it is one difference.

    :param old: entries of the version in force.
    :param new: entries of the checked configuration.
    """
    return tuple(_compare(old, new, ""))


def _compare(old: Mapping[str, Any], new: Mapping[str, Any], path: str) -> Iterator[Difference]:
    for name in sorted(old.keys() | new.keys()):
        location = f"{path}{name}"
        if name not in old:
            yield Difference(DifferenceKind.ADDED, location, None, new[name])
        elif name not in new:
            yield Difference(DifferenceKind.REMOVED, location, old[name], None)
        elif isinstance(old[name], Mapping) and isinstance(new[name], Mapping):
            yield from _compare(old[name], new[name], f"{location}.")
        elif old[name] != new[name]:
            yield Difference(DifferenceKind.CHANGED, location, old[name], new[name])
