"""The leader's work during one term.

A term maintains the ownership table, carries out moves and publishes upstreams, owners and members.
"""

import threading
from collections.abc import Iterable
from dataclasses import replace

from foxtailshunt.assigning._grant_hold import GrantHold
from foxtailshunt.assigning._grant_renewer import GrantRenewer
from foxtailshunt.assigning._key_mover import KeyMover
from foxtailshunt.assigning._leader_dependencies import LeaderDependencies
from foxtailshunt.assigning._move_planner import MovePlanner
from foxtailshunt.assigning._owned_ranges import OwnedRanges
from foxtailshunt.assigning._placement import Move, split_evenly
from foxtailshunt.assigning._previous_grants import PreviousGrants
from foxtailshunt.assigning._previous_leaders import UNNAMED_LEADER, PreviousLeaders
from foxtailshunt.assigning._table_record import LeaderProcess, TableRecord
from foxtailshunt.assigning._table_recovery import TableRecovery, find_own_copy
from foxtailshunt.assigning._table_store import STORE_RETRY_S, TableStore
from foxtailshunt.assigning._token_requests import TokenRequests
from foxtailshunt.assigning._upstream_publisher import UpstreamPublisher
from foxtailshunt.fleet import KeyRange, OwnershipTable, TableCopy, Upstream, era_of, next_token
from foxtailshunt.telemetry import log_state_change

#: How often the leader reads the list of upstreams, in seconds; keys of a leaving upstream have to
#: start moving within 2 seconds.
READ_INTERVAL_S = 0.45
#: How often the leader plans moves that balance the load, in seconds.
REBALANCE_INTERVAL_S = 0.5
#: Fencing token of probes; no grant has a lower one.
PROBE_FENCE = 1
#: How often a leader checks whether it can continue from a table of an earlier era, in seconds.
RECOVERY_INTERVAL_S = 0.1
#: How long the leader waits for more upstreams to register after the first one, in seconds, before
#: it assigns keys for the first time.
REGISTRATION_WAIT_S = 2.0


