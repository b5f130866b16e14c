"""The faults that can be injected into a link."""

from dataclasses import dataclass
from enum import Enum
from typing import Any


class Direction(Enum):
    """A direction of a link."""

    TO_TARGET = "to_target"
    TO_CALLER = "to_caller"
    BOTH = "both"

    def includes(self, other: "Direction") -> bool:
        """Return whether this includes a single direction.

        :param other: TO_TARGET or TO_CALLER.
        """
        return self in (Direction.BOTH, other)


class Scope(Enum):
    """The connections that a fault affects."""

    #: Connections that are open when the fault is set.
    EXISTING = "existing"
    #: Open connections, and those that are opened while the fault is set.
    ALL = "all"


@dataclass(frozen=True, slots=True)
class Pass:
    """No fault; a connection on which bytes were dropped does not recover."""


@dataclass(frozen=True, slots=True)
class Refuse:
    """New connections are refused; open connections are not affected."""


@dataclass(frozen=True, slots=True)
class Cut:
    """Open connections are reset at both ends; new connections are not affected."""


@dataclass(frozen=True, slots=True)
class Silence:
    """Affected connections stay open, but their bytes and closes are dropped permanently."""

    #: The direction in which bytes are dropped.
    direction: Direction = Direction.BOTH
    #: The connections that it affects.
    scope: Scope = Scope.ALL


@dataclass(frozen=True, slots=True)
class Delay:
    """Bytes are delayed in both directions."""

    #: The delay in milliseconds.
    delay_ms: float


@dataclass(frozen=True, slots=True)
class Truncate:
    """Each connection is closed after a number of further bytes to its caller."""

    #: The number of bytes.
    byte_count: int


Fault = Pass | Refuse | Cut | Silence | Delay | Truncate


def fault_from_dict(value: dict[str, Any]) -> Fault:
    """Read a fault, such as ``{"kind": "silence", "direction": "both", "scope": "existing"}``.

    :param value: ``kind`` and the fields of the fault by name.
    :raises ValueError: the kind or a field of the fault is unknown.
    """
    fields = dict(value)
    kind = fields.pop("kind", None)
    if kind not in _KINDS:
        raise ValueError(f"unknown fault '{kind}'")
    if "direction" in fields:
        fields["direction"] = Direction(fields["direction"])
    if "scope" in fields:
        fields["scope"] = Scope(fields["scope"])
    try:
        return _KINDS[kind](**fields)
    except TypeError as exc:
        raise ValueError(f"fault '{kind}': {exc}")


_KINDS: dict[str | None, type] = {
    "pass": Pass,
    "refuse": Refuse,
    "cut": Cut,
    "silence": Silence,
    "delay": Delay,
    "truncate": Truncate,
}
