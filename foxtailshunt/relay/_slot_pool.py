"""Which request gets which slot of which upstream, and when; and which is refused.

Load it answers: more requests than slots for some seconds (bursts, hot keys), requests of several
ranks for the same slots, upstreams that differ in speed or turn slow. It knows no network and no
clock; the caller passes the time and holds a lock around all calls.
"""

import random
from collections.abc import Iterable

from foxtailshunt.fleet import Upstream
from foxtailshunt.relay._floor_credits import FloorCredits
from foxtailshunt.relay._outcome import Call
from foxtailshunt.relay._pace import LatencyEstimator
from foxtailshunt.relay._slot_forecast import SlotForecast
from foxtailshunt.relay._ticket import QueueEntry, QueueEntryState, Refusal
from foxtailshunt.relay._upstream_slots import UpstreamSlots
from foxtailshunt.relay._waiting_line import FloorScheduler
from foxtailshunt.routing import RankFloor

#: Part of the estimated time that is added for its spread when a request is judged to fit.
SPREAD = 0.25
#: Part of the expected wait that must suffice for a waiting request to be kept: estimates of long
#: queues are off by about as much.
LUCKY_WAIT = 0.75
#: Bounds of a Retry-After, in seconds: callers wait for up to a third of the time they have left.
MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S = 0.1, 1.5
#: First and longest pause of an upstream that failed, in seconds.
FIRST_PAUSE_S, LONGEST_PAUSE_S = 0.25, 4.0
#: An upstream that has had no request for so long is tried again, in seconds at common speed.
TRY_AGAIN_S = 1.5
#: Part of its expected time that counts then, so that it is preferred once.
TRY_AGAIN_FAVOUR = 0.3


