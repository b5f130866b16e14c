"""Leads: keeps the ownership table, moves keys between upstreams and publishes what changed."""

import threading
from collections.abc import Callable, Iterable
from dataclasses import replace

from foxtailshunt.assigning._demand_book import DemandBook
from foxtailshunt.assigning._earlier_leaders import UNKNOWN_LEADER_S, EarlierLeaders
from foxtailshunt.assigning._key_holder import GRANT_TIMEOUT_S, HOLD_S, LEAVING_HOLD_S, KeyHolder
from foxtailshunt.assigning._leadership import LEADER_KEY, Leadership
from foxtailshunt.assigning._member_registry import MemberRegistry
from foxtailshunt.assigning._pace_reports import CapacityBook
from foxtailshunt.assigning._placement import Move, Seat, cut_evenly, plan_moves
from foxtailshunt.assigning._table_record import (
    TABLE_KEY,
    LeaderProcess,
    TableRecord,
    decode_table,
    encode_table,
)
from foxtailshunt.assigning._upstream_reader import UpstreamReader
from foxtailshunt.errors import DocumentError, FoxtailshuntError
from foxtailshunt.fleet import FleetView, KeyRange, Member, OwnershipTable, Upstream
from foxtailshunt.platform import (
    ConflictError,
    KeyOrders,
    OrderError,
    StoreClient,
    StoreError,
    StoreItem,
    UpstreamReplacedError,
)
from foxtailshunt.telemetry import Metrics, log_state_change, log_thread_error

#: How often the leader reads the list of upstreams, in seconds: leaving is acted on within 2.
READ_INTERVAL_S = 0.45
#: How often the leader looks for moves that level the load, in seconds.
LEVEL_INTERVAL_S = 0.5
#: Most levelling moves begun at one time, and most moves in progress.
MOVES_AT_ONCE, MOVES_IN_PROGRESS = 5, 10
#: Time for the news of a move to reach all senders before the keys are taken back, in seconds.
NEWS_TIME_S = 0.015
#: Longest wait for one answer to a release, in seconds: the work on the keys ends first.
RELEASE_TIMEOUT_S = 1.2
#: Pause between two releases of the same keys, in seconds.
RELEASE_RETRY_S = 0.1
#: Fencing token of orders without effect; every grant's is as high or higher.
LOWEST_FENCE = 1
#: Tries to grant moved keys before the regular renewal goes on with them.
GRANT_TRIES = 3
#: Longest wait for an answer of the store, in seconds; a slow store takes 0.4.
STORE_TIMEOUT_S = 0.8
#: Pause after the store failed, in seconds; each call is paid for.
STORE_RETRY_S = 0.7
#: Time after the first upstream is seen in which others register, in seconds.
GATHER_S = 2.0


