"""Everything that a dispatcher keeps of one upstream for the sending of requests."""

import threading

from foxtailshunt.config import Rank, Service
from foxtailshunt.dispatch._in_flight_limit import InFlightLimit
from foxtailshunt.dispatch._load_meter import LoadMeter
from foxtailshunt.dispatch._memory_era import MemoryEra, MemoryMoments
from foxtailshunt.dispatch._pull_gate import PullGate
from foxtailshunt.dispatch._retry_budget import RetryBudget
from foxtailshunt.dispatch._right_gate import RightGate
from foxtailshunt.dispatch._service_times import ServiceTimes
from foxtailshunt.dispatch._turn import Turn
from foxtailshunt.dispatch._turn_queue import TurnQueue
from foxtailshunt.errors import ResultCode
from foxtailshunt.ownership import (
    Fence,
    SendPermission,
    SendRight,
    UpstreamLoad,
    UpstreamRow,
    slot_of_key,
)
from foxtailshunt.timing import Clock

#: Time after which a leaving upstream gets no new work, from the moment that its row says so, in
#: seconds.
_DRAIN_GRACE_S = 2.0


class UpstreamState:
    """Queue, limits, measurements and memory of one upstream; safe to use from any thread.

    :param upstream_id: the upstream.
    :param service: the service that it serves.
    :param clock: the clock.
    :param right: tells whether this dispatcher may send.
    """

    def __init__(self, upstream_id: str, service: Service, clock: Clock, right: SendRight) -> None:
        self.upstream_id = upstream_id
        self.service = service
        limits = service.limits
        self.limit = InFlightLimit(clock, limits.slots, limits.slow_start_s)
        self.budget = RetryBudget(service.retry_budget)
        self._gate = RightGate(clock, right, upstream_id)
        self.queue = TurnQueue(clock, self.limit, service.floors, service.queues, self._gate)
        self.pulls = PullGate(clock)
        self._clock = clock
        self._right = right
        self._lock = threading.Lock()
        # Taken last and held for no call to other parts, which may ask for the load.
        self._measure_lock = threading.Lock()
        self._times = ServiceTimes()
        self._meter = LoadMeter()
        self._era = MemoryEra(clock, lambda key: slot_of_key(key, service.slot_count))
        self._turns: dict[str, list[Turn]] = {}
        self._boot_id: str | None = None
        self._is_warming = False
        self._row: UpstreamRow | None = None
        self._draining_since: float | None = None
        self._checks_fences = self._find_checks_fences(service)

    @property
    def checks_fences(self) -> bool:
        """Return whether the upstream refuses work under a lower fence."""
        return self._checks_fences

    def now(self) -> float:
        """Return the moment in seconds of the monotonic clock."""
        return self._clock.now()

    def take_service(self, service: Service) -> None:
        """Follow a change of the configuration.

        :param service: the service as configured now.
        """
        self.service = service
        self.limit.configure(service.limits.slots, service.limits.slow_start_s)
        self.queue.configure(service.floors, service.queues)
        self.budget.ratio = service.retry_budget
        self._checks_fences = self._find_checks_fences(service)

    def take_row(self, row: UpstreamRow | None) -> None:
        """Follow a change of the table: waiting requests that it moved away are rejected.

        :param row: the upstream's row now.
        """
        with self._lock:
            old = self._row
            if row is old or (row and old and row.fence < old.fence):
                return
            self._row = row
            self._era.take_row(row)
            self._note_draining(row)
        self.queue.withdraw_where(self.refusal)

    def refusal(self, turn: Turn) -> ResultCode | None:
        """Return why the table speaks against sending a request here, or None.

        :param turn: the request's turn.
        """
        row = self._row
        if row is None or not row.owns(turn.slot, turn.key):
            return ResultCode.NO_OWNER
        since = self._draining_since
        if since is not None and self._clock.now() - since > _DRAIN_GRACE_S:
            return ResultCode.NO_OWNER
        return None

    def new_turn(self, turn: Turn, operation: str) -> None:
        """Enter a request and join the queue with what is known of its operation.

        :param turn: the request's turn.
        :param operation: the operation.
        """
        with self._measure_lock:
            turn.expected_s = self._times.mean_s(operation)
        with self._lock:
            self._turns.setdefault(turn.request_id, []).append(turn)
        self.queue.join(turn)

    def forget_turn(self, turn: Turn) -> None:
        """Remove a request that ended.

        :param turn: the request's turn.
        """
        with self._lock:
            turns = self._turns.get(turn.request_id, [])
            if turn in turns:
                turns.remove(turn)
            if not turns:
                self._turns.pop(turn.request_id, None)

    def turns_of(self, request_id: str) -> tuple[Turn, ...]:
        """Return the turns of a request id.

        :param request_id: the id.
        """
        with self._lock:
            return tuple(self._turns.get(request_id, ()))

    def note_permission(self, permission: SendPermission) -> None:
        """Start slowly if the upstream is another incarnation than before.

        What was lost with the earlier incarnation no longer holds its slots.

        :param permission: the permission, which names the incarnation.
        """
        if permission.boot_id != self._boot_id:
            if self._boot_id is not None:
                self.limit.note_cold_start()
                self.queue.release_lingering()
            self._boot_id = permission.boot_id

    def note_warming(self, warming: bool) -> None:
        """Start slowly once the upstream begins to warm up.

        :param warming: whether it says that it is warming up.
        """
        if warming and not self._is_warming:
            self.limit.note_cold_start()
        self._is_warming = warming

    def memory_since(self, slot: int, key: str) -> float:
        """Return since when every request of a key was sent here.

        :param slot: the key's slot.
        :param key: the key.
        :returns: wall time in seconds since the epoch.
        """
        with self._lock:
            return self._era.since(slot, key)

    def hand_over_memory(self) -> MemoryMoments | None:
        """End the memory's era; None unless the right is held and was held without a gap."""
        is_held = self._right.holds_assent(self.upstream_id)
        with self._lock:
            moments = self._era.hand_over()
        return moments if is_held else None

    def departed_memory(self, slots: frozenset[int], fence: Fence) -> MemoryMoments | None:
        """Return the moments of slots that left; None unless the right was held without a gap.

        :param slots: the slots.
        :param fence: the fence of the row that no longer listed them.
        """
        if not self._right.holds_assent(self.upstream_id):
            return None
        with self._lock:
            return self._era.departed(slots, fence)

    def row_fence(self) -> Fence | None:
        """Return the fence of the upstream's row, None without one."""
        row = self._row
        return row.fence if row else None

    def take_over_memory(self, moments: MemoryMoments, fence: Fence) -> bool:
        """Take the moments of the sender directly before this one; False if they don't fit.

        :param moments: what it handed over.
        :param fence: the fence of the row when this dispatcher became the sender.
        """
        with self._lock:
            return self._era.take_over(moments, fence)

    def take_arrived_memory(self, fence: Fence, moments: MemoryMoments) -> bool:
        """Take the moments of slots that came from another upstream; False if none fits.

        :param fence: the fence of the first row with the slots.
        :param moments: what the sender of the other upstream knows.
        """
        if not self._right.holds_assent(self.upstream_id):
            return False
        with self._lock:
            return self._era.take_arrival(fence, moments)

    def end_memory(self) -> None:
        """Start the memory's era anew."""
        with self._lock:
            self._era.end()

    def record(self, operation: str, duration_s: float) -> None:
        """Add the service time of a request that ran.

        :param operation: its operation.
        :param duration_s: time from sending to the whole answer, in seconds.
        """
        with self._measure_lock:
            self._times.record(operation, duration_s)

    def high_service_time_s(self, operation: str) -> float | None:
        """Return the 99th percentile of an operation's service time, None before enough requests.

        :param operation: the operation.
        """
        with self._measure_lock:
            return self._times.high_s(operation)

    def release(self, turn: Turn) -> None:
        """Give a turn's slot back and count its work.

        :param turn: the turn.
        """
        held_s = self.queue.release(turn)
        with self._measure_lock:
            self._meter.record(turn.key, held_s, self._clock.now())

    def refresh(self) -> None:
        """Do what the passing of time asks for; called at short intervals."""
        is_held = self._right.holds_assent(self.upstream_id)
        if is_held:
            self._gate.note_held()
        with self._lock:
            self._era.observe(is_held, self._may_send)
        if self._draining_since is not None:
            self.queue.withdraw_where(self.refusal)
        self.queue.refresh()

    def load(self) -> UpstreamLoad:
        """Return the load as reports need it."""
        now = self._clock.now()
        with self._measure_lock:
            load = self._meter.load(now)
            key_load = self._meter.key_load(now)
        queued = sum(map(self.queue.queued, Rank))
        return UpstreamLoad(load, key_load, self.queue.in_flight(), queued)

    def _may_send(self, slot: int, key: str) -> bool:
        return not isinstance(self._right.check(self.upstream_id, slot, key), ResultCode)

    def _note_draining(self, row: UpstreamRow | None) -> None:
        if row is None or not row.draining:
            self._draining_since = None
        elif self._draining_since is None:
            self._draining_since = self._clock.now()

    def _find_checks_fences(self, service: Service) -> bool:
        for upstream in service.upstreams:
            if upstream.upstream_id == self.upstream_id:
                return upstream.checks_fences
        return False
