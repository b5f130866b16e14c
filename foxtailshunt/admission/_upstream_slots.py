"""The slots of one upstream."""

from dataclasses import dataclass, field

from foxtailshunt.admission._queue_entry import QueueEntry
from foxtailshunt.fleet import Upstream
from foxtailshunt.upstreams import OutlierDetector, StartLimit, StartLimiter, UpstreamPauses

#: Assumed remaining time of an overdue request: the larger of this time, in seconds, and this share
#: of the time since its start.
OVERDUE_S, OVERDUE_SHARE = 0.05, 0.3


@dataclass(slots=True)
class UpstreamSlots:
    """The slots of one upstream and the requests in flight."""

    #: The upstream.
    upstream: Upstream
    #: The pauses that upstreams have asked for.
    pauses: UpstreamPauses
    #: The ejections of upstreams that fail far more requests than their peers.
    outliers: OutlierDetector
    #: Limits the starts while the upstream is cold; None for no limit.
    limiter: StartLimiter | None = None
    #: Start and expected end of each request in flight, in seconds of the monotonic clock.
    running: dict[QueueEntry, tuple[float, float]] = field(default_factory=dict)
    #: True once the upstream has left the pool; its requests in flight end.
    has_left: bool = False
    #: Time of the last assignment, in seconds of the monotonic clock.
    last_assigned_at: float = 0.0

    @property
    def blocked_until(self) -> float:
        """Return until when no request is assigned, in seconds: ejection or requested pause.

        Infinite for an upstream that has left the pool.
        """
        if self.has_left:
            return float("inf")
        ejected_until = self.outliers.blocked_until(self.upstream.upstream_id)
        return max(ejected_until, self.pauses.end(self.upstream))

    @property
    def usable_slots(self) -> int:
        """Return how many requests may be in flight: fewer than the slots after an ejection."""
        return self.outliers.max_running(self.upstream)

    def pause_s(self, now: float) -> float:
        """Return the rest of the pause that the upstream has asked for, in seconds.

        :param now: the time in seconds.
        """
        return max(0.0, self.pauses.end(self.upstream) - now)

    def start_limit(self, now: float) -> StartLimit | None:
        """Return when requests may start at the upstream; None if it is not cold.

        :param now: the time in seconds.
        """
        return None if self.limiter is None else self.limiter.limit(self.upstream, now)

    def next_start(self, now: float) -> float:
        """Return until when no request is assigned, in seconds: backoff, pause or cold start.

        :param now: the time in seconds.
        """
        limit = self.start_limit(now)
        return self.blocked_until if limit is None else max(self.blocked_until, limit.first_at)

    def earliest_start(self, n: int, now: float) -> float:
        """Return when the n-th next request may start if a slot is free, in seconds.

        :param n: number of requests that start before it; 0 for the next request.
        :param now: the time in seconds.
        """
        limit = self.start_limit(now)
        return self.blocked_until if limit is None else max(self.blocked_until, limit.start_at(n))

    def has_free_slot(self, now: float) -> bool:
        """Return whether a request may be assigned.

        :param now: the time in seconds.
        """
        if len(self.running) >= self.usable_slots or now < self.blocked_until:
            return False
        limit = self.start_limit(now)
        return limit is None or now >= limit.first_at

    def try_assign(self, entry: QueueEntry, latency_s: float, now: float) -> bool:
        """Assign a free slot to a request.

        :param entry: the request.
        :param latency_s: its expected duration at the upstream, in seconds.
        :param now: the time in seconds.
        :returns: False if another pool has just started a request at the same cold upstream.
        """
        if self.limiter is not None and not self.limiter.try_start(self.upstream, now):
            return False
        self.running[entry] = (now, now + latency_s)
        self.last_assigned_at = now
        return True

    def free_times(self, now: float) -> list[float]:
        """Return when each slot is expected to become free, in seconds.

        :param now: the time in seconds.
        """
        earliest = max(now, self.blocked_until)
        times = [max(earliest, _expected_end(*span, now)) for span in self.running.values()]
        usable = self.usable_slots
        # More requests than slots can be in flight after the upstream's entry has changed.
        idle = max(0, usable - len(times))
        return sorted(times)[-usable:] + [earliest] * idle

    def overrun_ratio(self, now: float) -> float:
        """Return the smallest ratio of elapsed to expected time of the requests in flight.

        :param now: the time in seconds.
        :returns: at least 1; 1 while a slot is free.
        """
        if len(self.running) < self.usable_slots:
            return 1.0
        ratios = [(now - start) / max(0.001, end - start) for start, end in self.running.values()]
        return max(1.0, min(ratios, default=1.0))


def _expected_end(start: float, expected_end: float, now: float) -> float:
    """Return when a request is expected to end; extrapolates from its age once it is overdue."""
    if expected_end > now:
        return expected_end
    return now + max(OVERDUE_S, OVERDUE_SHARE * (now - start))