class Term:
    """The work of this node as leader during one term.

    :param deps: components of the node that the leader uses.
    :param term: number of the term.
    """

    def __init__(self, deps: LeaderDependencies, term: int) -> None:
        self._deps = deps
        self._term = term
        self._era = era_of(term)
        self._view = deps.view
        self._now = deps.now
        self._publish_lock = threading.Lock()
        self._ranges = OwnedRanges()
        self._fence = 0
        self._ownership_version = 0
        self._members_version = 0
        self._upstreams = UpstreamPublisher(deps.store, deps.view, deps.capacities, deps.now, term)
        self._renewers: dict[str, GrantRenewer] = {}
        self._previous_leaders = self._track_previous_leaders(())
        self._previous_grants = PreviousGrants((), self._previous_leaders.grants_expire_at)
        self._mover = self._create_mover()
        self._planner = self._create_planner()
        self._table = TableStore(deps.store, deps.local_member, term, deps.leadership, deps.now)
        self._token_requests = TokenRequests()
        #: Set once the stored table turned out to be of an earlier era.
        self._recovery: TableRecovery | None = None

    def run(self) -> None:
        """Take over the ownership table and lead until the term ends."""
        if not self._view.begin_term(self._term):
            log_state_change("term.outdated", term=self._term)
            self._deps.leadership.step_down("a newer term is known")
            return
        self._deps.capacities.begin_term(self._view.upstreams.values())
        self._upstreams.update()
        self._take_over()
        rebalance_at = 0.0
        try:
            while self._is_active():
                started = self._now()
                self._upstreams.update()
                self._publish_members()
                self._update_renewers()
                is_settled = self._deps.capacities.is_settled(started)
                is_rebalancing = started >= rebalance_at and is_settled
                if is_rebalancing:
                    rebalance_at = started + REBALANCE_INTERVAL_S
                self._assign(is_rebalancing)
                self._wait(READ_INTERVAL_S - (self._now() - started))
        finally:
            for renewer in self._renewers.values():
                renewer.stop()

    def _is_active(self) -> bool:
        return not self._deps.stopping.is_set() and self._leads()

    def _leads(self) -> bool:
        knows_newer = self._view.versions.term > self._term
        return self._deps.leadership.term == self._term and not knows_newer

    def _wait(self, seconds: float) -> None:
        end = self._now() + max(0.02, seconds)
        while self._is_active() and self._now() < end:
            self._publish_members()
            self._deps.stopping.wait(min(0.1, max(0.005, end - self._now())))

    # Members.

    def _publish_members(self) -> None:
        now = self._now()
        self._deps.members.observe(self._deps.local_member, self._term, now)
        live_members = self._deps.members.live_members(now)
        if live_members != self._view.members or not self._members_version:
            self._members_version += 1
            self._view.update_members(self._term, self._members_version, live_members)
            log_state_change("members.changed", members=[item.instance_id for item in live_members])

    # The ownership table.

    def _take_over(self) -> None:
        while self._is_active():
            record = self._table.read()
            if record is not None and record.era < self._era:
                record = self._recover(record)
            elif record is not None:
                self._previous_leaders = self._track_previous_leaders(record.leaders)
            if record is not None:
                fence = next_token(self._era, record.fence)
                ranges = [replace(item, fence=fence) for item in record.ranges]
                if not ranges or self._write(fence, ranges):
                    self._previous_grants = PreviousGrants(
                        ranges, self._previous_leaders.grants_expire_at
                    )
                    self._mover = self._create_mover()
                    self._planner = self._create_planner()
                    self._fence = fence
                    self._ranges.replace_all(ranges)
                    break
            self._deps.stopping.wait(STORE_RETRY_S)
        ranges = self._ranges.all()
        log_state_change("term.begun", term=self._term, fence=self._fence, ranges=len(ranges))
        self._publish_ownership()
        self._update_renewers()
        for item in ranges:
            if item.giver is not None:
                self._mover.start_move(item)

    def _recover(self, stored: TableRecord) -> TableRecord | None:
        """Return the table to continue from although the stored one is of an earlier era.

        The store has returned from an older copy; it may lack moves, and the names of leaders.

        :returns: None if this node no longer leads.
        """
        deps = self._deps
        if self._recovery is None:
            # Kept if the table can't be written, since the expiry of grants counts from the begin.
            leaders = (*stored.leaders, UNNAMED_LEADER)
            self._previous_leaders = self._track_previous_leaders(leaders)
            self._recovery = TableRecovery(
                self._era, self._own_copy, deps.statements, deps.fetch_copy, self._now
            )
            log_state_change("table.outdated", term=self._term, era=stored.era, fence=stored.fence)
        while self._is_active():
            found = self._recovery.choose(stored, self._previous_leaders.grants_expire_at())
            if found is not None:
                return found
            self._upstreams.update()
            self._publish_members()
            deps.stopping.wait(RECOVERY_INTERVAL_S)
        return None

    def _own_copy(self) -> TableCopy | None:
        return find_own_copy(self._view, self._deps.leadership)

    def _create_mover(self) -> KeyMover:
        return KeyMover(
            self._renewers,
            self._is_active,
            self._previous_grants,
            self._complete_move,
            self._deps.stopping,
            self._now,
            self._deps.metrics,
        )

    def _create_planner(self) -> MovePlanner:
        return MovePlanner(
            self._deps, self._upstreams, self._renewers, self._mover, self._previous_grants
        )

    def _write(self, fence: int, ranges: Iterable[KeyRange]) -> bool:
        return self._table.write(fence, ranges, self._previous_leaders.unexpired())

    def _complete_move(self, keys: KeyRange) -> bool:
        """Mark a move as completed; return False if the table no longer contains it."""
        if not self._leads() or not self._ranges.complete_move(keys):
            return False
        self._publish_ownership()
        return True

    def _track_previous_leaders(self, processes: Iterable[LeaderProcess]) -> PreviousLeaders:
        deps = self._deps
        return PreviousLeaders(
            processes, deps.local_member, deps.started, self._term, deps.members, self._now
        )

    def _publish_ownership(self) -> None:
        with self._publish_lock:
            self._ownership_version += 1
            table = OwnershipTable(self._ranges.all())
            self._view.update_ownership(self._term, self._ownership_version, table)

    # Grants.

    def _update_renewers(self) -> None:
        """Keep a grant renewer for each upstream that owns keys or may be assigned some."""
        routes = self._view.routes
        keyed = {name for name, info in (routes.services if routes else {}).items() if info.keyed}
        keyed_upstreams = {
            name: item for name, item in self._upstreams.current.items() if item.service in keyed
        }
        for upstream_id, upstream in keyed_upstreams.items():
            renewer = self._renewers.get(upstream_id)
            same_address = renewer is not None and renewer.upstream.address == upstream.address
            if same_address and renewer.upstream.started_ms == upstream.started_ms:
                renewer.upstream = upstream
                continue
            hold = GrantHold()
            if renewer is not None:
                renewer.stop()
                hold = renewer.hold
                self._previous_grants.restore(upstream_id)
                self._request_new_fences(upstream_id)
            self._renewers[upstream_id] = self._start_renewer(upstream, hold)
        ranges = self._ranges.all()
        involved = {item.owner for item in ranges} | {item.giver for item in ranges}
        for upstream_id in [name for name in self._renewers if name not in keyed_upstreams]:
            if upstream_id not in involved:
                self._renewers.pop(upstream_id).stop()

    def _request_new_fences(self, upstream_id: str) -> None:
        """Schedule new fencing tokens for all keys of an upstream that has restarted."""
        for keys in self._ranges.owned_by(upstream_id):
            self._token_requests.add(keys)

    def _start_renewer(self, upstream: Upstream, hold: GrantHold) -> GrantRenewer:
        renewer = GrantRenewer(
            upstream,
            hold,
            self._previous_grants,
            self._ranges_to_renew,
            self._may_be_granted,
            self._probe_key,
            self._leads,
            self._token_requests.add,
            self._deps.hold_s,
            self._now,
            self._deps.metrics,
        )
        renewer.start()
        return renewer

    def _ranges_to_renew(self, upstream_id: str) -> list[KeyRange]:
        return [
            item
            for item in self._ranges.owned_by(upstream_id)
            if item.giver is None and not self._token_requests.includes(item)
        ]

    def _may_be_granted(self, keys: KeyRange) -> bool:
        return self._ranges.contains(keys) and not self._token_requests.includes(keys)

    def _probe_key(self, upstream_id: str) -> KeyRange | None:
        for item in self._ranges.all():
            if upstream_id not in (item.owner, item.giver):
                return replace(item, last=item.first, fence=PROBE_FENCE)
        return None

    # Moves.

    def _assign(self, rebalance: bool) -> None:
        routes = self._view.routes
        if routes is None:
            return
        changed: list[tuple[KeyRange, list[KeyRange]]] = []
        fence = self._fence
        for name, info in routes.services.items():
            if info.keyed:
                for move in self._planner.plan(name, self._ranges.of_service(name), rebalance):
                    fence += 1
                    changed.append((move.keys, _split(move, fence)))
        fence = self._assign_new_fences(changed, fence)
        initial = self._initial_ranges(routes.services, fence + 1)
        if not changed and not initial:
            return
        changed = [item for item in changed if self._ranges.contains(item[0])]
        fence += bool(initial)
        if not self._write(fence, self._ranges.with_changes(changed, initial)):
            return
        self._fence = fence
        self._apply_changes(changed, initial)

    def _apply_changes(
        self, changed: list[tuple[KeyRange, list[KeyRange]]], initial: list[KeyRange]
    ) -> None:
        self._ranges.change(changed, initial)
        self._publish_ownership()
        for _, after in changed:
            for item in after:
                if item.giver is not None:
                    self._mover.start_move(item)
        for renewer in self._renewers.values():
            renewer.renew_now()

    def _assign_new_fences(self, changed: list[tuple[KeyRange, list[KeyRange]]], fence: int) -> int:
        """Raise the fencing token of ranges whose owner must not get the current one again."""
        ranges = self._ranges.all()
        self._token_requests.retain(ranges)
        replaced = {before for before, _ in changed}
        for item in ranges:
            is_requested = self._token_requests.includes(item)
            if is_requested and item.giver is None and item not in replaced:
                fence += 1
                changed.append((item, [replace(item, fence=fence)]))
        return fence

    def _initial_ranges(self, services: dict, fence: int) -> list[KeyRange]:
        """Return initial ranges for keyed services that have none."""
        assigned = {item.service for item in self._ranges.all()}
        initial: list[KeyRange] = []
        for name, info in services.items():
            if not info.keyed or name in assigned:
                continue
            candidates = self._planner.candidates(name)
            are_registered = (
                self._upstreams.first_at is not None
                and self._now() - self._upstreams.first_at > REGISTRATION_WAIT_S
            )
            if candidates and are_registered:
                initial.extend(split_evenly(name, candidates, fence))
        return initial


def _split(move: Move, fence: int) -> list[KeyRange]:
    """Return the ranges that replace the source range of a move, the moved keys first."""
    keys = move.keys
    parts = [
        KeyRange(
            keys.service, move.first, move.last, move.new_owner, fence, keys.owner, moving=True
        )
    ]
    if move.first > keys.first:
        parts.append(replace(keys, last=move.first - 1))
    if move.last < keys.last:
        parts.append(replace(keys, first=move.last + 1))
    return parts