class SlotPool:
    """The slots of the upstreams that serve the same requests, and the requests that wait.

    :param paces: estimates of how long requests take.
    :param zone: upstreams of this availability zone are preferred among equals.
    """

    def __init__(self, paces: LatencyEstimator, zone: str) -> None:
        self._latencies = paces
        self._zone = zone
        self._slots: dict[str, UpstreamSlots] = {}
        self._waiting: list[QueueEntry] = []
        self._credits = FloorCredits(())

    def set_floors(self, floors: tuple[RankFloor, ...]) -> None:
        """Take the floors of the lower ranks.

        :param floors: the floors; without any, only the order of requests counts.
        """
        self._credits.set_floors(floors)

    @property
    def waiting(self) -> int:
        """Return how many requests wait."""
        return len(self._waiting)

    @property
    def running(self) -> int:
        """Return how many requests are at upstreams."""
        return sum(len(slots.running) for slots in self._slots.values())

    def set_upstreams(self, upstreams: Iterable[Upstream]) -> None:
        """Take the upstreams that may get new requests.

        :param upstreams: the upstreams; leaving ones are left out.
        """
        wanted = {item.upstream_id: item for item in upstreams if not item.leaving}
        for upstream_id, slots in list(self._slots.items()):
            if upstream_id not in wanted and not slots.running:
                del self._slots[upstream_id]
            elif upstream_id not in wanted:
                # What runs there still frees its slot, but nothing new is assigned.
                slots.paused_until = float("inf")
        for upstream_id, upstream in wanted.items():
            slots = self._slots.get(upstream_id)
            if slots is None or slots.paused_until == float("inf"):
                self._slots[upstream_id] = UpstreamSlots(upstream)
            else:
                slots.upstream = upstream

    def enqueue(self, ticket: QueueEntry, now: float) -> Refusal | None:
        """Queue a request unless it cannot be answered in time.

        :param ticket: the request.
        :param now: the time in seconds.
        :returns: None if it was queued.
        """
        estimate_s = self._estimate(ticket.call, now)
        if estimate_s is None:
            return Refusal(None, self._retry_after(FIRST_PAUSE_S))
        remaining_s = ticket.call.deadline - now
        if estimate_s > remaining_s:
            return Refusal(estimate_s, self._retry_after(estimate_s - remaining_s))
        self._waiting.append(ticket)
        return None

    def assign(self, now: float) -> list[QueueEntry]:
        """Give free slots to waiting requests and expire those that cannot end in time.

        Requests that were taken are judged anew by their place in the queue, since more urgent ones
        may have come, or their upstream may have turned slow.

        :param now: the time in seconds.
        :returns: the tickets whose state has changed.
        """
        if not self._waiting:
            return []
        self._waiting = self._in_line(self._waiting, now)
        forecast = self._forecast(now)
        still_waiting: list[QueueEntry] = []
        for ticket in self._waiting:
            slots = self._best_slots(ticket.call, forecast, now)
            if slots is None:
                self._expire(ticket, None, now)
                continue
            upstream_id = slots.upstream.upstream_id
            wait_s = forecast.free_at(upstream_id) - now
            mean_latency_s = self._work_s(ticket.call, slots) * slots.overrun_ratio(now)
            if now + LUCKY_WAIT * wait_s + mean_latency_s > ticket.call.deadline:
                self._expire(ticket, wait_s + mean_latency_s, now)
                continue
            forecast.occupy(upstream_id, mean_latency_s)
            if slots.has_free_slot(now) and wait_s <= 0:
                ticket.state = QueueEntryState.ASSIGNED
                ticket.upstream = slots.upstream
                slots.running[ticket] = (now, now + mean_latency_s)
                slots.last_assigned_at = now
                ticket.charged_s = mean_latency_s
                self._charge(ticket, mean_latency_s)
            else:
                still_waiting.append(ticket)
        changed = [
            ticket for ticket in self._waiting if ticket.state is not QueueEntryState.WAITING
        ]
        self._waiting = still_waiting
        return changed

    def _expire(self, ticket: QueueEntry, estimate_s: float | None, now: float) -> None:
        lacking_s = FIRST_PAUSE_S
        if estimate_s is not None:
            lacking_s = estimate_s - (ticket.call.deadline - now)
        ticket.state = QueueEntryState.EXPIRED
        ticket.refusal = Refusal(estimate_s, self._retry_after(lacking_s))

    def cancel(self, ticket: QueueEntry) -> None:
        """Take back a request that waits.

        :param ticket: the request.
        """
        if ticket in self._waiting:
            self._waiting.remove(ticket)
        ticket.state = QueueEntryState.DONE

    def finish(self, ticket: QueueEntry, failed: bool, now: float) -> None:
        """Free the slot of a request.

        :param ticket: the request.
        :param failed: whether the upstream failed or refused it.
        :param now: the time in seconds.
        """
        ticket.state = QueueEntryState.DONE
        if ticket.upstream is None:
            return
        slots = self._slots.get(ticket.upstream.upstream_id)
        if slots is None:
            return
        times = slots.running.pop(ticket, None)
        if times is not None:
            self._charge(ticket, now - times[0] - ticket.charged_s)
        if failed:
            slots.failures += 1
            self._pause(slots, now)
        else:
            slots.failures = 0

    def next_pause_end(self, now: float) -> float | None:
        """Return when a pause ends that requests wait for; None if none does.

        :param now: the time in seconds.
        """
        if not self._waiting:
            return None
        ends = [s.paused_until for s in self._slots.values() if now < s.paused_until < now + 60]
        return min(ends, default=None)

    def _pause(self, slots: UpstreamSlots, now: float) -> None:
        # The only upstream of a key is not paused: its requests have nowhere else to go.
        if len(self._slots) > 1:
            pause_s = min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2 ** (slots.failures - 1))
            slots.paused_until = max(slots.paused_until, now + pause_s)

    def _charge(self, ticket: QueueEntry, cost_s: float) -> None:
        if not self._credits:
            return
        ranks = {other.call.rank for other in self._waiting if other is not ticket}
        self._credits.charge(ticket.call.rank, cost_s, ticket.promoted_by_floor, ranks)

    def _in_line(self, tickets: list[QueueEntry], now: float) -> list[QueueEntry]:
        """Return requests in the order in which they are served."""
        ordered = sorted(tickets, key=lambda ticket: self._order(ticket, now))
        if not self._credits:
            return ordered
        line = FloorScheduler(
            self._credits, lambda ticket: self._latencies.mean_latency_s(ticket.call.route)
        )
        return line.schedule(ordered)

    def _order(self, ticket: QueueEntry, now: float) -> tuple[int, float, float]:
        """Requests that can still meet their aim go first, the least slack first; then by rank."""
        call = ticket.call
        latest_start = call.latency_objective_at - self._latencies.mean_latency_s(call.route)
        if latest_start >= now:
            return (0, latest_start, ticket.queued_at)
        return (1 + call.rank, call.deadline, ticket.queued_at)

    def _forecast(self, now: float) -> SlotForecast:
        return SlotForecast({name: slots.free_times(now) for name, slots in self._slots.items()})

    def _best_slots(self, call: Call, forecast: SlotForecast, now: float) -> UpstreamSlots | None:
        """Return the slots at which a request is expected to end first."""
        best: UpstreamSlots | None = None
        best_end = float("inf")
        for upstream_id, slots in self._slots.items():
            if upstream_id in call.excluded and len(self._slots) > len(call.excluded):
                continue
            free_at = forecast.free_at(upstream_id)
            if free_at == float("inf"):
                continue
            end = free_at + self._expected_s(call, slots, now)
            if slots.upstream.zone != self._zone:
                end += 0.002
            if end < best_end:
                best, best_end = slots, end
        return best

    def _expected_s(self, call: Call, slots: UpstreamSlots, now: float) -> float:
        expected_latency_s = self._latencies.expected_latency_s(
            call.route, slots.upstream.upstream_id
        )
        latency_ratio = self._latencies.latency_ratio(slots.upstream.upstream_id)
        if len(self._slots) > 1 and now - slots.last_assigned_at > TRY_AGAIN_S * max(
            1.0, latency_ratio
        ):
            # An upstream that is never tried would be unknown, or held slow, for ever.
            return (
                min(expected_latency_s, self._latencies.mean_latency_s(call.route))
                * TRY_AGAIN_FAVOUR
            )
        return expected_latency_s

    def _work_s(self, call: Call, slots: UpstreamSlots) -> float:
        return self._latencies.expected_latency_s(call.route, slots.upstream.upstream_id)

    def _estimate(self, call: Call, now: float) -> float | None:
        """Return the time until a request that comes now is answered, in seconds."""
        forecast = self._forecast(now)
        slots = self._best_slots(call, forecast, now)
        if slots is None:
            return None
        probe = QueueEntry(call, lambda: None, now)
        line = self._in_line([*self._waiting, probe], now)
        ahead = line[: line.index(probe)]
        ahead_s = sum(self._latencies.mean_latency_s(other.call.route) for other in ahead)
        speed = sum(
            item.upstream.slots / self._latencies.latency_ratio(name)
            for name, item in self._slots.items()
            if forecast.free_at(name) != float("inf")
        )
        wait_s = forecast.free_at(slots.upstream.upstream_id) - now
        wait_s += ahead_s / speed if speed else 0.0
        mean_latency_s = self._work_s(call, slots) * slots.overrun_ratio(now)
        return wait_s + mean_latency_s * (1 + SPREAD)

    def _retry_after(self, wait_s: float) -> float:
        # The spread keeps callers that were refused together from coming back together.
        spread = random.uniform(0.8, 1.4)
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s * spread))
