"""The policy ``by-slack``: the least slack to the latency objective first, then by rank.

Handles more requests than slots for some seconds (bursts, hot keys), requests of several ranks that
compete for the same slots, and upstreams that differ in speed or become slow.
"""

import random

from foxtailshunt.admission._call import Call
from foxtailshunt.admission._floor_scheduler import FloorScheduler
from foxtailshunt.admission._overload_policy import Decision, RecordDecision
from foxtailshunt.admission._pool_state import NO_UPSTREAM_WAIT_S, PoolState
from foxtailshunt.admission._queue_entry import QueueEntry, QueueEntryState, Refusal
from foxtailshunt.admission._slot_forecast import SlotForecast

#: Margin for the variance of latencies when a new request is admitted, as a share of the expected
#: latency.
LATENCY_MARGIN = 0.25
#: Share of the expected wait that is used to decide whether a queued request can still meet its
#: deadline. Wait estimates of long queues are off by about the remaining share.
WAIT_SHARE = 0.75
#: Bounds of Retry-After, in seconds. Callers wait for up to a third of their remaining time.
MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S = 0.1, 1.5
#: Minimum time between two complete checks of the queue, in seconds for each queued request, and
#: its upper bound, in seconds. The checks take at most about 1,000 evaluations a second, however
#: long the queue is, which are 2% of a core.
CHECK_INTERVAL_PER_ENTRY_S, MAX_CHECK_INTERVAL_S = 0.001, 0.2


