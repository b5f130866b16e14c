"""Admission control and scheduling of requests on the slots of upstreams.

Handles more requests than slots for some seconds (bursts, hot keys), requests of several ranks that
compete for the same slots, and upstreams that differ in speed or become slow. The module uses
neither the network nor a clock: the caller passes the time and holds a lock around all calls.
"""

import random
from collections.abc import Iterable

from foxtailshunt.admission._call import Call
from foxtailshunt.admission._floor_credits import FloorCredits
from foxtailshunt.admission._floor_scheduler import FloorScheduler
from foxtailshunt.admission._queue_entry import QueueEntry, QueueEntryState, Refusal
from foxtailshunt.admission._slot_forecast import SlotForecast
from foxtailshunt.admission._upstream_slots import UpstreamSlots
from foxtailshunt.fleet import Upstream
from foxtailshunt.routing import RankFloor
from foxtailshunt.upstreams import (
    LatencyEstimator,
    OutlierDetector,
    RequestResult,
    StartLimiter,
    UpstreamPauses,
)

#: Margin for the variance of latencies when a new request is admitted, as a share of the expected
#: latency.
LATENCY_MARGIN = 0.25
#: Share of the expected wait that is used to decide whether a queued request can still meet its
#: deadline. Wait estimates of long queues are off by about the remaining share.
WAIT_SHARE = 0.75
#: Bounds of Retry-After, in seconds. Callers wait for up to a third of their remaining time.
MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S = 0.1, 1.5
#: Assumed wait of a request for which no upstream is available, in seconds.
NO_UPSTREAM_WAIT_S = 0.25
#: Minimum time between two complete checks of the queue, in seconds for each queued request, and
#: its upper bound, in seconds. The checks take at most about 1,000 evaluations a second, however
#: long the queue is, which are 2% of a core.
CHECK_INTERVAL_PER_ENTRY_S, MAX_CHECK_INTERVAL_S = 0.001, 0.2
#: Idle time after which an upstream is probed with a request, in seconds; multiplied by the latency
#: ratio of slow upstreams.
PROBE_INTERVAL_S = 1.5
#: Share of the expected latency that is assumed for a probe, so that the upstream is chosen once.
PROBE_LATENCY_SHARE = 0.3


