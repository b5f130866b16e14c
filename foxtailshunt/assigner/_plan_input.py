"""What the plan of a zone's next table is made from."""

from dataclasses import dataclass, field

from foxtailshunt.config import Configuration
from foxtailshunt.ownership import Fence, ProcessRef, Transit

_NO_SLOTS: dict[str, frozenset[int]] = {}


@dataclass(frozen=True, slots=True)
class TransitKey:
    """Identifies what was taken from one upstream in one table write."""

    #: The upstream that it was taken from.
    upstream_id: str
    #: The fence of the row that no longer lists it.
    fence: Fence

    @classmethod
    def of(cls, transit: Transit) -> "TransitKey":
        """Return the key of a transit.

        :param transit: the transit.
        """
        return cls(transit.upstream_id, transit.fence)


@dataclass(frozen=True, slots=True)
class UpstreamStates:
    """What is known of the zone's upstreams, each set by upstream id."""

    #: No dispatcher has reported on them yet.
    new: frozenset[str]
    #: May be given slots: their dispatchers reach them, or have not reported yet.
    ready: frozenset[str]
    #: Ready for long enough to take slots that another upstream serves well.
    settled: frozenset[str]
    #: Their dispatchers do not reach them.
    lost: frozenset[str]
    #: Leaving, by the platform's list or by their own word.
    draining: frozenset[str]


@dataclass(frozen=True, slots=True)
class PinPlan:
    """Hot keys to move apart from their slots, and pins to give up."""

    #: Where each key shall be pinned; its transit starts if its slot's owner still has it.
    wanted: dict[str, str] = field(default_factory=dict)
    #: Pins to give back to the owners of their slots.
    unpin: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class PlanInput:
    """Everything that decides on the next table besides the table in force."""

    #: The configuration in force.
    cfg: Configuration
    #: The zone.
    zone: str
    #: Slots of each service that are homed in this zone; services that are left out stay as they
    #: are.
    homed: dict[str, frozenset[int]]
    #: Slots among them that are to be released for other zones.
    giving: dict[str, frozenset[int]]
    #: The upstreams.
    states: UpstreamStates
    #: Relative weight of each upstream, 1 where none stands.
    weights: dict[str, float]
    #: Transits that surely ended.
    finished: frozenset[TransitKey]
    #: The live dispatchers.
    live_dispatchers: tuple[ProcessRef, ...]
    #: Instance ids of dispatchers among them that should not send.
    unfit_dispatchers: frozenset[str]
    #: The dispatcher that sends to each upstream, where known.
    senders: dict[str, str]
    #: Most dispatchers' first places to move for balance.
    dispatcher_moves: int
    #: Witness sets of the next table.
    witness_sets: tuple[tuple[str, ...], ...]
    #: Hot keys.
    pins: PinPlan = field(default_factory=PinPlan)
