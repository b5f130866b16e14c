"""One term of leading: keeps the ownership table and publishes what the leader knows."""

import threading
from collections.abc import Iterable
from dataclasses import replace

from foxtailshunt.assigning._earlier_leaders import PreviousLeaders
from foxtailshunt.assigning._key_holder import GrantRenewer
from foxtailshunt.assigning._key_mover import KeyMover
from foxtailshunt.assigning._leader_parts import LeaderDependencies
from foxtailshunt.assigning._placement import Candidate, Move, plan_moves, split_evenly
from foxtailshunt.assigning._table_keeper import STORE_RETRY_S, TableStore
from foxtailshunt.assigning._table_record import LeaderProcess
from foxtailshunt.assigning._upstream_reader import UpstreamReader
from foxtailshunt.fleet import KeyRange, OwnershipTable, Upstream
from foxtailshunt.platform import StoreError
from foxtailshunt.telemetry import log_state_change

#: How often the leader reads the list of upstreams, in seconds: leaving is acted on within 2.
READ_INTERVAL_S = 0.45
#: How often the leader looks for moves that level the load, in seconds.
LEVEL_INTERVAL_S = 0.5
#: Most levelling moves begun at one time, and most moves in progress.
MOVES_AT_ONCE, MOVES_IN_PROGRESS = 5, 10
#: Fencing token of orders without effect; every grant's is as high or higher.
LOWEST_FENCE = 1
#: Time after the first upstream is seen in which others register, in seconds.
GATHER_S = 2.0


