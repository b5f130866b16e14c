"""Defines upstreams, key ranges and members."""

from dataclasses import dataclass

from foxtailshunt.network import Address


@dataclass(frozen=True, slots=True)
class Upstream:
    """An upstream that is registered on the platform."""

    #: Id under which it is registered.
    upstream_id: str
    #: Service that it belongs to.
    service: str
    #: Host and port.
    address: Address
    #: Availability zone.
    zone: str
    #: Number of requests that it processes concurrently.
    slots: int
    #: True once it must not get new requests.
    leaving: bool
    #: Remaining warm-up time, in seconds, when this node got this value.
    warmup_s: float
    #: When it started, in milliseconds of its own clock since the epoch; 0 if unknown.
    started_ms: int
    #: Zones whose nodes should not send to it, because it fails their requests.
    avoided_zones: tuple[str, ...] = ()
    #: Work that it does for each of its slots, relative to the average of its service, as estimated
    #: by the leader.
    capacity_ratio: float = 1.0

    @property
    def incarnation(self) -> tuple[str, Address, int]:
        """Return the id, address and start time, which together identify one run of it."""
        return self.upstream_id, self.address, self.started_ms


@dataclass(frozen=True, slots=True)
class KeyRange:
    """A contiguous range of keys of one service, and its owner."""

    #: Name of the service.
    service: str
    #: First key.
    first: int
    #: Last key, inclusive.
    last: int
    #: Id of the upstream that owns the keys; during a move, of the new owner.
    owner: str
    #: Fencing token of the owner's grant.
    fence: int
    #: Id of the previous owner while it may still hold the keys, else None.
    giver: str | None = None
    #: True while requests for the keys must not be sent to any upstream.
    moving: bool = False


@dataclass(frozen=True, slots=True)
class Member:
    """One node of the system."""

    #: Id of the instance.
    instance_id: str
    #: Id of its process, drawn anew at each start.
    boot_id: str
    #: Availability zone.
    zone: str
    #: Address at which it serves other nodes.
    address: Address
    #: True once it accepts no more requests from other nodes.
    leaving: bool = False
    #: Address at which it serves metrics and dumps; None if unknown.
    operator_address: Address | None = None
