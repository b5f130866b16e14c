"""Decodes responses of the platform's metadata store."""

import base64
from dataclasses import dataclass
from typing import Any

from foxtailshunt.fleet import at_era
from foxtailshunt.platform._durations import parse_duration_s

#: Bits of a lease below the era of the store in which it was opened.
LEASE_BITS = 64


@dataclass(frozen=True, slots=True)
class StoreItem:
    """A key with its value, as stored."""

    #: The key.
    key: str
    #: The value.
    value: bytes
    #: Revision of the last change of the key, with the era in which it was read.
    revision: int
    #: Lease that the key is bound to; 0 for none.
    lease: int


@dataclass(frozen=True, slots=True)
class StoreChange:
    """A change of a key."""

    #: The key.
    key: str
    #: The new item; None if the key was removed.
    item: StoreItem | None


@dataclass(frozen=True, slots=True)
class StorePage:
    """A page of a list of items."""

    #: The items.
    items: tuple[StoreItem, ...]
    #: Revision of the store when the page was read.
    revision: int
    #: Whether there are further pages.
    has_more: bool


def to_item(wire: dict[str, Any], era: int) -> StoreItem:
    """Return the item of a key.

    :param wire: the item in the body of a response.
    :param era: era of the response.
    :raises KeyError, TypeError, ValueError: a field is missing or malformed.
    """
    return StoreItem(
        key=_to_key(wire),
        value=base64.b64decode(wire["value"], validate=True),
        revision=_to_revision(wire["revision"], era),
        lease=int(wire.get("lease", 0)),
    )


def to_item_at(wire: dict[str, Any], era: int) -> tuple[StoreItem, int]:
    """Return the item of a key, and the revision of the store when it was read.

    :param wire: body of the response.
    :param era: era of the response.
    :raises KeyError, TypeError, ValueError: a field is missing or malformed.
    """
    return to_item(wire, era), _to_revision(wire["as_of"], era)


def to_revision(wire: dict[str, Any], era: int) -> int:
    """Return the revision of a change.

    :param wire: body of the response.
    :param era: era of the response.
    :raises KeyError, TypeError, ValueError: a field is missing or malformed.
    """
    return _to_revision(wire["revision"], era)


def to_lease(wire: dict[str, Any], era: int) -> tuple[int, float]:
    """Return the id and the time to live of a lease, in seconds.

    :param wire: body of the response.
    :param era: era of the response, which the id contains.
    :raises KeyError, TypeError, ValueError: a field is missing or malformed.
    """
    return era << LEASE_BITS | int(wire["lease"]), parse_duration_s(wire["ttl_time"])


def to_page(wire: dict[str, Any], era: int) -> StorePage:
    """Return a page of a list of items.

    :param wire: body of the response.
    :param era: era of the response.
    :raises KeyError, TypeError, ValueError: a field is missing or malformed.
    """
    items = tuple(to_item(item, era) for item in wire["items"])
    return StorePage(items, _to_revision(wire["as_of"], era), bool(wire.get("has_more")))


def to_changes(wire: dict[str, Any], era: int) -> tuple[list[StoreChange], int]:
    """Return changes of keys, and the revision to continue from.

    :param wire: body of the response.
    :param era: era of the response.
    :raises KeyError, TypeError, ValueError: a field is missing or malformed.
    """
    changes = [_to_change(event, era) for event in wire["events"]]
    return changes, _to_revision(wire["as_of"], era)


def _to_change(wire: dict[str, Any], era: int) -> StoreChange:
    return StoreChange(_to_key(wire), None if wire.get("tombstone") else to_item(wire, era))


def _to_revision(value: Any, era: int) -> int:
    return at_era(era, int(value))


def _to_key(wire: dict[str, Any]) -> str:
    key = wire["key"]
    if not isinstance(key, str):
        raise TypeError("the key is not text")
    return key