class Term:
    """One term of leading."""

    def __init__(self, parts: LeaderDependencies, term: int) -> None:
        self._parts = parts
        self._term = term
        self._view = parts.view
        self._now = parts.now
        self._reader = UpstreamReader(parts.store, parts.now, parts.view.apply_serving_rules)
        self._lock = threading.RLock()
        self._ranges: list[KeyRange] = []
        self._fence = 0
        self._ownership_version = 0
        self._upstreams_version = 0
        self._members_version = 0
        self._upstreams: dict[str, Upstream] = {}
        self._first_seen_at: float | None = None
        self._holders: dict[str, GrantRenewer] = {}
        self._earlier = self._earlier_leaders(())
        self._table = TableStore(parts.store, parts.local_member, term, parts.leadership, parts.now)
        self._mover = KeyMover(
            self._holders,
            self._acts,
            lambda: self._earlier.grants_expire_at(),
            self._settle,
            parts.stopping,
            parts.now,
            parts.metrics,
        )
        #: Ranges about to move from upstreams that may still obey earlier leaders.
        self._contested: set[KeyRange] = set()
        self._read_again_at = float("-inf")
        self._store_is_lost = False
        self._to_refence: set[tuple[str, int]] = set()

    def run(self) -> None:
        """Take over and act until the term ends."""
        if not self._view.begin_term(self._term):
            log_state_change("term.outdated", term=self._term)
            self._parts.leadership.step_down("a newer term is known")
            return
        self._read_upstreams()
        self._take_over()
        level_at = 0.0
        try:
            while self._acts():
                started = self._now()
                self._read_upstreams()
                self._publish_members()
                self._keep_holders()
                level_now = started >= level_at
                if level_now:
                    level_at = started + LEVEL_INTERVAL_S
                self._assign(level_now)
                self._wait(READ_INTERVAL_S - (self._now() - started))
        finally:
            for holder in self._holders.values():
                holder.stop()

    def _acts(self) -> bool:
        return not self._parts.stopping.is_set() and self._leads()

    def _leads(self) -> bool:
        knows_newer = self._view.versions.term > self._term
        return self._parts.leadership.term == self._term and not knows_newer

    def _wait(self, seconds: float) -> None:
        end = self._now() + max(0.02, seconds)
        while self._acts() and self._now() < end:
            self._publish_members()
            self._parts.stopping.wait(min(0.1, max(0.005, end - self._now())))

    # What is known.

    def _read_upstreams(self) -> None:
        started = self._now()
        if started < self._read_again_at:
            return
        try:
            upstreams = self._reader.poll()
        except StoreError as exc:
            self._read_again_at = self._now() + STORE_RETRY_S
            if not self._store_is_lost:
                log_state_change("store.lost", part="upstreams", error=str(exc))
            self._store_is_lost = True
            return
        if self._store_is_lost:
            log_state_change("store.regained", part="upstreams")
            self._store_is_lost = False
        if upstreams and self._first_seen_at is None:
            self._first_seen_at = started
        if self._differs(upstreams):
            self._upstreams_version += 1
            self._upstreams = upstreams
            published: dict[str, Upstream] | None = upstreams
        else:
            published = None if self._upstreams_version else upstreams
            self._upstreams_version = max(1, self._upstreams_version)
        age_s = self._now() - started
        self._view.update_upstreams(self._term, self._upstreams_version, published, age_s)

    def _differs(self, upstreams: dict[str, Upstream]) -> bool:
        if upstreams.keys() != self._upstreams.keys():
            return True
        return any(
            replace(item, warmup_s=0.0) != replace(self._upstreams[name], warmup_s=0.0)
            for name, item in upstreams.items()
        )

    def _publish_members(self) -> None:
        now = self._now()
        self._parts.members.observe(self._parts.local_member, self._term, now)
        live_members = self._parts.members.live_members(now)
        if live_members != self._view.members or not self._members_version:
            self._members_version += 1
            self._view.update_members(self._term, self._members_version, live_members)
            log_state_change("members.changed", members=[item.instance_id for item in live_members])

    # The table.

    def _take_over(self) -> None:
        while self._acts():
            record = self._table.read()
            if record is not None:
                self._earlier = self._earlier_leaders(record.leaders)
                fence = record.fence + 1
                ranges = [replace(entry, fence=fence) for entry in record.ranges]
                if not ranges or self._write(fence, ranges):
                    self._fence = fence
                    self._ranges = ranges
                    break
            self._parts.stopping.wait(STORE_RETRY_S)
        log_state_change("term.begun", term=self._term, fence=self._fence, ranges=len(self._ranges))
        self._publish_ownership()
        self._keep_holders()
        for entry in list(self._ranges):
            if entry.giver is not None:
                self._mover.start_move(entry, contested=True)

    def _write(self, fence: int, ranges: Iterable[KeyRange]) -> bool:
        return self._table.write(fence, ranges, self._earlier.unexpired())

    def _settle(self, keys: KeyRange) -> bool:
        """Record that a move has ended; false if it no longer stands in the table."""
        with self._lock:
            if not self._leads() or keys not in self._ranges:
                return False
            self._ranges[self._ranges.index(keys)] = replace(keys, giver=None, moving=False)
        self._publish_ownership()
        return True

    def _earlier_leaders(self, processes: Iterable[LeaderProcess]) -> PreviousLeaders:
        parts = self._parts
        return PreviousLeaders(
            processes, parts.local_member, parts.started, self._term, parts.members, self._now
        )

    def _publish_ownership(self) -> None:
        with self._lock:
            self._ownership_version += 1
            table = OwnershipTable(self._ranges)
            self._view.update_ownership(self._term, self._ownership_version, table)

    # Grants.

    def _keep_holders(self) -> None:
        """Have a holder for each upstream that owns keys or may get some."""
        routes = self._view.routes
        keyed = {name for name, info in (routes.services if routes else {}).items() if info.keyed}
        wanted = {name: item for name, item in self._upstreams.items() if item.service in keyed}
        for upstream_id, upstream in wanted.items():
            holder = self._holders.get(upstream_id)
            same_place = holder is not None and holder.upstream.address == upstream.address
            if same_place and holder.upstream.started_ms == upstream.started_ms:
                holder.upstream = upstream
                continue
            if holder is not None:
                holder.stop()
                self._refence_owner(upstream_id)
            self._holders[upstream_id] = self._new_holder(upstream)
        involved = {item.owner for item in self._ranges} | {
            item.giver for item in self._ranges if item.giver is not None
        }
        for upstream_id in [name for name in self._holders if name not in wanted]:
            if upstream_id not in involved:
                self._holders.pop(upstream_id).stop()

    def _refence_owner(self, upstream_id: str) -> None:
        """Have an upstream that started anew get its keys under new fencing tokens."""
        for keys in self._owned_by(upstream_id):
            self._note_fenced_off(keys)

    def _new_holder(self, upstream: Upstream) -> GrantRenewer:
        holder = GrantRenewer(
            upstream,
            self._earlier.grants_expire_at,
            self._owned_by,
            self._foreign_key,
            self._leads,
            self._note_fenced_off,
            self._parts.hold_s,
            self._now,
            self._parts.metrics,
        )
        holder.start()
        return holder

    def _owned_by(self, upstream_id: str) -> list[KeyRange]:
        with self._lock:
            return [
                item for item in self._ranges if item.owner == upstream_id and item.giver is None
            ]

    def _foreign_key(self, upstream_id: str) -> KeyRange | None:
        with self._lock:
            for item in self._ranges:
                if upstream_id not in (item.owner, item.giver):
                    return replace(item, last=item.first, fence=LOWEST_FENCE)
        return None

    def _note_fenced_off(self, keys: KeyRange) -> None:
        with self._lock:
            self._to_refence.add((keys.service, keys.first))

    # Moves.

    def _assign(self, level: bool) -> None:
        routes = self._view.routes
        if routes is None:
            return
        self._contested.clear()
        changed: list[tuple[KeyRange, list[KeyRange]]] = []
        fence = self._fence
        for name, info in routes.services.items():
            if info.keyed:
                for move in self._plan(name, level):
                    fence += 1
                    parts = _split(move, fence)
                    changed.append((move.keys, parts))
                    if not self._is_taken_over(move.keys.owner):
                        self._contested.add(parts[0])
        fence = self._refence(changed, fence)
        fresh = self._first_ranges(routes.services, fence + 1)
        if not changed and not fresh:
            return
        with self._lock:
            ranges = list(self._ranges)
            changed = [(before, after) for before, after in changed if before in ranges]
            for before, after in changed:
                ranges.remove(before)
                ranges.extend(after)
            ranges.extend(fresh)
        fence += bool(fresh)
        if not self._write(fence, ranges):
            return
        self._fence = fence
        self._put_in_force(changed, fresh)

    def _put_in_force(
        self, changed: list[tuple[KeyRange, list[KeyRange]]], fresh: list[KeyRange]
    ) -> None:
        with self._lock:
            for before, after in changed:
                if before not in self._ranges:
                    continue
                self._ranges.remove(before)
                self._ranges.extend(after)
            self._ranges.extend(fresh)
        self._publish_ownership()
        for _, after in changed:
            for item in after:
                if item.giver is not None:
                    self._mover.start_move(item, contested=item in self._contested)
        for holder in self._holders.values():
            holder.renew_now()

    def _refence(self, changed: list[tuple[KeyRange, list[KeyRange]]], fence: int) -> int:
        """Give ranges that their own upstream refused a new fencing token."""
        with self._lock:
            wanted, self._to_refence = self._to_refence, set()
            taken = {id(before) for before, _ in changed}
            for item in self._ranges:
                refused = (item.service, item.first) in wanted
                if refused and item.giver is None and id(item) not in taken:
                    fence += 1
                    changed.append((item, [replace(item, fence=fence)]))
        return fence

    def _first_ranges(self, services: dict, fence: int) -> list[KeyRange]:
        """Return the first ranges of services that have none."""
        have = {item.service for item in self._ranges}
        fresh: list[KeyRange] = []
        for name, info in services.items():
            if not info.keyed or name in have:
                continue
            candidates = self._seats(name)
            gathered = (
                self._first_seen_at is not None and self._now() - self._first_seen_at > GATHER_S
            )
            if candidates and gathered:
                fresh.extend(split_evenly(name, candidates, fence))
        return fresh

    def _seats(self, service: str) -> list[Candidate]:
        candidates = []
        for name in sorted(self._upstreams):
            upstream = self._upstreams[name]
            holder = self._holders.get(name)
            if upstream.service != service or upstream.leaving or holder is None:
                continue
            if holder.is_reachable:
                candidates.append(
                    Candidate(name, self._parts.capacities.capacity(name, upstream.slots))
                )
        return candidates

    def _plan(self, service: str, level: bool) -> list[Move]:
        with self._lock:
            ranges = [item for item in self._ranges if item.service == service]
        candidates = self._seats(service)
        if not ranges or not candidates:
            return []
        max_moves = max(0, MOVES_IN_PROGRESS - self._mover.in_progress) if level else 0
        demand = self._parts.demands.rates(service, self._now())
        moves = plan_moves(ranges, demand, candidates, min(max_moves, MOVES_AT_ONCE))
        return [move for move in moves if self._is_due(move)]

    def _is_taken_over(self, upstream_id: str) -> bool:
        holder = self._holders.get(upstream_id)
        return holder is not None and holder.is_fenced

    def _is_due(self, move: Move) -> bool:
        """Leave the keys of an unreachable upstream until its hold has run out."""
        holder = self._holders.get(move.keys.owner)
        if holder is None:
            return self._now() > self._earlier.grants_expire_at()
        return holder.is_reachable or self._now() > holder.held_until


def _split(move: Move, fence: int) -> list[KeyRange]:
    """Return the ranges that take the place of a move's range."""
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
