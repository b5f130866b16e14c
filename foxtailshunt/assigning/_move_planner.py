"""Plans the moves of the leader from what it knows of upstreams, demand and grants."""

from collections.abc import Mapping

from foxtailshunt.assigning._evacuation_log import EvacuationLog
from foxtailshunt.assigning._grant_renewer import GrantRenewer
from foxtailshunt.assigning._key_mover import KeyMover
from foxtailshunt.assigning._leader_dependencies import LeaderDependencies
from foxtailshunt.assigning._placement import Candidate, Move, plan_moves
from foxtailshunt.assigning._previous_grants import PreviousGrants
from foxtailshunt.assigning._upstream_publisher import UpstreamPublisher
from foxtailshunt.fleet import KeyRange, Upstream

#: Limits on balancing moves started by one plan and on moves in progress at a time.
MAX_MOVES_PER_PLAN, MAX_MOVES_IN_PROGRESS = 5, 10
#: Limit on moves in progress while keys move out of evacuated zones. Each takes a thread and a
#: connection to two upstreams for about 0.3 s.
MAX_EVACUATIONS_IN_PROGRESS = 20


class MovePlanner:
    """Plans moves during one term; used by one thread.

    :param deps: components of the node that the leader uses.
    :param upstreams: the upstreams.
    :param renewers: grant renewers by upstream id.
    :param mover: carries out the moves.
    :param previous_grants: grants of previous leaders that may be in force.
    """

    def __init__(
        self,
        deps: LeaderDependencies,
        upstreams: UpstreamPublisher,
        renewers: Mapping[str, GrantRenewer],
        mover: KeyMover,
        previous_grants: PreviousGrants,
    ) -> None:
        self._deps = deps
        self._now = deps.now
        self._upstreams = upstreams
        self._renewers = renewers
        self._mover = mover
        self._previous_grants = previous_grants
        self._evacuation_log = EvacuationLog(deps.now)

    def candidates(self, service: str) -> list[Candidate]:
        """Return the upstreams of a service that may be assigned keys.

        :param service: name of the service.
        """
        available = {
            name: upstream
            for name, upstream in sorted(self._upstreams.current.items())
            if upstream.service == service and self._may_own_keys(upstream)
        }
        capacities = self._deps.capacities.capacities(service, available.values(), self._now())
        return [
            Candidate(name, item.work, self._cold_limit(available[name]), item.accepts_keys)
            for name, item in capacities.items()
        ]

    def _may_own_keys(self, upstream: Upstream) -> bool:
        renewer = self._renewers.get(upstream.upstream_id)
        if upstream.leaving or renewer is None or self._deps.view.is_evacuated(upstream):
            return False
        return renewer.is_reachable

    def _cold_limit(self, upstream: Upstream) -> float | None:
        """Return the most demand that an upstream may be given, in slots; None if it is warm."""
        service = self._deps.view.find_service(upstream.service)
        if service is None or service.warmup_rate <= 0:
            return None
        if self._deps.view.warmup_remaining_s(upstream) <= 0:
            return None
        return service.warmup_rate * self._deps.mean_work.mean_s(upstream.service)

    def plan(self, service: str, ranges: list[KeyRange], rebalance: bool) -> list[Move]:
        """Return the moves that are to start now.

        :param service: name of the service.
        :param ranges: the ranges of the service.
        :param rebalance: whether moves that only balance the load are planned.
        """
        candidates = self.candidates(service)
        evacuated = self._evacuated_owners(service)
        self._evacuation_log.update(service, evacuated, ranges)
        if not ranges or not candidates:
            return []
        in_progress = self._mover.in_progress
        max_moves = max(0, MAX_MOVES_IN_PROGRESS - in_progress) if rebalance else 0
        demand = self._deps.demands.rates(service, self._now())
        moves = plan_moves(
            ranges,
            demand,
            candidates,
            min(max_moves, MAX_MOVES_PER_PLAN),
            evacuated,
            max(0, MAX_EVACUATIONS_IN_PROGRESS - in_progress),
        )
        return [move for move in moves if self._is_due(move)]

    def _evacuated_owners(self, service: str) -> frozenset[str]:
        """Return the upstreams of a service that are to give up their keys with a handover."""
        return frozenset(
            name
            for name, upstream in self._upstreams.current.items()
            if upstream.service == service and self._deps.view.is_evacuated(upstream)
        )

    def _is_due(self, move: Move) -> bool:
        """Return False while the owner is unreachable and its grants have not expired."""
        renewer = self._renewers.get(move.keys.owner)
        if renewer is None:
            return self._now() > self._previous_grants.expire_at(move.keys.owner)
        return renewer.is_reachable or self._now() > renewer.held_until
