"""Policies for a queue that is longer than its upstreams can serve in time."""

from collections.abc import Callable, Collection
from enum import Enum
from typing import Protocol

from foxtailshunt.admission._call import Call
from foxtailshunt.admission._queue_entry import QueueEntry, Refusal


class OverloadPolicy(Enum):
    """Which requests are served first, and which are refused, if capacity is short."""

    #: Least slack to the latency objective first; late requests follow by rank.
    BY_SLACK = "by-slack"
    #: Lowest cost to callers, by rank, objective, deadline and work.
    BY_COST = "by-cost"


class Decision(Enum):
    """A decision about a request, as operators see it in the metrics."""

    #: The request was queued.
    ADMITTED = "admitted"
    #: The request is served after those that can meet their latency objective.
    DELAYED = "delayed"
    #: The request left the queue in favour of a more urgent one.
    DISPLACED = "displaced"
    #: The request was refused on arrival.
    REFUSED = "refused"
    #: The request left the queue, since capacity was lost or less than expected.
    EXPIRED = "expired"


#: Called for each decision with the rank of the request.
RecordDecision = Callable[[Decision, int], None]


class QueuePolicy(Protocol):
    """The queue of a slot pool: its order, and what is refused or leaves it."""

    @property
    def waiting(self) -> Collection[QueueEntry]:
        """Return the queued requests."""

    def enqueue(self, entry: QueueEntry, now: float) -> Refusal | None:
        """Queue a request, or return why not; :meth:`assign` may still refuse it.

        :param entry: the request.
        :param now: the time in seconds.
        """

    def assign(self, now: float) -> list[QueueEntry]:
        """Assign free slots, and return the entries whose state has changed since the last call.

        :param now: the time in seconds.
        """

    def next_decision(self, entry: QueueEntry) -> float | None:
        """Return when :meth:`assign` decides on a new request, in seconds.

        :param entry: the request.
        :returns: None if it has been decided on.
        """

    def cancel(self, entry: QueueEntry) -> None:
        """Remove a request from the queue, if it is queued.

        :param entry: the request.
        """

    def shed_retry_after_s(self, call: Call, now: float) -> float | None:
        """Return when a request that an upstream has refused may be sent again, in seconds.

        :param call: the request.
        :param now: the time in seconds.
        :returns: None if the policy makes no statement.
        """
