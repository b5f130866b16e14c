"""Decodes responses of the platform's metadata store."""

import base64
from dataclasses import dataclass
from typing import Any

from foxtailshunt.platform._durations import parse_duration_s


@dataclass(frozen=True, slots=True)
class StoreItem:
    """A key with its value, as stored."""

    #: The key.
    key: str
    #: The value.
    value: bytes
    #: Revision of the last change of the key.
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


def to_item(wire: dict[str, Any]) -> StoreItem:
    """Return the item of a key.

    :param wire: the item in the body of a response.
    :raises KeyError, TypeError, ValueError: a field is missing or malformed.
    """
    return StoreItem(
        key=_to_key(wire),
        value=base64.b64decode(wire["value"], validate=True),
        revision=int(wire["revision"]),
        lease=int(wire.get("lease", 0)),
    )


def to_item_at(wire: dict[str, Any]) -> tuple[StoreItem, int]:
    """Return the item of a key, and the revision of the store when it was read.

    :param wire: body of the response.
    :raises KeyError, TypeError, ValueError: a field is missing or malformed.
    """
    return to_item(wire), int(wire["as_of"])


def to_revision(wire: dict[str, Any]) -> int:
    """Return the revision of a change.

    :param wire: body of the response.
    :raises KeyError, TypeError, ValueError: a field is missing or malformed.
    """
    return int(wire["revision"])


def to_lease(wire: dict[str, Any]) -> tuple[int, float]:
    """Return the id and the time to live of a lease, in seconds.

    :param wire: body of the response.
    :raises KeyError, TypeError, ValueError: a field is missing or malformed.
    """
    return int(wire["lease"]), parse_duration_s(wire["ttl_time"])


def to_page(wire: dict[str, Any]) -> StorePage:
    """Return a page of a list of items.

    :param wire: body of the response.
    :raises KeyError, TypeError, ValueError: a field is missing or malformed.
    """
    items = tuple(to_item(item) for item in wire["items"])
    return StorePage(items, int(wire["as_of"]), bool(wire.get("has_more")))


def to_changes(wire: dict[str, Any]) -> tuple[list[StoreChange], int]:
    """Return changes of keys, and the revision to continue from.

    :param wire: body of the response.
    :raises KeyError, TypeError, ValueError: a field is missing or malformed.
    """
    return [_to_change(event) for event in wire["events"]], int(wire["as_of"])


def _to_change(wire: dict[str, Any]) -> StoreChange:
    return StoreChange(_to_key(wire), None if wire.get("tombstone") else to_item(wire))


def _to_key(wire: dict[str, Any]) -> str:
    key = wire["key"]
    if not isinstance(key, str):
        raise TypeError("the key is not text")
    return key
