"""Data classes of the operators' configuration, as the programs use them."""

from dataclasses import dataclass
from enum import Enum

from foxtailshunt.ownership import Address


class Rank(Enum):
    """The rank of an operation; members stand in the order in which they are served."""

    URGENT = "urgent"
    CAREFUL = "careful"
    DEFERRABLE = "deferrable"


@dataclass(frozen=True, slots=True)
class Operation:
    """One operation of a service."""

    #: Unique within the service.
    name: str
    #: HTTP method.
    method: str
    #: Path pattern; ``{key}`` stands for the key and ``{name}`` for any other one segment.
    path: str
    #: Name of the query parameter that holds the key, if the path does not.
    key_query: str | None
    #: The rank that requests of this operation are served at.
    rank: Rank
    #: True if a request may run more than once.
    idempotent: bool
    #: Time a caller waits for the answer, in seconds.
    deadline_s: float


@dataclass(frozen=True, slots=True)
class Upstream:
    """One upstream of a service."""

    #: Unique across the fleet.
    upstream_id: str
    #: The availability zone that it stands in.
    zone: str
    #: Where it serves HTTP.
    address: Address
    #: False if it obeys any sender, whatever the fence.
    checks_fences: bool


@dataclass(frozen=True, slots=True)
class UpstreamLimits:
    """Limits towards each upstream of a service."""

    #: Requests that the upstream works on at one time.
    slots: int
    #: Connections that the upstream accepts.
    connections: int
    #: Time over which the in-flight limit rises after a cold start, in seconds.
    slow_start_s: float


@dataclass(frozen=True, slots=True)
class FloorShares:
    """Shares of an upstream's capacity kept for ranks below urgent while they have work."""

    #: Share for careful work, from 0 to 1.
    careful: float
    #: Share for deferrable work, from 0 to 1.
    deferrable: float


@dataclass(frozen=True, slots=True)
class QueueLimits:
    """Longest queue of each rank at one upstream, in requests."""

    #: For urgent work.
    urgent: int
    #: For careful work.
    careful: int
    #: For deferrable work.
    deferrable: int


@dataclass(frozen=True, slots=True)
class Service:
    """One service: its upstreams, operations and limits."""

    #: Unique in the configuration.
    name: str
    #: Number of slots that keys hash to; never changes for a service.
    slot_count: int
    #: Upstreams of all zones.
    upstreams: tuple[Upstream, ...]
    #: Operations that callers may ask for.
    operations: tuple[Operation, ...]
    #: Limits towards each upstream.
    limits: UpstreamLimits
    #: Capacity shares of the lower ranks.
    floors: FloorShares
    #: Queue lengths at each upstream.
    queues: QueueLimits
    #: Retries allowed as a fraction of recent successes.
    retry_budget: float
    #: Time that a zone without the platform may go on with its slots, in seconds; None if no other
    #: zone ever takes them.
    offline_limit_s: float | None
    #: Most slots moved at a time for balance.
    max_moves: int


@dataclass(frozen=True, slots=True)
class EntryLimits:
    """Requests that one entry process works on at one time, by rank."""

    #: For urgent work.
    urgent: int
    #: For careful work.
    careful: int
    #: For deferrable work.
    deferrable: int
    #: Largest request body, in bytes.
    max_body_bytes: int
    #: Largest number of callers' connections.
    max_connections: int


@dataclass(frozen=True, slots=True)
class Configuration:
    """A whole configuration at one version."""

    #: Given by the store's record; rises by one with each accepted change.
    version: int
    #: Name of the fleet.
    fleet: str
    #: Availability zones.
    zones: tuple[str, ...]
    #: Services by name.
    services: dict[str, Service]
    #: Limits of each entry process.
    entry: EntryLimits
    #: Time that results of requests that must not repeat are remembered, in seconds.
    request_memory_s: float
    #: Largest difference between a caller's clock and ours, in seconds.
    request_clock_skew_s: float

    def homes(self, service: Service) -> tuple[str, ...]:
        """Return the home zone of each slot of a service.

        Slots are spread in proportion to the upstreams of each zone, interleaved.

        :param service: a service of this configuration.
        :returns: a zone for each slot.
        """
        zones = sorted(upstream.zone for upstream in service.upstreams)
        count = len(zones)
        return tuple(
            zones[slot * count // service.slot_count] for slot in range(service.slot_count)
        )
