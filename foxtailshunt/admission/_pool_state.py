"""The slots of a pool and the choice among its upstreams, which all queue policies share."""

from collections.abc import Collection, Iterable

from foxtailshunt.admission._call import Call
from foxtailshunt.admission._floor_credits import FloorCredits
from foxtailshunt.admission._queue_entry import QueueEntry, QueueEntryState
from foxtailshunt.admission._slot_forecast import SlotForecast
from foxtailshunt.admission._upstream_slots import UpstreamSlots
from foxtailshunt.fleet import Upstream
from foxtailshunt.upstreams import (
    LatencyEstimator,
    OutlierDetector,
    RequestResult,
    StartLimiter,
    UpstreamPauses,
)

#: Advantage that a warm upstream, or one of the own zone, has over another one, in seconds. It
#: decides among upstreams that are about equally fast.
PREFERENCE_S = 0.002
#: Assumed wait of a request for which no upstream is available, in seconds.
NO_UPSTREAM_WAIT_S = 0.25
#: Idle time after which an upstream is probed with a request, in seconds; multiplied by the latency
#: ratio of slow upstreams.
PROBE_INTERVAL_S = 1.5
#: Share of the expected latency that is assumed for a probe, so that the upstream is chosen once.
PROBE_LATENCY_SHARE = 0.3