class Assigner:
    """Acts while its node leads; a thread of its own.

    :param me: this node.
    :param leadership: tells whether this node leads.
    :param store: the store.
    :param view: where the leader's knowledge is published.
    :param demands: work by key.
    :param capacities: work that upstreams get done.
    :param members: the nodes that follow.
    :param now: returns seconds of a clock that also counts suspension.
    :param metrics: counters.
    """

    def __init__(
        self,
        me: Member,
        leadership: Leadership,
        store: StoreClient,
        view: FleetView,
        demands: DemandBook,
        capacities: CapacityBook,
        members: MemberRegistry,
        now: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        self.me = me
        self._started = now()
        self._is_leaving = False
        self._leadership = leadership
        self._store = store
        self._view = view
        self._demands = demands
        self._capacities = capacities
        self._members = members
        self._now = now
        self._metrics = metrics
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="assigner", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def prepare_to_leave(self) -> None:
        """Grant keys for longer from now on, since no other node can lead yet."""
        self._is_leaving = True

    @property
    def hold_s(self) -> float:
        """Return how long keys are held after a grant that is sent now, in seconds.

        Even a longer grant ends when the last one of a leader without word from the store would.
        """
        if not self._is_leaving:
            return HOLD_S
        return min(LEAVING_HOLD_S, self._leadership.right_left_s + HOLD_S)

    def stop(self) -> None:
        """Stop acting; grants in force run on until the next leader renews them."""
        self._stopping.set()

    def _run(self) -> None:
        while not self._stopping.is_set():
            if not self._leadership.leads.wait(0.2):
                continue
            term = self._leadership.term
            if term is None:
                self._stopping.wait(0.05)
                continue
            try:
                _Term(self, term).run()
            except FoxtailshuntError as exc:
                log_state_change("term.interrupted", term=term, error=str(exc))
                self._stopping.wait(0.1)
            except Exception as exc:
                log_thread_error("assigner", exc)
                self._stopping.wait(0.3)


class _Term:
    """One term of leading."""

    def __init__(self, parent: Assigner, term: int) -> None:
        self._parent = parent
        self._term = term
        self._store = parent._store
        self._view = parent._view
        self._now = parent._now
        self._reader = UpstreamReader(parent._store, parent._now)
        self._lock = threading.RLock()
        self._ranges: list[KeyRange] = []
        self._fence = 0
        #: Revision of the table in the store; None while it is not known.
        self._table_revision: int | None = 0
        self._write_again_at = float("-inf")
        self._ownership_version = 0
        self._upstreams_version = 0
        self._members_version = 0
        self._upstreams: dict[str, Upstream] = {}
        self._first_seen_at: float | None = None
        self._holders: dict[str, KeyHolder] = {}
        self._earlier = self._earlier_leaders(())
        #: Moves from upstreams that may still obey earlier leaders.
        self._contested: set[KeyRange] = set()
        self._moving = 0
        self._read_again_at = float("-inf")
        self._store_is_lost = False
        self._to_refence: set[tuple[str, int]] = set()

    def run(self) -> None:
        """Take over and act until the term ends."""
        if not self._view.begin_term(self._term):
            log_state_change("term.outdated", term=self._term)
            self._parent._leadership.depose("a newer term is known")
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
        return not self._parent._stopping.is_set() and self._leads()

    def _leads(self) -> bool:
        knows_newer = self._view.versions.term > self._term
        return self._parent._leadership.term == self._term and not knows_newer

    def _wait(self, seconds: float) -> None:
        end = self._now() + max(0.02, seconds)
        while self._acts() and self._now() < end:
            self._publish_members()
            self._parent._stopping.wait(min(0.1, max(0.005, end - self._now())))

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
        self._view.take_upstreams(self._term, self._upstreams_version, published, age_s)

    def _differs(self, upstreams: dict[str, Upstream]) -> bool:
        if upstreams.keys() != self._upstreams.keys():
            return True
        return any(
            replace(item, warmup_s=0.0) != replace(self._upstreams[name], warmup_s=0.0)
            for name, item in upstreams.items()
        )

    def _publish_members(self) -> None:
        now = self._now()
        self._parent._members.note(self._parent.me, self._term, now)
        living = self._parent._members.living(now)
        if living != self._view.members or not self._members_version:
            self._members_version += 1
            self._view.take_members(self._term, self._members_version, living)
            log_state_change("members.changed", members=[item.instance_id for item in living])

    # The table.

    def _take_over(self) -> None:
        while self._acts():
            try:
                item = self._store.read(TABLE_KEY, STORE_TIMEOUT_S)
            except StoreError as exc:
                log_state_change("table.not_read", error=str(exc))
                self._parent._stopping.wait(STORE_RETRY_S)
                continue
            record = TableRecord(0, (), ()) if item is None else self._decode(item.value)
            self._earlier = self._earlier_leaders(record.leaders)
            self._table_revision = item.revision if item is not None else 0
            fence = record.fence + 1
            ranges = [replace(entry, fence=fence) for entry in record.ranges]
            if not ranges or self._write(fence, ranges):
                self._fence = fence
                self._ranges = ranges
                break
            self._parent._stopping.wait(STORE_RETRY_S)
        log_state_change("term.begun", term=self._term, fence=self._fence, ranges=len(self._ranges))
        self._publish_ownership()
        self._keep_holders()
        for entry in list(self._ranges):
            if entry.giver is not None:
                self._contested.add(entry)
                self._begin_move(entry)

    def _earlier_leaders(self, processes: Iterable[LeaderProcess]) -> EarlierLeaders:
        parent = self._parent
        return EarlierLeaders(
            processes, parent.me, parent._started, self._term, parent._members, self._now
        )

    def _decode(self, document: bytes) -> TableRecord:
        try:
            return decode_table(document)
        except DocumentError as exc:
            # Nobody else writes this key; giving keys away anew could make two owners.
            log_state_change("table.unreadable", error=str(exc))
            raise

    def _write(self, fence: int, ranges: Iterable[KeyRange]) -> bool:
        """Write the table; false if it is not known to be written.

        While the store is away nothing is moved, but what is granted is renewed.
        """
        if self._now() < self._write_again_at:
            return False
        me = LeaderProcess(self._parent.me.instance_id, self._parent.me.boot_id, UNKNOWN_LEADER_S)
        others = tuple(item for item in self._earlier.possible() if item.boot_id != me.boot_id)
        document = encode_table(TableRecord(fence, tuple(ranges), (me, *others)))
        try:
            if self._table_revision is None:
                self._read_revision()
            conditions = {LEADER_KEY: self._term, TABLE_KEY: self._table_revision or 0}
            self._table_revision = self._store.commit(
                conditions, [(TABLE_KEY, document, 0)], STORE_TIMEOUT_S
            )
            return True
        except ConflictError:
            log_state_change("table.conflict", term=self._term)
        except StoreError as exc:
            log_state_change("table.write_failed", error=str(exc))
            if not exc.may_have_run:
                self._write_again_at = self._now() + STORE_RETRY_S
                return False
        return self._is_written(document)

    def _read_revision(self) -> StoreItem | None:
        item = self._store.read(TABLE_KEY, STORE_TIMEOUT_S)
        self._table_revision = item.revision if item is not None else 0
        return item

    def _is_written(self, document: bytes) -> bool:
        """Find out whether a write without an answer, or in conflict, was made."""
        self._table_revision = None
        try:
            item = self._read_revision()
            if item is not None and item.value == document:
                return True
            self._check_lead()
        except StoreError as exc:
            log_state_change("table.not_read", error=str(exc))
            self._write_again_at = self._now() + STORE_RETRY_S
        return False

    def _check_lead(self) -> None:
        leader = self._store.read(LEADER_KEY, STORE_TIMEOUT_S)
        if leader is None or leader.revision != self._term:
            self._parent._leadership.depose("another node holds the leader's key")

    def _publish_ownership(self) -> None:
        with self._lock:
            self._ownership_version += 1
            table = OwnershipTable(self._ranges)
            self._view.take_ownership(self._term, self._ownership_version, table)

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

    def _new_holder(self, upstream: Upstream) -> KeyHolder:
        holder = KeyHolder(
            upstream,
            self._earlier.grants_end,
            self._owned_by,
            self._foreign_key,
            self._leads,
            self._note_fenced_off,
            lambda: self._parent.hold_s,
            self._now,
            self._parent._metrics,
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
                    self._begin_move(item)
        for holder in self._holders.values():
            holder.renew_soon()

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
            seats = self._seats(name)
            gathered = (
                self._first_seen_at is not None and self._now() - self._first_seen_at > GATHER_S
            )
            if seats and gathered:
                fresh.extend(cut_evenly(name, seats, fence))
        return fresh

    def _seats(self, service: str) -> list[Seat]:
        seats = []
        for name in sorted(self._upstreams):
            upstream = self._upstreams[name]
            holder = self._holders.get(name)
            if upstream.service != service or upstream.leaving or holder is None:
                continue
            if holder.is_reachable:
                seats.append(Seat(name, self._parent._capacities.capacity(name, upstream.slots)))
        return seats

    def _plan(self, service: str, level: bool) -> list[Move]:
        with self._lock:
            ranges = [item for item in self._ranges if item.service == service]
        seats = self._seats(service)
        if not ranges or not seats:
            return []
        most = max(0, MOVES_IN_PROGRESS - self._moving) if level else 0
        demand = self._parent._demands.rates(service, self._now())
        moves = plan_moves(ranges, demand, seats, min(most, MOVES_AT_ONCE))
        return [move for move in moves if self._is_due(move)]

    def _is_taken_over(self, upstream_id: str) -> bool:
        holder = self._holders.get(upstream_id)
        return holder is not None and holder.is_taken_over

    def _is_due(self, move: Move) -> bool:
        """Leave the keys of an unreachable upstream until its hold has run out."""
        holder = self._holders.get(move.keys.owner)
        if holder is None:
            return self._now() > self._earlier.grants_end()
        return holder.is_reachable or self._now() > holder.held_until

    def _begin_move(self, keys: KeyRange) -> None:
        with self._lock:
            self._moving += 1
        thread = threading.Thread(target=self._move, args=(keys,), name="move", daemon=True)
        thread.start()

    def _move(self, keys: KeyRange) -> None:
        try:
            self._carry_out(keys)
        except Exception as exc:
            log_thread_error("move", exc)
        finally:
            with self._lock:
                self._moving -= 1

    def _carry_out(self, keys: KeyRange) -> None:
        started = self._now()
        self._parent._stopping.wait(NEWS_TIME_S)
        handover, released = self._take_back(keys)
        if not released:
            return
        self._give(keys, handover)
        settled = replace(keys, giver=None, moving=False)
        with self._lock:
            if not self._leads() or keys not in self._ranges:
                return
            self._ranges[self._ranges.index(keys)] = settled
        self._publish_ownership()
        log_state_change(
            "keys.moved",
            service=keys.service,
            first=keys.first,
            last=keys.last,
            giver=keys.giver,
            owner=keys.owner,
            fence=keys.fence,
            warm=handover is not None,
            took_s=round(self._now() - started, 3),
        )
        self._parent._metrics.count("foxtailshunt_moves_total", "Ranges of keys moved.")
        self._parent._metrics.count(
            "foxtailshunt_keys_moved_total", "Keys moved.", amount=keys.last - keys.first + 1
        )

    def _take_back(self, keys: KeyRange) -> tuple[str | None, bool]:
        """Return the giver's handover once the giver surely holds the keys no more."""
        holder = self._holders.get(keys.giver or "")
        if holder is None:
            self._wait_until(self._earlier.grants_end)
            return None, self._leads()
        # Renewals of these keys have ended; one may still be on its way.
        lapsed_at = max(holder.held_until, self._now() + GRANT_TIMEOUT_S)
        orders = KeyOrders(holder.upstream.address, holder.upstream.upstream_id)
        try:
            while self._leads() and not self._parent._stopping.is_set():
                try:
                    return orders.release(keys, RELEASE_TIMEOUT_S), True
                except UpstreamReplacedError:
                    return None, True
                except OrderError as exc:
                    log_state_change("release.failed", upstream=keys.giver, error=str(exc))
                earlier_end = self._earlier.grants_end() if keys in self._contested else lapsed_at
                if self._now() > max(lapsed_at, earlier_end):
                    return None, True
                self._parent._stopping.wait(RELEASE_RETRY_S)
        finally:
            orders.close()
        return None, False

    def _wait_until(self, moment: Callable[[], float]) -> None:
        while self._leads() and self._now() < moment() and not self._parent._stopping.is_set():
            self._parent._stopping.wait(0.1)

    def _give(self, keys: KeyRange, handover: str | None) -> None:
        holder = self._holders.get(keys.owner)
        if holder is None:
            return
        orders = KeyOrders(holder.upstream.address, holder.upstream.upstream_id)
        try:
            for _ in range(GRANT_TRIES):
                if holder.grant(orders, keys, handover) or not holder.is_reachable:
                    return
        finally:
            orders.close()


def _split(move: Move, fence: int) -> list[KeyRange]:
    """Return the ranges that take the place of a move's range."""
    keys = move.keys
    parts = [
        KeyRange(keys.service, move.first, move.last, move.taker, fence, keys.owner, moving=True)
    ]
    if move.first > keys.first:
        parts.append(replace(keys, last=move.first - 1))
    if move.last < keys.last:
        parts.append(replace(keys, first=move.last + 1))
    return parts
