"""Takes upstreams that fail far more requests than their peers out of use for a time.

Failures are judged by their share: a single error, which is normal, ejects no upstream, and no
upstream is ejected if all of them fail equally often. The module uses neither the network nor a
clock; its owner holds a lock around all calls.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from foxtailshunt.fleet import Upstream
from foxtailshunt.telemetry import log_state_change
from foxtailshunt.upstreams._request_result import RequestResult
from foxtailshunt.upstreams._success_estimate import SuccessEstimate, failure_share

#: First and longest ejection, in seconds; each one that follows soon is twice as long.
FIRST_EJECTION_S, MAX_EJECTION_S = 0.25, 4.0
#: Time in full use after which an ejection counts as the first one again, in seconds.
RELAPSE_S = 10.0
#: Evidence (logarithm of a likelihood ratio) from which an upstream is ejected: three errors in a
#: row while its peers have no more than the normal share, more of them if the peers fail too.
MIN_EVIDENCE = 8.7
#: Share of failures, as a multiple of that of the peers, below which no upstream is an outlier.
MIN_SHARE_RATIO = 2.0
#: Number of requests in a row without any response after which an upstream is ejected at once.
MAX_UNANSWERED = 3
#: Share of failures of the peers up to which one failure ejects an upstream on probation again.
MAX_PEER_SHARE_ON_PROBATION = 0.25
#: At most one of this many upstreams may be ejected at a time; of two, one may be.
UPSTREAMS_PER_EJECTION = 3
#: Difference in the shares of failures of two upstreams that has no effect on the choice between
#: them. Estimates from 32 results of upstreams that fail equally often differ by up to 0.25.
TOLERATED_EXCESS = 0.3
#: Interval between two lines about an upstream that is not ejected, in seconds.
LIMIT_LOG_INTERVAL_S = 10.0
#: Number of other upstreams whose share of failures is logged at an ejection.
MAX_LOGGED = 12


@dataclass(slots=True)
class _State:
    upstream: Upstream
    estimate: SuccessEstimate = field(default_factory=SuccessEstimate)
    #: End of the current or last ejection, in seconds; 0 if there was none.
    ejected_until: float = 0.0
    #: Share of failures at the last ejection.
    share_when_ejected: float = 0.0
    #: Number of ejections that followed each other.
    ejections: int = 0
    #: Number of requests at a time since the last ejection; None in full use.
    limit: int | None = None
    #: Requests served since the limit was last raised.
    served: int = 0
    #: Start of the full use, in seconds.
    returned_at: float = float("-inf")
    #: When it was last logged that too many upstreams were ejected to eject this one, in seconds.
    limit_logged_at: float = float("-inf")


class OutlierDetector:
    """Finds the outliers among the upstreams that serve the same requests."""

    def __init__(self) -> None:
        self._states: dict[str, _State] = {}
        #: Share of failures of the best upstream, estimated on the low side.
        self._least_share = 0.0
        #: Number of ejections so far, by service.
        self.ejections_by_service: Counter[str] = Counter()

    def set_upstreams(self, upstreams: Iterable[Upstream]) -> None:
        """Set the upstreams that are compared; what is known of the others is discarded.

        :param upstreams: the upstreams; a new run of one is treated as another upstream.
        """
        states = {}
        for upstream in upstreams:
            state = self._states.get(upstream.upstream_id)
            if state is None or state.upstream.incarnation != upstream.incarnation:
                state = _State(upstream)
            state.upstream = upstream
            states[upstream.upstream_id] = state
        self._states = states
        self._least_share = min(
            (item.estimate.lower_share for item in states.values()), default=0.0
        )
        ejected = sorted(
            (state for state in states.values() if state.ejected_until),
            key=lambda state: state.ejected_until,
        )
        # Fewer upstreams allow fewer ejections; those that end first, or have ended, are lifted.
        for state in ejected[: max(0, len(ejected) - self._max_ejected())]:
            state.ejected_until = 0.0
        if len(states) == 1:
            for state in states.values():
                state.limit = None

    def record(
        self, upstream_id: str, result: RequestResult, started_at: float, now: float
    ) -> None:
        """Record the result of a request.

        :param upstream_id: the upstream.
        :param result: the result.
        :param started_at: when the request was assigned to the upstream, in seconds.
        :param now: the time in seconds.
        """
        state = self._states.get(upstream_id)
        if state is None or result is RequestResult.NOT_RATED:
            return
        if started_at < state.ejected_until:
            # A request from before the ejection, which accounts for it.
            return
        state.estimate.add(result)
        self._least_share = min(item.estimate.lower_share for item in self._states.values())
        if result is RequestResult.SERVED:
            self._raise_limit(state, now)
        elif result.is_failure and self._is_outlier(state):
            self._eject(state, now)

    def blocked_until(self, upstream_id: str) -> float:
        """Return the end of the current or last ejection of an upstream, in seconds; 0 if none.

        :param upstream_id: the upstream.
        """
        state = self._states.get(upstream_id)
        return 0.0 if state is None else state.ejected_until

    def is_ejected(self, upstream_id: str, now: float) -> bool:
        """Return whether an upstream gets no requests now.

        :param upstream_id: the upstream.
        :param now: the time in seconds.
        """
        return now < self.blocked_until(upstream_id)

    def max_running(self, upstream: Upstream) -> int:
        """Return how many requests an upstream may have at a time, once it is not ejected.

        :param upstream: the upstream.
        """
        state = self._states.get(upstream.upstream_id)
        if state is None or state.limit is None:
            return upstream.slots
        return min(state.limit, upstream.slots)

    def relative_success(self, upstream_id: str) -> float:
        """Return the share of its requests that an upstream serves, compared with the best one.

        :param upstream_id: the upstream.
        :returns: 1 unless it fails far more requests than the best one; never 0.
        """
        state = self._states.get(upstream_id)
        if state is None:
            return 1.0
        excess = state.estimate.lower_share - self._least_share - TOLERATED_EXCESS
        return 1.0 - max(0.0, excess)

    def ejected(self, now: float) -> int:
        """Return the number of ejected upstreams.

        :param now: the time in seconds.
        """
        return sum(now < state.ejected_until for state in self._states.values())

    def failure_shares(self) -> list[tuple[Upstream, float]]:
        """Return each upstream with the share of the last requests that it has failed."""
        return [(state.upstream, state.estimate.share) for state in list(self._states.values())]

    def _max_ejected(self) -> int:
        count = len(self._states)
        return max(1, count // UPSTREAMS_PER_EJECTION) if count > 1 else 0

    def _is_outlier(self, state: _State) -> bool:
        if len(self._states) < 2:
            # The only upstream of a key: no other one could serve its requests.
            return False
        if state.estimate.unanswered_in_a_row >= MAX_UNANSWERED:
            return True
        # Other upstreams that are ejected or on probation are no measure of what is normal.
        peers = [
            other.estimate
            for other in self._states.values()
            if other is not state and other.limit is None
        ]
        if not peers:
            return False
        peer_share = failure_share(peers)
        if state.limit is not None and peer_share <= MAX_PEER_SHARE_ON_PROBATION:
            return True
        # Halfway to 1 is far above a high share, of which no multiple may exist.
        far_above = min(MIN_SHARE_RATIO * peer_share, (1.0 + peer_share) / 2)
        is_far_above = state.estimate.share >= far_above
        return is_far_above and state.estimate.evidence(peer_share) >= MIN_EVIDENCE

    def _eject(self, state: _State, now: float) -> None:
        """Eject an upstream, unless others that are at least as bad take up the limit."""
        # On probation, one or two results tell less than those before the last ejection.
        share = state.estimate.share if state.limit is None else state.share_when_ejected
        lasting = [item for item in self._states.values() if now < item.ejected_until]
        if len(lasting) >= self._max_ejected():
            least_bad = min(lasting, key=lambda item: item.share_when_ejected)
            if least_bad.share_when_ejected >= share:
                self._log_limit_reached(state, share, now)
                return
            least_bad.ejected_until = now
        if state.limit is None and now - state.returned_at > RELAPSE_S:
            state.ejections = 0
        length_s = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**state.ejections)
        self.ejections_by_service[state.upstream.service] += 1
        log_state_change(
            "upstream.ejected",
            upstream=state.upstream.upstream_id,
            service=state.upstream.service,
            for_s=length_s,
            rated=state.estimate.rated,
            failures=state.estimate.counts(),
            other_shares={
                name: round(other.estimate.share, 3)
                for name, other in list(self._states.items())[:MAX_LOGGED]
                if other is not state
            },
        )
        state.share_when_ejected = share
        state.ejections += 1
        state.ejected_until = now + length_s
        state.limit, state.served = 1, 0
        state.estimate.clear()

    def _log_limit_reached(self, state: _State, share: float, now: float) -> None:
        if now - state.limit_logged_at < LIMIT_LOG_INTERVAL_S:
            return
        state.limit_logged_at = now
        log_state_change(
            "upstream.not_ejected",
            upstream=state.upstream.upstream_id,
            service=state.upstream.service,
            share=round(share, 3),
            reason="too many upstreams are ejected",
        )

    def _raise_limit(self, state: _State, now: float) -> None:
        """Let an upstream on probation have twice as many requests once it served the present."""
        if state.limit is None:
            return
        state.served += 1
        if state.served < state.limit:
            return
        state.limit, state.served = state.limit * 2, 0
        if state.limit >= state.upstream.slots:
            state.limit = None
            state.returned_at = now
            log_state_change(
                "upstream.readmitted",
                upstream=state.upstream.upstream_id,
                service=state.upstream.service,
                ejections=state.ejections,
            )
