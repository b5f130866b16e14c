"""Entries of a slot pool's queue, and refusals."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from foxtailshunt.admission._call import Call
from foxtailshunt.fleet import Upstream


class QueueEntryState(Enum):
    """State of a request in a slot pool."""

    #: The request is queued.
    WAITING = "waiting"
    #: The request has a slot.
    ASSIGNED = "assigned"
    #: The request was not admitted, since it would miss its deadline or make others miss theirs.
    REFUSED = "refused"
    #: The request was removed from the queue because it would miss its deadline.
    EXPIRED = "expired"
    #: The request was removed from the queue in favour of a more urgent one.
    DISPLACED = "displaced"
    #: The request was cancelled, or its slot was released.
    DONE = "done"


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request was not queued, or was removed from the queue."""

    #: Estimated time until the response, in seconds; None if no upstream can serve the request.
    estimate_s: float | None
    #: Time after which a retry may succeed, in seconds.
    retry_after_s: float
    #: Why the request is refused other than for its own estimate, in words; empty if it is not.
    reason: str = ""


@dataclass(slots=True, eq=False)
class QueueEntry:
    """A request that is queued for a slot or has one."""

    #: The request.
    call: Call
    #: Called when the state is no longer WAITING.
    wake: Callable[[], None]
    #: Time of arrival, in seconds of the monotonic clock.
    queued_at: float
    #: State of the request.
    state: QueueEntryState = QueueEntryState.WAITING
    #: The upstream whose slot is assigned, if any.
    upstream: Upstream | None = None
    #: Why the request was refused, expired or was displaced; None in other states.
    refusal: Refusal | None = None
    #: Slot time that was charged to the request's rank, in seconds.
    charged_s: float = 0.0
    #: True if the request is served before a more urgent one because of its rank's floor.
    promoted_by_floor: bool = False
    #: Expected work at an upstream of mean speed, in seconds; set by the policy ``by-cost``.
    work_s: float = 0.0
    #: Time by which the caller's latency objective is met, and the latest start for that, in
    #: seconds of the monotonic clock; set by the policy ``by-cost``.
    objective_at: float = 0.0
    latest_start: float = 0.0
    #: Expected wait for a slot when the request was admitted, in seconds; None if it is not known.
    expected_wait_s: float | None = None
    #: True once the request has been delayed by the policy ``by-cost``.
    delayed: bool = False