class SlotPool:
    """The slots of the upstreams that serve the same requests, and the queue for them.

    :param latencies: latency estimates by route and upstream.
    :param zone: the preferred availability zone among otherwise equal upstreams.
    :param pauses: the pauses that upstreams have asked for; None for an own memory.
    :param limiter: limits the starts at cold upstreams; None for no limit.
    """

    def __init__(
        self,
        latencies: LatencyEstimator,
        zone: str,
        pauses: UpstreamPauses | None = None,
        limiter: StartLimiter | None = None,
    ) -> None:
        self._latencies = latencies
        self._zone = zone
        self._limiter = limiter
        self._pauses = pauses if pauses is not None else UpstreamPauses()
        #: Number of pauses when the queue was last checked.
        self._pauses_checked = 0
        #: Ejections of upstreams that fail far more requests than the others.
        self.outliers = OutlierDetector()
        self._slots: dict[str, UpstreamSlots] = {}
        self._waiting: list[QueueEntry] = []
        self._credits = FloorCredits(())
        #: When the deadlines of all queued requests are checked next, in seconds.
        self._next_check_at = 0.0

    def set_floors(self, floors: tuple[RankFloor, ...]) -> None:
        """Set the minimum shares of the lower ranks.

        :param floors: the floors; empty to serve requests by latency objective and rank only.
        """
        self._credits.set_floors(floors)

    @property
    def waiting(self) -> int:
        """Return the number of queued requests."""
        return len(self._waiting)

    @property
    def running(self) -> int:
        """Return the number of requests in flight."""
        return sum(len(slots.running) for slots in self._slots.values())

    def set_upstreams(self, upstreams: Iterable[Upstream]) -> None:
        """Set the upstreams that may get new requests.

        :param upstreams: the upstreams; those that are leaving are ignored.
        """
        available = {item.upstream_id: item for item in upstreams if not item.leaving}
        self.outliers.set_upstreams(available.values())
        for upstream_id, slots in list(self._slots.items()):
            if upstream_id not in available and not slots.running:
                del self._slots[upstream_id]
            elif upstream_id not in available:
                # Keeps the slots until the in-flight requests end, but assigns no new ones.
                slots.has_left = True
        for upstream_id, upstream in available.items():
            slots = self._slots.get(upstream_id)
            if slots is None or slots.has_left:
                self._slots[upstream_id] = UpstreamSlots(
                    upstream, self._pauses, self.outliers, self._limiter
                )
            else:
                slots.upstream = upstream

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
        return None

    def assign(self, now: float) -> list[QueueEntry]:
        """Assign free slots to queued requests and expire those that would miss their deadline.

        Each queued request is checked again from time to time by its position in the queue, because
        more urgent requests may have arrived or the upstream may have become slow since it was
        admitted. Between these checks only the requests are considered for which slots are free.

        :param now: the time in seconds.
        :returns: the entries whose state has changed.
        """
        is_check_due = now >= self._next_check_at or self._pauses.count != self._pauses_checked
        self._pauses_checked = self._pauses.count
        if not self._waiting or not (is_check_due or self._has_free_slot(now)):
            return []
        self._waiting = self._in_service_order(self._waiting, now)
        forecast = self._forecast(now)
        still_waiting: list[QueueEntry] = []
        for index, entry in enumerate(self._waiting):
            if not is_check_due and not self._has_free_slot(now):
                still_waiting.extend(self._waiting[index:])
                break
            slots = self._best_slots(entry.call, forecast, now)
            if slots is None:
                self._expire(entry, None, now)
                continue
            upstream_id = slots.upstream.upstream_id
            wait_s = forecast.free_at(upstream_id) - now
            latency_s = self._expected_latency_s(entry.call, slots) * slots.overrun_ratio(now)
            # The wait for a slot is an estimate, the pause of an upstream is not.
            pause_s = min(wait_s, slots.pause_s(now))
            least_wait_s = pause_s + WAIT_SHARE * (wait_s - pause_s)
            if now + least_wait_s + latency_s > entry.call.deadline:
                self._expire(entry, wait_s + latency_s, now)
                continue
            forecast.occupy(upstream_id, latency_s)
            is_free = slots.has_free_slot(now) and wait_s <= 0
            if is_free and slots.try_assign(entry, latency_s, now):
                entry.state = QueueEntryState.ASSIGNED
                entry.upstream = slots.upstream
                entry.charged_s = latency_s
                self._charge(entry, latency_s)
            else:
                still_waiting.append(entry)
        changed = [entry for entry in self._waiting if entry.state is not QueueEntryState.WAITING]
        self._waiting = still_waiting
        if is_check_due:
            interval_s = CHECK_INTERVAL_PER_ENTRY_S * len(still_waiting)
            self._next_check_at = now + min(MAX_CHECK_INTERVAL_S, interval_s)
        return changed

    def _has_free_slot(self, now: float) -> bool:
        return any(slots.has_free_slot(now) for slots in self._slots.values())

    def _expire(self, entry: QueueEntry, estimate_s: float | None, now: float) -> None:
        excess_s = NO_UPSTREAM_WAIT_S
        if estimate_s is not None:
            excess_s = estimate_s - (entry.call.deadline - now)
        entry.state = QueueEntryState.EXPIRED
        entry.refusal = Refusal(estimate_s, self._retry_after(excess_s, now))

    def cancel(self, entry: QueueEntry) -> None:
        """Remove a request from the queue.

        :param entry: the request.
        """
        if entry in self._waiting:
            self._waiting.remove(entry)
        entry.state = QueueEntryState.DONE

    def finish(self, entry: QueueEntry, result: RequestResult, now: float) -> None:
        """Release the slot of a request and record what its result states about its upstream.

        :param entry: the request.
        :param result: its result.
        :param now: the time in seconds.
        """
        entry.state = QueueEntryState.DONE
        if entry.upstream is None:
            return
        slots = self._slots.get(entry.upstream.upstream_id)
        if slots is None:
            return
        times = slots.running.pop(entry, None)
        if times is not None:
            self._charge(entry, now - times[0] - entry.charged_s)
            self.outliers.record(entry.upstream.upstream_id, result, times[0], now)

    def next_pause_end(self, now: float) -> float | None:
        """Return when the next ejection or pause of an upstream ends, in seconds.

        :param now: the time in seconds.
        :returns: None if no request is queued or none ends within a minute.
        """
        if not self._waiting:
            return None
        pause_ends = [slots.next_start(now) for slots in self._slots.values()]
        return min((end for end in pause_ends if now < end < now + 60), default=None)

    def pause_s(self, now: float) -> float:
        """Return the time until the first upstream accepts requests, in seconds.

        :param now: the time in seconds.
        :returns: 0 unless all upstreams have asked for a pause.
        """
        available = (slots for slots in self._slots.values() if not slots.has_left)
        return min((slots.pause_s(now) for slots in available), default=0.0)

    def _charge(self, entry: QueueEntry, cost_s: float) -> None:
        if not self._credits:
            return
        ranks = {other.call.rank for other in self._waiting if other is not entry}
        self._credits.charge(entry.call.rank, cost_s, entry.promoted_by_floor, ranks)

    def _in_service_order(self, entries: list[QueueEntry], now: float) -> list[QueueEntry]:
        """Return requests in the order in which they are to be served."""
        ordered = sorted(entries, key=lambda entry: self._sort_key(entry, now))
        if not self._credits:
            return ordered
        scheduler = FloorScheduler(
            self._credits, lambda entry: self._latencies.mean_latency_s(entry.call.route)
        )
        return scheduler.schedule(ordered)

    def _sort_key(self, entry: QueueEntry, now: float) -> tuple[int, float, float]:
        """Return the sort key of a request.

        Requests that can still meet their latency objective come first, by the least slack. The
        others follow by rank, then by deadline.
        """
        call = entry.call
        latest_start = call.latency_objective_at - self._latencies.mean_latency_s(call.route)
        if latest_start >= now:
            return (0, latest_start, entry.queued_at)
        return (1 + call.rank, call.deadline, entry.queued_at)

    def _forecast(self, now: float) -> SlotForecast:
        free_times = {name: slots.free_times(now) for name, slots in self._slots.items()}
        limits = {
            name: limit
            for name, slots in self._slots.items()
            if (limit := slots.start_limit(now)) is not None
        }
        return SlotForecast(free_times, limits)

    def _best_slots(self, call: Call, forecast: SlotForecast, now: float) -> UpstreamSlots | None:
        """Return the slots of the upstream that is expected to serve a request first."""
        best: UpstreamSlots | None = None
        earliest_end = float("inf")
        for upstream_id, slots in self._slots.items():
            if upstream_id in call.excluded and len(self._slots) > len(call.excluded):
                continue
            if not call.may_use(slots.upstream.zone):
                continue
            free_at = forecast.free_at(upstream_id)
            if free_at == float("inf"):
                continue
            # An upstream that fails some requests is expected to need more than one attempt.
            success = self.outliers.relative_success(upstream_id)
            end = free_at + self._selection_latency_s(call, slots, now) / success
            # Prefers the own zone unless an upstream of another zone is expected to be 2 ms faster.
            if slots.upstream.zone != self._zone:
                end += 0.002
            if end < earliest_end:
                best, earliest_end = slots, end
        return best

    def _selection_latency_s(self, call: Call, slots: UpstreamSlots, now: float) -> float:
        expected_latency_s = self._latencies.expected_latency_s(
            call.route, slots.upstream.upstream_id
        )
        latency_ratio = self._latencies.latency_ratio(slots.upstream.upstream_id)
        if len(self._slots) > 1 and now - slots.last_assigned_at > PROBE_INTERVAL_S * max(
            1.0, latency_ratio
        ):
            # Without probes, the latency ratio of an unused upstream would never be updated.
            return (
                min(expected_latency_s, self._latencies.mean_latency_s(call.route))
                * PROBE_LATENCY_SHARE
            )
        return expected_latency_s

    def _expected_latency_s(self, call: Call, slots: UpstreamSlots) -> float:
        return self._latencies.expected_latency_s(call.route, slots.upstream.upstream_id)

    def _estimate_response_s(self, call: Call, now: float) -> float | None:
        """Return the expected time until a request that arrives now completes, in seconds."""
        forecast = self._forecast(now)
        slots = self._best_slots(call, forecast, now)
        if slots is None:
            return None
        new_entry = QueueEntry(call, lambda: None, now)
        ordered = self._in_service_order([*self._waiting, new_entry], now)
        ahead = ordered[: ordered.index(new_entry)]
        ahead_s = sum(self._latencies.mean_latency_s(other.call.route) for other in ahead)
        effective_slots = sum(
            self._effective_slots(name, forecast, ahead_s / max(1, len(ahead)))
            for name, item in self._slots.items()
            if call.may_use(item.upstream.zone)
        )
        wait_s = forecast.free_at(slots.upstream.upstream_id) - now
        wait_s += ahead_s / effective_slots if effective_slots else 0.0
        latency_s = self._expected_latency_s(call, slots) * slots.overrun_ratio(now)
        return wait_s + latency_s * (1 + LATENCY_MARGIN)

    def _effective_slots(self, upstream_id: str, forecast: SlotForecast, work_s: float) -> float:
        """Return how many slots of average speed an upstream has for requests of this latency."""
        if forecast.free_at(upstream_id) == float("inf"):
            return 0.0
        usable_slots = self._slots[upstream_id].usable_slots
        slots = usable_slots / self._latencies.latency_ratio(upstream_id)
        return min(slots, forecast.startable_slots(upstream_id, work_s))

    def _retry_after(self, wait_s: float, now: float) -> float:
        # Jitter keeps callers that were refused together from retrying at the same time. No retry
        # is served before the end of a pause, however long it is.
        jitter = random.uniform(0.8, 1.4)
        pause_s = self.pause_s(now)
        queue_s = max(0.0, wait_s - pause_s) * jitter
        return pause_s + min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, queue_s))
