"""Admission control and scheduling of requests on the slots of upstreams.

The module uses neither the network nor a clock: the caller passes the time and holds a lock around
all calls.
"""

from collections.abc import Iterable

from foxtailshunt.admission._by_cost import ByCostPolicy
from foxtailshunt.admission._by_slack import BySlackPolicy
from foxtailshunt.admission._call import Call
from foxtailshunt.admission._overload_policy import (
    Decision,
    OverloadPolicy,
    QueuePolicy,
    RecordDecision,
)
from foxtailshunt.admission._pool_state import PoolState
from foxtailshunt.admission._queue_entry import QueueEntry, QueueEntryState, Refusal
from foxtailshunt.fleet import Upstream
from foxtailshunt.routing import RankFloor
from foxtailshunt.upstreams import (
    LatencyEstimator,
    OutlierDetector,
    RequestResult,
    StartLimiter,
    UpstreamPauses,
)

_DECISIONS = {
    QueueEntryState.REFUSED: Decision.REFUSED,
    QueueEntryState.EXPIRED: Decision.EXPIRED,
    QueueEntryState.DISPLACED: Decision.DISPLACED,
}


def _ignore_decision(decision: Decision, rank: int) -> None:
    pass


class SlotPool:
    """The slots of the upstreams that serve the same requests, and the queue for them.

    :param latencies: latency estimates by route and upstream.
    :param zone: the preferred availability zone among otherwise equal upstreams.
    :param pauses: the pauses that upstreams have asked for; None for an own memory.
    :param policy: what is served first and what is refused if capacity is short.
    :param limiter: limits the starts at cold upstreams; None for no limit.
    :param record: called for each decision.
    """

    def __init__(
        self,
        latencies: LatencyEstimator,
        zone: str,
        pauses: UpstreamPauses | None = None,
        policy: OverloadPolicy = OverloadPolicy.BY_SLACK,
        limiter: StartLimiter | None = None,
        record: RecordDecision = _ignore_decision,
    ) -> None:
        pauses = pauses if pauses is not None else UpstreamPauses()
        self._state = PoolState(latencies, zone, pauses, limiter)
        self._record = record
        by_cost = policy is OverloadPolicy.BY_COST
        self._policy: QueuePolicy = (ByCostPolicy if by_cost else BySlackPolicy)(
            self._state, record
        )

    def set_floors(self, floors: tuple[RankFloor, ...]) -> None:
        """Set the minimum shares of the lower ranks.

        :param floors: the floors; empty to serve requests by latency objective and rank only.
        """
        self._state.credits.set_floors(floors)

    @property
    def outliers(self) -> OutlierDetector:
        """Return the ejections of upstreams that fail far more requests than the others."""
        return self._state.outliers

    @property
    def waiting(self) -> int:
        """Return the number of queued requests."""
        return len(self._policy.waiting)

    @property
    def running(self) -> int:
        """Return the number of requests in flight."""
        return self._state.running

    def set_upstreams(self, upstreams: Iterable[Upstream]) -> None:
        """Set the upstreams that may get new requests.

        :param upstreams: the upstreams; those that are leaving are ignored.
        """
        self._state.set_upstreams(upstreams)

    def enqueue(self, entry: QueueEntry, now: float) -> Refusal | None:
        """Queue a request unless it is expected to miss its deadline.

        The policy ``by-cost`` decides at the next :meth:`assign` that plans the queue, which also
        returns the requests that the new one displaces.

        :param entry: the request.
        :param now: the time in seconds.
        :returns: the refusal, or None if the request was queued.
        """
        refusal = self._policy.enqueue(entry, now)
        if refusal is not None:
            self._record(Decision.REFUSED, entry.call.rank)
        return refusal

    def assign(self, now: float) -> list[QueueEntry]:
        """Assign free slots to queued requests and expire those that would miss their deadline.

        :param now: the time in seconds.
        :returns: the entries whose state has changed.
        """
        changed = self._policy.assign(now)
        for entry in changed:
            decision = _DECISIONS.get(entry.state)
            if decision is not None:
                self._record(decision, entry.call.rank)
        return changed

    def cancel(self, entry: QueueEntry) -> None:
        """Remove a request from the queue.

        :param entry: the request.
        """
        self._policy.cancel(entry)
        entry.state = QueueEntryState.DONE

    def finish(self, entry: QueueEntry, result: RequestResult, now: float) -> None:
        """Release the slot of a request and record what its result states about its upstream.

        :param entry: the request.
        :param result: its result.
        :param now: the time in seconds.
        """
        entry.state = QueueEntryState.DONE
        self._state.finish(entry, result, now, self._policy.waiting)

    def next_event(self, entry: QueueEntry, now: float) -> float | None:
        """Return when :meth:`assign` is to be called for a request if no other ends, in seconds.

        That is when the next ejection, pause or start limit of an upstream ends, or when the
        request is decided on.

        :param entry: the request.
        :param now: the time in seconds.
        :returns: None if no request is queued or there is no such time within a minute.
        """
        if not self._policy.waiting:
            return None
        times = (self._state.next_start(now), self._policy.next_decision(entry))
        return min((time for time in times if time is not None), default=None)

    def pause_s(self, now: float) -> float:
        """Return the time until the first upstream accepts requests, in seconds.

        :param now: the time in seconds.
        :returns: 0 unless all upstreams have asked for a pause.
        """
        return self._state.pause_s(now)

    def shed_retry_after_s(self, call: Call, now: float) -> float | None:
        """Return when a request that an upstream has refused may be sent again, in seconds.

        :param call: the request.
        :param now: the time in seconds.
        :returns: None if the policy makes no statement.
        """
        return self._policy.shed_retry_after_s(call, now)
