"""Violations that the checks report."""

from dataclasses import dataclass
from functools import singledispatch


@dataclass(frozen=True, slots=True)
class TwoOwners:
    """Two upstreams held a slot, or one key, at one moment."""

    #: The service.
    service: str
    #: The slot; None if it is not known.
    slot: int | None
    #: The key; None for a whole slot.
    key: str | None
    #: Ids of both upstreams.
    upstreams: tuple[str, str]
    #: When both began to hold it.
    start: float
    #: When one of them ended.
    end: float


@dataclass(frozen=True, slots=True)
class RunOutsideGrant:
    """A request took effect at an upstream that did not hold its key."""

    #: The service.
    service: str
    #: The upstream.
    upstream: str
    #: The request.
    request_id: str
    #: The request's slot.
    slot: int
    #: When work began.
    start: float
    #: When it took effect.
    end: float


@dataclass(frozen=True, slots=True)
class RanTwice:
    """A request that must not repeat took effect more than once."""

    #: The request.
    request_id: str
    #: The upstreams, in order of the effects.
    upstreams: tuple[str, ...]
    #: When each effect was.
    at: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class AssignmentLost:
    """After an assignment was accepted another upstream began to hold what it gave."""

    #: The service.
    service: str
    #: The slot; None if a key was assigned.
    slot: int | None
    #: The key; None if a slot was assigned.
    key: str | None
    #: The upstream of the accepted assignment.
    assigned_to: str
    #: When it was accepted.
    accepted_at: float
    #: The upstream that began to hold it.
    held_by: str
    #: When it began.
    at: float


Violation = TwoOwners | RunOutsideGrant | RanTwice | AssignmentLost


@singledispatch
def describe(violation: Violation) -> str:
    """Return one line for people.

    :param violation: the violation.
    """
    raise TypeError(f"no description of {type(violation).__name__}")


@describe.register
def _(violation: TwoOwners) -> str:
    first, second = violation.upstreams
    what = _what(violation.service, violation.slot, violation.key)
    span_ms = (violation.end - violation.start) * 1000
    return f"two owners: {what} at {first} and {second} for {span_ms:.1f} ms"


@describe.register
def _(violation: RunOutsideGrant) -> str:
    what = f"{violation.request_id} at {violation.upstream}"
    return f"run outside a grant: {what}, slot {violation.slot}, {violation.end:.3f} s"


@describe.register
def _(violation: RanTwice) -> str:
    return f"ran {len(violation.at)} times: {violation.request_id} at {violation.upstreams}"


@describe.register
def _(violation: AssignmentLost) -> str:
    what = _what(violation.service, violation.slot, violation.key)
    accepted = f"accepted for {violation.assigned_to} at {violation.accepted_at:.3f} s"
    return (
        f"assignment lost: {what} {accepted}, held by {violation.held_by} at {violation.at:.3f} s"
    )


def _what(service: str, slot: int | None, key: str | None) -> str:
    return f"{service} key {key}" if key is not None else f"{service} slot {slot}"
