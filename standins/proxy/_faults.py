"""The faults that a link can have."""

from dataclasses import dataclass
from enum import Enum
from typing import Any


class Direction(Enum):
    """A direction of a link."""

    TO_TARGET = "to_target"
    TO_CALLER = "to_caller"
    BOTH = "both"

    def includes(self, other: "Direction") -> bool:
        """Return whether a single direction is meant by this one.

        :param other: TO_TARGET or TO_CALLER.
        """
        return self in (Direction.BOTH, other)


class Scope(Enum):
    """Which connections a fault meets."""

    #: Those open now.
    EXISTING = "existing"
    #: Those open now, and new ones while the fault is set.
    ALL = "all"


@dataclass(frozen=True, slots=True)
class Pass:
    """No fault from now on; what a connection has lost stays lost."""


@dataclass(frozen=True, slots=True)
class Refuse:
    """New connections are refused; those that are open go on."""


@dataclass(frozen=True, slots=True)
class Cut:
    """Connections open now are reset at both ends; new ones pass."""


@dataclass(frozen=True, slots=True)
class Silence:
    """Connections stay open but bytes and closings are lost, for good on each connection met."""

    #: The direction in which bytes are lost.
    direction: Direction = Direction.BOTH
    #: The connections that it meets.
    scope: Scope = Scope.ALL


@dataclass(frozen=True, slots=True)
class Delay:
    """Bytes arrive late in both directions."""

    #: By how much, in milliseconds.
    delay_ms: float


@dataclass(frozen=True, slots=True)
class Truncate:
    """Each connection passes a number of bytes more to its caller and is then closed."""

    #: How many bytes.
    byte_count: int


Fault = Pass | Refuse | Cut | Silence | Delay | Truncate


def fault_from_dict(value: dict[str, Any]) -> Fault:
    """Read a fault, such as ``{"kind": "silence", "direction": "both", "scope": "existing"}``.

    :param value: ``kind``, and the fields of the fault by name.
    :raises ValueError: the fault is not known or a field of it is not.
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
