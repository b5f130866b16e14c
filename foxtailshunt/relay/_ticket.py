"""A request in a pool of slots, and why it is not taken."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from foxtailshunt.fleet import Upstream
from foxtailshunt.relay._outcome import Call


class QueueEntryState(Enum):
    """Where a request stands."""

    WAITING = "waiting"
    ASSIGNED = "assigned"
    EXPIRED = "expired"
    DONE = "done"


@dataclass(frozen=True, slots=True)
class Refusal:
    """A request that is not taken, or given up while it waits."""

    #: Estimated time until its answer, in seconds; None if no upstream could take it.
    estimate_s: float | None
    #: When a repeat has a chance, in seconds.
    retry_after_s: float


@dataclass(slots=True, eq=False)
class QueueEntry:
    """A request in a pool."""

    #: The request.
    call: Call
    #: Called once its state is no longer WAITING.
    wake: Callable[[], None]
    #: When it came, in seconds of the monotonic clock.
    queued_at: float
    state: QueueEntryState = QueueEntryState.WAITING
    #: The upstream whose slot it has.
    upstream: Upstream | None = None
    #: Why it was given up; None unless it is EXPIRED.
    refusal: Refusal | None = None
    #: Upstream time that is charged to its rank, in seconds.
    charged_s: float = 0.0
    #: True if it went ahead of a more urgent request because of its rank's floor.
    promoted_by_floor: bool = False
