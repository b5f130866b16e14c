"""Upstreams, ranges of keys and members."""

from dataclasses import dataclass

from foxtailshunt.network import Address


@dataclass(frozen=True, slots=True)
class Upstream:
    """One upstream that is registered on the platform."""

    #: Id of its incarnation.
    upstream_id: str
    #: Service that it belongs to.
    service: str
    #: Host and port.
    address: Address
    #: Availability zone.
    zone: str
    #: Requests that it processes at one time.
    slots: int
    #: True once it must not get new work.
    leaving: bool
    #: How much longer it stays slow after its start, in seconds.
    warmup_s: float
    #: When it started, in milliseconds of its own clock since the epoch; 0 if it does not say.
    started_ms: int


@dataclass(frozen=True, slots=True)
class KeyRange:
    """A run of keys of one service and the upstream that owns them."""

    #: Name of the service.
    service: str
    #: First key.
    first: int
    #: Last key, inclusive.
    last: int
    #: Upstream that owns the keys, or is about to.
    owner: str
    #: Fencing token of the owner's grant.
    fence: int
    #: The owner before, until it has surely given the keys up.
    giver: str | None = None
    #: True while no upstream may be sent requests for the keys.
    moving: bool = False


@dataclass(frozen=True, slots=True)
class Member:
    """One node of the system."""

    #: Name of the instance.
    instance_id: str
    #: Drawn anew at each start of its process.
    boot_id: str
    #: Availability zone.
    zone: str
    #: Where it answers other nodes.
    address: Address
    #: True once it takes no more work from other nodes.
    leaving: bool = False
    #: Where it serves metrics and dumps; None if it does not say.
    operator_address: Address | None = None
