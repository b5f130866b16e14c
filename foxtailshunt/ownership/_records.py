"""Records of ownership: fences, rows of upstreams, and the table of a zone."""

from dataclasses import dataclass

Address = tuple[str, int]


@dataclass(frozen=True, order=True, slots=True)
class Fence:
    """A strictly rising pair that orders decisions about one zone.

    Compares by term, then by version.
    """

    #: Raised by each assigner that takes the zone's lease.
    term: int
    #: Raised by each write of the zone's table.
    version: int


#: Lower than the fence of any table.
ZERO_FENCE = Fence(0, 0)


@dataclass(frozen=True, slots=True)
class ProcessRef:
    """One incarnation of a dispatcher process."""

    #: The instance that the process runs on.
    instance_id: str
    #: Where the process serves the inner protocol.
    address: Address
    #: Drawn anew at each start of the process.
    boot_id: str


@dataclass(frozen=True, slots=True)
class UpstreamRow:
    """What the table says about one upstream."""

    #: Identifies the upstream across the fleet.
    upstream_id: str
    #: The service that the upstream serves.
    service: str
    #: Where the upstream serves HTTP.
    address: Address
    #: The table fence at which this row last changed; grants and requests carry it.
    fence: Fence
    #: Slots that the upstream owns.
    slots: frozenset[int]
    #: Hot keys that the upstream owns apart from their slots.
    pins: frozenset[str]
    #: Keys of the upstream's slots that it does not own, because another owns them as pins or
    #: because a pin is on its way.
    excluded: frozenset[str]
    #: Instance ids of the upstream's dispatchers: the first sends, the others follow in order.
    dispatchers: tuple[str, ...]
    #: True once the upstream is leaving: it keeps what it owns until that is handed over.
    draining: bool

    def owns(self, slot: int, key: str) -> bool:
        """Return whether the row gives a key to this upstream.

        :param slot: the key's slot.
        :param key: the key.
        """
        if key in self.pins:
            return True
        return slot in self.slots and key not in self.excluded


@dataclass(frozen=True, slots=True)
class Transit:
    """Slots and pins that were taken from an upstream that has not surely released them."""

    #: The service that the slots belong to.
    service: str
    #: The upstream that owned them.
    upstream_id: str
    #: The fence of the row that no longer lists them.
    fence: Fence
    #: The slots taken.
    slots: frozenset[int]
    #: The pins taken.
    pins: frozenset[str]


@dataclass(frozen=True, slots=True)
class Arrival:
    """Slots that one upstream gained in the write that ended their transit from another."""

    #: The service that the slots belong to.
    service: str
    #: The slots.
    slots: frozenset[int]
    #: The upstream that owned them.
    from_upstream_id: str
    #: The fence of its row that no longer lists them.
    transit_fence: Fence
    #: The upstream that owns them.
    to_upstream_id: str
    #: The fence of its row that first lists them.
    fence: Fence


@dataclass(frozen=True, slots=True)
class Table:
    """The assignment of one zone; written to the store by compare-and-swap only."""

    #: The availability zone.
    zone: str
    #: The cell of the zone; one a zone today.
    cell: str
    #: Rises with every write.
    fence: Fence
    #: Identifies the write, so that a lost answer can be resolved by reading back.
    writer_token: str
    #: The configuration version that the assignment was made under.
    cfg_version: int
    #: Every dispatcher process of the zone.
    dispatchers: tuple[ProcessRef, ...]
    #: Witness sets by dispatcher boot id; more than one while a change is handed over, and then a
    #: majority of each is needed.
    witness_sets: tuple[tuple[str, ...], ...]
    #: Rows by upstream id.
    rows: dict[str, UpstreamRow]
    #: What is on its way from one upstream to another.
    transits: tuple[Transit, ...]
    #: The latest gains of slots whose owner before is known; no slot is in two of them.
    arrivals: tuple[Arrival, ...] = ()