class BySlackPolicy:
    """Queue whose order is the least slack to the latency objective, then the rank.

    :param state: the slots of the pool.
    :param record: called for each request that is admitted.
    """

    def __init__(self, state: PoolState, record: RecordDecision) -> None:
        self._state = state
        self._record = record
        #: Number of pauses when the queue was last checked.
        self._pauses_checked = 0
        self._waiting: list[QueueEntry] = []
        #: When the deadlines of all queued requests are checked next, in seconds.
        self._next_check_at = 0.0

    @property
    def waiting(self) -> list[QueueEntry]:
        """Return the queued requests."""
        return self._waiting

    def enqueue(self, entry: QueueEntry, now: float) -> Refusal | None:
        """Queue a request unless it is expected to miss its deadline.

        :param entry: the request.
        :param now: the time in seconds.
        :returns: the refusal, or None if the request was queued.
        """
        estimate_s = self._estimate_response_s(entry.call, now)
        if estimate_s is None:
            return Refusal(None, self._retry_after(NO_UPSTREAM_WAIT_S, now))
        remaining_s = entry.call.deadline - now
        if estimate_s > remaining_s:
            return Refusal(estimate_s, self._retry_after(estimate_s - remaining_s, now))
        self._waiting.append(entry)
        self._record(Decision.ADMITTED, entry.call.rank)
        return None

    def assign(self, now: float) -> list[QueueEntry]:
        """Assign free slots to queued requests and expire those that would miss their deadline.

        Each queued request is checked again from time to time by its position in the queue, because
        more urgent requests may have arrived or the upstream may have become slow since it was
        admitted. Between these checks only the requests are considered for which slots are free.

        :param now: the time in seconds.
        :returns: the entries whose state has changed.
        """
        state = self._state
        is_check_due = now >= self._next_check_at or state.pauses.count != self._pauses_checked
        self._pauses_checked = state.pauses.count
        if not self._waiting or not (is_check_due or state.has_free_slot(now)):
            return []
        self._waiting = self._in_service_order(self._waiting, now)
        forecast = state.forecast(now)
        still_waiting: list[QueueEntry] = []
        for index, entry in enumerate(self._waiting):
            if not is_check_due and not state.has_free_slot(now):
                still_waiting.extend(self._waiting[index:])
                break
            slots = state.best_slots(entry.call, forecast, now)
            if slots is None:
                self._expire(entry, None, now)
                continue
            upstream_id = slots.upstream.upstream_id
            wait_s = forecast.free_at(upstream_id) - now
            latency_s = state.expected_latency_s(entry.call, slots) * slots.overrun_ratio(now)
            # The wait for a slot is an estimate, the pause of an upstream is not.
            pause_s = min(wait_s, slots.pause_s(now))
            least_wait_s = pause_s + WAIT_SHARE * (wait_s - pause_s)
            if now + least_wait_s + latency_s > entry.call.deadline:
                self._expire(entry, wait_s + latency_s, now)
                continue
            forecast.occupy(upstream_id, latency_s)
            is_free = slots.has_free_slot(now) and wait_s <= 0
            if not (is_free and state.start(entry, slots, latency_s, now, self._waiting)):
                still_waiting.append(entry)
        changed = [entry for entry in self._waiting if entry.state is not QueueEntryState.WAITING]
        self._waiting = still_waiting
        if is_check_due:
            interval_s = CHECK_INTERVAL_PER_ENTRY_S * len(still_waiting)
            self._next_check_at = now + min(MAX_CHECK_INTERVAL_S, interval_s)
        return changed

    def next_decision(self, entry: QueueEntry) -> None:
        """Return nothing, since requests are decided on when they arrive.

        :param entry: the request.
        """

    def cancel(self, entry: QueueEntry) -> None:
        """Remove a request from the queue, if it is queued.

        :param entry: the request.
        """
        if entry in self._waiting:
            self._waiting.remove(entry)

    def shed_retry_after_s(self, call: Call, now: float) -> None:
        """Make no statement about requests that an upstream has refused.

        :param call: the request.
        :param now: the time in seconds.
        """

    def _expire(self, entry: QueueEntry, estimate_s: float | None, now: float) -> None:
        excess_s = NO_UPSTREAM_WAIT_S
        if estimate_s is not None:
            excess_s = estimate_s - (entry.call.deadline - now)
        entry.state = QueueEntryState.EXPIRED
        entry.refusal = Refusal(estimate_s, self._retry_after(excess_s, now))

    def _in_service_order(self, entries: list[QueueEntry], now: float) -> list[QueueEntry]:
        """Return requests in the order in which they are to be served."""
        ordered = sorted(entries, key=lambda entry: self._sort_key(entry, now))
        if not self._state.credits:
            return ordered
        scheduler = FloorScheduler(
            self._state.credits,
            lambda entry: self._state.latencies.mean_latency_s(entry.call.route),
        )
        return scheduler.schedule(ordered)

    def _sort_key(self, entry: QueueEntry, now: float) -> tuple[int, float, float]:
        """Return the sort key of a request.

        Requests that can still meet their latency objective come first, by the least slack. The
        others follow by rank, then by deadline.
        """
        call = entry.call
        latest_start = call.latency_objective_at - self._state.latencies.mean_latency_s(call.route)
        if latest_start >= now:
            return (0, latest_start, entry.queued_at)
        return (1 + call.rank, call.deadline, entry.queued_at)

    def _estimate_response_s(self, call: Call, now: float) -> float | None:
        """Return the expected time until a request that arrives now completes, in seconds."""
        state = self._state
        forecast = state.forecast(now)
        slots = state.best_slots(call, forecast, now)
        if slots is None:
            return None
        new_entry = QueueEntry(call, lambda: None, now)
        ordered = self._in_service_order([*self._waiting, new_entry], now)
        ahead = ordered[: ordered.index(new_entry)]
        ahead_s = sum(state.latencies.mean_latency_s(other.call.route) for other in ahead)
        effective_slots = sum(
            self._effective_slots(name, forecast, ahead_s / max(1, len(ahead)))
            for name, item in state.slots.items()
            if call.may_use(item.upstream.zone)
        )
        wait_s = forecast.free_at(slots.upstream.upstream_id) - now
        wait_s += ahead_s / effective_slots if effective_slots else 0.0
        latency_s = state.expected_latency_s(call, slots) * slots.overrun_ratio(now)
        return wait_s + latency_s * (1 + LATENCY_MARGIN)

    def _effective_slots(self, upstream_id: str, forecast: SlotForecast, work_s: float) -> float:
        """Return how many slots of average speed an upstream has for requests of this latency."""
        if forecast.free_at(upstream_id) == float("inf"):
            return 0.0
        usable_slots = self._state.slots[upstream_id].usable_slots
        slots = usable_slots / self._state.latencies.latency_ratio(upstream_id)
        return min(slots, forecast.startable_slots(upstream_id, work_s))

    def _retry_after(self, wait_s: float, now: float) -> float:
        # Jitter keeps callers that were refused together from retrying at the same time. No retry
        # is served before the end of a pause, however long it is.
        jitter = random.uniform(0.8, 1.4)
        pause_s = self._state.pause_s(now)
        queue_s = max(0.0, wait_s - pause_s) * jitter
        return pause_s + min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, queue_s))
