"""The rules of ownership, each of which a test can leave out."""

from dataclasses import dataclass, replace

from foxtailshunt.ownership import Fence
from foxtailshunt.ownership.authority import ASSENT_LAPSE_S, GRANT_LAPSE_S, AssentLedger
from foxtailshunt.upstream import Grant
from standins.ownership._fake_upstream import FakeUpstream
from standins.ownership._rig import LedgerFactory


class _AlwaysHeldLedger(AssentLedger):
    """Lets every dispatcher send, whatever the witnesses say."""

    def holds(self, upstream_id: str) -> bool:
        return True

    def holds_fence(self, upstream_id: str, fence: Fence) -> bool:
        return True

    def held_since(self, upstream_id: str) -> float | None:
        return 0.0

    def last_held_since(self, upstream_id: str) -> float | None:
        return 0.0


class _ArrivalUpstream(FakeUpstream):
    """Counts a grant's life from its arrival."""

    def _until_ms(self, grant: Grant) -> float | None:
        return self._now_ms() + grant.ttl_ms


@dataclass(frozen=True)
class Rules:
    """What the model's parts are made of."""

    #: Counts assents.
    make_ledger: LedgerFactory = AssentLedger
    #: Whether assents are counted, so that two senders at one time are wrong.
    has_one_sender: bool = True
    #: Takes grants.
    upstream_class: type[FakeUpstream] = FakeUpstream
    #: Whether the assigner has witnesses refuse old fences before it takes an upstream's slots.
    has_refusals: bool = True
    #: Time that it waits then, in seconds.
    wait_after_refusals_s: float = ASSENT_LAPSE_S + GRANT_LAPSE_S


_ALL = Rules()

#: The rules by what is left out.
RULES = {
    "nothing": _ALL,
    "assents": replace(_ALL, make_ledger=_AlwaysHeldLedger, has_one_sender=False),
    "the wait after refusals": replace(_ALL, wait_after_refusals_s=0.0),
    "refusals": replace(_ALL, has_refusals=False),
    "counting grants from readings": replace(_ALL, upstream_class=_ArrivalUpstream),
}
