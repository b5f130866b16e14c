"""Grants that an upstream holds, its answers to them, and work in progress under them."""

import threading
from dataclasses import dataclass, field

from foxtailshunt.ownership import Fence
from standins.upstream._messages import GrantMessage, WorkMessage


@dataclass(frozen=True, slots=True)
class HeldGrant:
    """A grant that was taken into force."""

    #: What was granted.
    message: GrantMessage
    #: When it lapses, in seconds of the machine's monotonic clock.
    until: float

    def covers(self, work: WorkMessage) -> bool:
        """Return whether the work's key is granted.

        :param work: the work.
        """
        if work.key in self.message.pins:
            return True
        return work.slot in self.message.slots and work.key not in self.message.excluded


@dataclass(frozen=True, slots=True)
class GrantAnswer:
    """What an upstream answers to a grant."""

    #: True if the grant is in force.
    accepted: bool
    #: True if nothing outside the grant is worked on.
    released: bool
    #: The highest fence known.
    highest_fence: Fence
    #: True if the grant's fence is lower than that.
    stale: bool


@dataclass(eq=False, slots=True)
class Run:
    """Work in progress."""

    #: The work.
    work: WorkMessage
    #: When it began, in seconds of the machine's monotonic clock.
    start: float
    #: Until when the key is granted without a gap since the start; an effect is allowed before.
    covered_until: float
    #: Set by a cancellation.
    cancelled: threading.Event = field(default_factory=threading.Event)
