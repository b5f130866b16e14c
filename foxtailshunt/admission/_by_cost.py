"""The policy ``by-cost``: what is served, delayed, displaced or refused by its cost to callers.

Requests are planned on the expected free times of the slots. Those that can meet their latency
objective are served first; if not all can, the least urgent ones with the most work are delayed. A
request that would end after its deadline is refused, and told when it may return.
"""

from foxtailshunt.admission._admission_plan import AdmissionPlan
from foxtailshunt.admission._arrival_rates import ArrivalRates
from foxtailshunt.admission._call import Call
from foxtailshunt.admission._cost_order import LATENCY_MARGIN, WAIT_SHARE, CostOrder
from foxtailshunt.admission._expected_load import ExpectedLoad
from foxtailshunt.admission._overload_policy import Decision, RecordDecision
from foxtailshunt.admission._plan import in_delayed_order
from foxtailshunt.admission._pool_state import NO_UPSTREAM_WAIT_S, PoolState
from foxtailshunt.admission._queue_entry import QueueEntry, QueueEntryState, Refusal
from foxtailshunt.admission._refusals import MIN_RETRY_AFTER_S, Refusals
from foxtailshunt.admission._reservations import Reservation, ReservationBook
from foxtailshunt.admission._slot_forecast import SlotForecast
from foxtailshunt.admission._start_forecast import StartForecast
from foxtailshunt.admission._upstream_slots import UpstreamSlots

#: Minimum time between two plans of the queue, in seconds for each request, and its upper bound, in
#: seconds: while there are new requests to be decided on, and otherwise. The plans take at most
#: about 5,000 evaluations a second, each of which costs about 2 microseconds.
DECISION_PER_ENTRY_S, MAX_DECISION_S = 0.0002, 0.05
CHECK_PER_ENTRY_S, MAX_CHECK_S = 0.0005, 0.2
#: Interval at which queued requests are considered again for a slot that none of them took, in
#: seconds; each queued request has a thread that would do so several times a second.
IDLE_RETRY_S = 0.02
#: Weight of the newest request in the mean work of the pool's requests, and its first value in
#: seconds. The mean tells how much work a cold upstream does with the starts that it may get.
WORK_WEIGHT, INITIAL_WORK_S = 0.05, 0.15