class PoolState:
    """The slots of a pool.

    :param latencies: latency estimates by route and upstream.
    :param zone: the preferred availability zone among otherwise equal upstreams.
    :param pauses: the pauses that upstreams have asked for.
    :param limiter: limits the starts at cold upstreams; None for no limit.
    """

    def __init__(
        self,
        latencies: LatencyEstimator,
        zone: str,
        pauses: UpstreamPauses,
        limiter: StartLimiter | None,
    ) -> None:
        self.latencies = latencies
        self.pauses = pauses
        self.slots: dict[str, UpstreamSlots] = {}
        self.credits = FloorCredits(())
        #: Ejections of upstreams that fail far more requests than the others.
        self.outliers = OutlierDetector()
        self._zone = zone
        self._limiter = limiter

    @property
    def running(self) -> int:
        """Return the number of requests in flight."""
        return sum(len(slots.running) for slots in self.slots.values())

    def set_upstreams(self, upstreams: Iterable[Upstream]) -> None:
        """Set the upstreams that may get new requests.

        :param upstreams: the upstreams; those that are leaving are ignored.
        """
        available = {item.upstream_id: item for item in upstreams if not item.leaving}
        self.outliers.set_upstreams(available.values())
        for upstream_id, slots in list(self.slots.items()):
            if upstream_id not in available and not slots.running:
                del self.slots[upstream_id]
            elif upstream_id not in available:
                # Keeps the slots until the in-flight requests end, but assigns no new ones.
                slots.has_left = True
        for upstream_id, upstream in available.items():
            slots = self.slots.get(upstream_id)
            if slots is None or slots.has_left:
                self.slots[upstream_id] = UpstreamSlots(
                    upstream, self.pauses, self.outliers, self._limiter
                )
            else:
                slots.upstream = upstream

    def has_free_slot(self, now: float) -> bool:
        """Return whether a request may be assigned.

        :param now: the time in seconds.
        """
        return any(slots.has_free_slot(now) for slots in self.slots.values())

    def start(
        self,
        entry: QueueEntry,
        slots: UpstreamSlots,
        latency_s: float,
        now: float,
        waiting: Collection[QueueEntry],
    ) -> bool:
        """Assign a slot to a request.

        :param entry: the request.
        :param slots: the slots of its upstream.
        :param latency_s: the expected latency in seconds.
        :param now: the time in seconds.
        :param waiting: the queued requests; may still contain this one.
        :returns: False if another pool has just started a request at the same cold upstream.
        """
        if not slots.try_assign(entry, latency_s, now):
            return False
        entry.state = QueueEntryState.ASSIGNED
        entry.upstream = slots.upstream
        entry.charged_s = latency_s
        self._charge(entry, latency_s, waiting)
        return True

    def finish(
        self,
        entry: QueueEntry,
        result: RequestResult,
        now: float,
        waiting: Collection[QueueEntry],
    ) -> None:
        """Release the slot of a request and record what its result states about its upstream.

        :param entry: the request.
        :param result: its result.
        :param now: the time in seconds.
        :param waiting: the queued requests.
        """
        if entry.upstream is None:
            return
        slots = self.slots.get(entry.upstream.upstream_id)
        if slots is None:
            return
        times = slots.running.pop(entry, None)
        if times is not None:
            self._charge(entry, now - times[0] - entry.charged_s, waiting)
            self.outliers.record(entry.upstream.upstream_id, result, times[0], now)

    def next_start(self, now: float) -> float | None:
        """Return when the next ejection, pause or start limit of an upstream ends, in seconds.

        :param now: the time in seconds.
        :returns: None if none ends within a minute.
        """
        ends = (slots.earliest_start(0, now) for slots in self.slots.values())
        return min((end for end in ends if now < end < now + 60), default=None)

    def pause_s(self, now: float) -> float:
        """Return the time until the first upstream accepts requests, in seconds.

        :param now: the time in seconds.
        :returns: 0 unless all upstreams have asked for a pause.
        """
        available = (slots for slots in self.slots.values() if not slots.has_left)
        return min((slots.pause_s(now) for slots in available), default=0.0)

    def forecast(self, now: float) -> SlotForecast:
        """Return when the slots of each upstream become free.

        :param now: the time in seconds.
        """
        free_times = {name: slots.free_times(now) for name, slots in self.slots.items()}
        limits = {
            name: limit
            for name, slots in self.slots.items()
            if (limit := slots.start_limit(now)) is not None
        }
        return SlotForecast(free_times, limits)

    def best_slots(
        self,
        call: Call,
        forecast: SlotForecast,
        now: float,
        free_by: float = float("inf"),
    ) -> UpstreamSlots | None:
        """Return the slots of the upstream that is expected to complete a request first.

        :param call: the request.
        :param forecast: when slots become free.
        :param now: the time in seconds.
        :param free_by: considers only upstreams that have a free slot by then, in seconds.
        """
        best: UpstreamSlots | None = None
        earliest_end = float("inf")
        for upstream_id, slots in self.slots.items():
            if upstream_id in call.excluded and len(self.slots) > len(call.excluded):
                continue
            if not call.may_use(slots.upstream.zone):
                continue
            free_at = forecast.free_at(upstream_id)
            if free_at == float("inf") or free_at > free_by:
                continue
            # An upstream that fails some requests is expected to need more than one attempt.
            success = self.outliers.relative_success(upstream_id)
            end = free_at + self._selection_latency_s(call, slots, now) / success
            # Among upstreams that are about equally fast, warm ones of the own zone come first.
            if slots.upstream.zone != self._zone:
                end += PREFERENCE_S
            if forecast.is_cold(upstream_id):
                end += PREFERENCE_S
            if end < earliest_end:
                best, earliest_end = slots, end
        return best

    def expected_latency_s(self, call: Call, slots: UpstreamSlots) -> float:
        """Return the expected latency of a request at an upstream, in seconds.

        :param call: the request.
        :param slots: the slots of the upstream.
        """
        return self.latencies.expected_latency_s(call.route, slots.upstream.upstream_id)

    def _selection_latency_s(self, call: Call, slots: UpstreamSlots, now: float) -> float:
        expected_latency_s = self.latencies.expected_latency_s(
            call.route, slots.upstream.upstream_id
        )
        latency_ratio = self.latencies.latency_ratio(slots.upstream.upstream_id)
        if len(self.slots) > 1 and now - slots.last_assigned_at > PROBE_INTERVAL_S * max(
            1.0, latency_ratio
        ):
            # Without probes, the latency ratio of an unused upstream would never be updated.
            return (
                min(expected_latency_s, self.latencies.mean_latency_s(call.route))
                * PROBE_LATENCY_SHARE
            )
        return expected_latency_s

    def _charge(self, entry: QueueEntry, cost_s: float, waiting: Collection[QueueEntry]) -> None:
        if not self.credits:
            return
        ranks = {other.call.rank for other in waiting if other is not entry}
        self.credits.charge(entry.call.rank, cost_s, entry.promoted_by_floor, ranks)