class ByCostPolicy:
    """Queue that is planned by rank, latency objective, deadline and work.

    :param state: the slots of the pool.
    :param record: called for each request that is admitted or delayed.
    """

    def __init__(self, state: PoolState, record: RecordDecision) -> None:
        self._state = state
        self._record = record
        self._order = CostOrder(state)
        #: Requests that are not decided on, with the refused attempt of a caller that returns.
        self._new: dict[QueueEntry, Reservation | None] = {}
        #: Queued requests that are expected to meet their objective, by latest start.
        self._on_time: list[QueueEntry] = []
        #: The other queued requests, by rank and deadline.
        self._delayed: list[QueueEntry] = []
        #: Requests whose state has changed since the last call of assign.
        self._removed: list[QueueEntry] = []
        self._rates = ArrivalRates()
        self._load = ExpectedLoad(self._rates, state.credits)
        self._book = ReservationBook()
        self._refusals = Refusals(self._book)
        #: Mean work of the latest requests, in seconds.
        self._mean_work_s = INITIAL_WORK_S
        self._pauses_checked = 0
        #: Numbers of running, on-time and delayed requests when slots were last left idle, and when
        #: they are offered again if nothing changes, in seconds.
        self._idle_load: tuple[int, int, int] | None = None
        self._idle_until = 0.0
        #: When new requests are decided on, and when the queue is planned without any, in seconds.
        self._next_decision_at, self._next_check_at = 0.0, 0.0

    @property
    def waiting(self) -> list[QueueEntry]:
        """Return the queued requests."""
        return [*self._new, *self._on_time, *self._delayed]

    def enqueue(self, entry: QueueEntry, now: float) -> Refusal | None:
        """Queue a request; the next plan decides whether it is admitted.

        :param entry: the request.
        :param now: the time in seconds.
        :returns: the refusal if no upstream can serve it, otherwise None.
        """
        call = entry.call
        if self._forecast(now).next_start() == float("inf"):
            return Refusal(None, max(NO_UPSTREAM_WAIT_S, self._state.pause_s(now)))
        returning = self._book.find(call, now)
        objective_at = call.latency_objective_at if returning is None else returning.objective_at
        self._set_times(entry, objective_at)
        self._new[entry] = returning
        return None

    def assign(self, now: float) -> list[QueueEntry]:
        """Decide on new requests, assign free slots, and let requests expire that would be late.

        :param now: the time in seconds.
        :returns: the entries whose state has changed since the last call.
        """
        if self._is_plan_due(now):
            self._pauses_checked = self._state.pauses.count
            self._replan(now)
        if (self._on_time or self._delayed) and self._state.has_free_slot(now):
            # Requests that have left a slot idle are not considered again for some milliseconds
            # unless something has changed.
            load = self._state.running, len(self._on_time), len(self._delayed)
            if load != self._idle_load or now >= self._idle_until:
                self._assign_free_slots(now)
                self._idle_load = self._state.running, len(self._on_time), len(self._delayed)
                self._idle_until = now + IDLE_RETRY_S
        changed, self._removed = self._removed, []
        return changed

    def _is_plan_due(self, now: float) -> bool:
        is_decided = bool(self._on_time or self._delayed)
        if not self._new and not is_decided:
            return False
        if self._state.pauses.count != self._pauses_checked:
            return True
        if not self._new:
            return now >= self._next_check_at
        # A free slot is not left idle until the next plan is due.
        return now >= self._next_decision_at or (not is_decided and self._state.has_free_slot(now))

    def next_decision(self, entry: QueueEntry) -> float | None:
        """Return when a new request is decided on, in seconds.

        :param entry: the request.
        :returns: None if it has been decided on.
        """
        return self._next_decision_at if entry in self._new else None

    def cancel(self, entry: QueueEntry) -> None:
        """Remove a request from the queue, if it is queued.

        :param entry: the request.
        """
        if entry in self._new:
            del self._new[entry]
            return
        for queue in (self._on_time, self._delayed):
            if entry in queue:
                queue.remove(entry)

    def shed_retry_after_s(self, call: Call, now: float) -> float:
        """Return when a request that an upstream has refused may be sent again, in seconds.

        An upstream that refuses requests at random accepts the next attempt with the usual
        probability, so the caller returns at once if the attempt can meet its latency objective.

        :param call: the request.
        :param now: the time in seconds.
        """
        entry = QueueEntry(call, lambda: None, now)
        forecast = self._forecast(now)
        self._set_times(entry, call.latency_objective_at)
        for other in self._on_time:
            forecast.place(other.work_s)
        start = forecast.next_start()
        if start <= max(now, entry.latest_start - MIN_RETRY_AFTER_S):
            start = now
        return self._refusals.refuse(entry, start, self._state.pause_s(now), now).retry_after_s

    def _replan(self, now: float) -> None:
        """Plan the queue, decide on new requests, and let requests expire that would be late."""
        forecast = self._forecast(now)
        capacity = forecast.capacity
        new, self._new = self._new, {}
        admission = AdmissionPlan(
            self._on_time + self._delayed,
            new,
            self._order,
            forecast,
            self._state.pause_s(now),
            lambda entry, wait_s, duration_s, is_delayed: self._estimate_s(
                entry, new[entry], wait_s, duration_s, is_delayed, capacity, now
            ),
            now,
        )
        gone = {*admission.refused, *admission.displaced, *admission.expired}
        self._on_time = [entry for entry in admission.on_time if entry not in gone]
        self._delayed = [entry for entry in admission.delayed if entry not in gone]
        end = admission.end_of_queue
        for entry, returning in new.items():
            if returning is not None:
                self._book.remove(returning)
            if entry not in admission.refused:
                self._record(Decision.ADMITTED, entry.call.rank)
        for entry, estimate_s in admission.refused.items():
            reason = "" if estimate_s is not None else "admitted requests would be late"
            self._remove(entry, QueueEntryState.REFUSED, end, capacity, now, estimate_s, reason)
        for entry in admission.displaced:
            reason = "displaced by a more urgent request"
            self._remove(entry, QueueEntryState.DISPLACED, end, capacity, now, reason=reason)
        for entry in admission.expired:
            self._remove(entry, QueueEntryState.EXPIRED, end, capacity, now)
        for entry, returning in new.items():
            # A caller that returns was counted when it first arrived.
            if returning is None:
                self._rates.record(entry.call.route, entry.call.rank, entry.work_s, now)
        for entry in self._delayed:
            if not entry.delayed:
                entry.delayed = True
                self._record(Decision.DELAYED, entry.call.rank)
        planned = len(self._on_time) + len(self._delayed) + len(gone)
        self._next_decision_at = now + min(MAX_DECISION_S, DECISION_PER_ENTRY_S * planned)
        self._next_check_at = now + min(MAX_CHECK_S, CHECK_PER_ENTRY_S * planned)

    def _estimate_s(
        self,
        entry: QueueEntry,
        returning: Reservation | None,
        wait_s: float,
        duration_s: float,
        is_delayed: bool,
        capacity: float,
        now: float,
    ) -> float:
        """Return the estimated time until the response of a new request, in seconds."""
        if wait_s == float("inf"):
            return wait_s
        call = entry.call
        left = self._load.left_by_more_urgent(call, capacity, now)
        if is_delayed or now + wait_s / (left * WAIT_SHARE) > entry.latest_start:
            is_due = returning is not None and now >= returning.return_at - MIN_RETRY_AFTER_S
            held_s = self._book.held_work_s(call.rank, now, returning, is_due)
            left = self._load.left_by_all(call, capacity, now)
            wait_s = (wait_s + held_s / capacity) if wait_s > 0 else 0.0
        entry.expected_wait_s = wait_s / left
        return entry.expected_wait_s + duration_s * (1 + LATENCY_MARGIN)

    def _remove(
        self,
        entry: QueueEntry,
        state: QueueEntryState,
        end_of_queue: float,
        capacity: float,
        now: float,
        estimate_s: float | None = None,
        reason: str = "",
    ) -> None:
        """Refuse a request that has left the queue, with the expected start of its next attempt."""
        pause_s = self._state.pause_s(now)
        entry.state = state
        self._removed.append(entry)
        if capacity <= 0:
            entry.refusal = Refusal(None, max(NO_UPSTREAM_WAIT_S, pause_s), reason)
            return
        held_s = self._book.held_work_s(entry.call.rank, now)
        left = self._load.left_by_all(entry.call, capacity, now)
        start = now + (max(0.0, end_of_queue - now) + held_s / capacity) / left
        entry.refusal = self._refusals.refuse(entry, start, pause_s, now, estimate_s, reason)

    def _assign_free_slots(self, now: float) -> None:
        state = self._state
        while self._on_time and self._on_time[0].latest_start < now:
            self._delayed = in_delayed_order([*self._delayed, self._on_time.pop(0)])
        forecast = state.forecast(now)
        for entry in self._order.arrange(self._on_time, self._delayed, self._forecast(now), now):
            if not state.has_free_slot(now):
                return
            slots = self._choose_slots(entry, forecast, now)
            if slots is None:
                continue
            latency_s = self._latency_s(entry, slots, now)
            is_free = forecast.free_at(slots.upstream.upstream_id) <= now
            if is_free and now + latency_s > entry.call.deadline:
                self._discard(entry)
                capacity = self._forecast(now).capacity
                self._remove(entry, QueueEntryState.EXPIRED, now, capacity, now)
                continue
            forecast.occupy(slots.upstream.upstream_id, latency_s)
            if is_free:
                if not state.start(entry, slots, latency_s, now, self.waiting):
                    continue
                self._discard(entry)
                self._removed.append(entry)

    def _choose_slots(
        self, entry: QueueEntry, forecast: SlotForecast, now: float
    ) -> UpstreamSlots | None:
        """Return the slots that a request takes or waits for.

        It waits for a faster upstream only if it would otherwise miss its latency objective, or
        its deadline once it is delayed, since an idle slot is lost capacity.
        """
        state = self._state
        best = state.best_slots(entry.call, forecast, now)
        if best is None or forecast.free_at(best.upstream.upstream_id) <= now:
            return best
        free = state.best_slots(entry.call, forecast, now, free_by=now)
        if free is None:
            return best
        latency_s = self._latency_s(entry, free, now)
        if entry.delayed:
            # A request that times out wastes its work, and the upstream gets a backoff.
            is_in_time = now + latency_s * (1 + LATENCY_MARGIN) <= entry.call.deadline
        else:
            is_in_time = now + latency_s <= entry.objective_at
        return free if is_in_time else best

    def _set_times(self, entry: QueueEntry, objective_at: float) -> None:
        entry.work_s = self._state.latencies.mean_latency_s(entry.call.route)
        self._mean_work_s += WORK_WEIGHT * (entry.work_s - self._mean_work_s)
        entry.objective_at = objective_at
        # Not at the present speed of the pool: trials with it served urgent kinds less often than
        # others at a slow upstream, since most of them were delayed.
        entry.latest_start = objective_at - entry.work_s

    def _latency_s(self, entry: QueueEntry, slots: UpstreamSlots, now: float) -> float:
        return self._state.expected_latency_s(entry.call, slots) * slots.overrun_ratio(now)

    def _forecast(self, now: float) -> StartForecast:
        latencies = self._state.latencies
        return StartForecast(self._state.slots.values(), latencies, self._mean_work_s, now)

    def _discard(self, entry: QueueEntry) -> None:
        queue = self._on_time if entry in self._on_time else self._delayed
        queue.remove(entry)
