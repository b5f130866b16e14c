"""Forecast of the starts of queued requests, over all slots of a pool."""

import heapq
from collections.abc import Collection

from foxtailshunt.admission._upstream_slots import UpstreamSlots
from foxtailshunt.upstreams import LatencyEstimator, StartLimit


class StartForecast:
    """The expected starts of requests that are placed one after the other.

    Each request takes the slot that becomes free first. Order, admission, expiry and
    ``Retry-After`` use this one forecast, so that they do not contradict each other.

    :param slots: the upstreams of the pool.
    :param latencies: the speeds of the upstreams.
    :param mean_work_s: mean work of a request, in seconds.
    :param now: the time in seconds.
    """

    def __init__(
        self,
        slots: Collection[UpstreamSlots],
        latencies: LatencyEstimator,
        mean_work_s: float,
        now: float,
    ) -> None:
        self._now = now
        self._slots = [item for item in slots if item.earliest_start(0, now) != float("inf")]
        # An overrun of the requests in flight delays their ends, but not the work of those behind
        # them: it usually lasts some tenths of a second, and a lasting one raises the ratio.
        self._slowness = [
            latencies.latency_ratio(item.upstream.upstream_id) for item in self._slots
        ]
        #: When requests may start at each upstream, for those that are cold.
        self._limits = [item.start_limit(now) for item in self._slots]
        #: Number of requests placed, by upstream.
        self._placed = [0] * len(self._slots)
        self._free = [
            (free_at, index)
            for index, item in enumerate(self._slots)
            for free_at in item.free_times(now)
        ]
        heapq.heapify(self._free)
        #: Work that the pool does per second, in seconds at an upstream of mean speed.
        self.capacity = sum(
            _capacity(item.usable_slots / ratio, limit, mean_work_s)
            for item, ratio, limit in zip(self._slots, self._slowness, self._limits, strict=True)
        )

    @property
    def slowness(self) -> float:
        """Return the mean time that work takes at the slots, relative to the mean of upstreams."""
        return len(self._free) / self.capacity if self.capacity else 1.0

    def copy(self) -> "StartForecast":
        """Return an independent copy."""
        other = object.__new__(StartForecast)
        other.__dict__.update(self.__dict__)
        other._free = self._free.copy()
        other._placed = self._placed.copy()
        return other

    def next_start(self) -> float:
        """Return the expected start of the next request, in seconds; infinite without slots."""
        free = self._free
        if not free:
            return float("inf")
        while True:
            free_at, index = free[0]
            limit = self._limits[index]
            if limit is None:
                return free_at
            earliest = limit.start_at(self._placed[index])
            if earliest <= free_at:
                return free_at
            heapq.heapreplace(free, (earliest, index))

    def next_duration_s(self, work_s: float) -> float:
        """Return how long the next request is expected to take, in seconds.

        :param work_s: its work at an upstream of mean speed, in seconds.
        """
        return work_s * self._slowness[self._free[0][1]] if self._free else float("inf")

    def place(self, work_s: float) -> None:
        """Place a request at the slot of :meth:`next_start`.

        :param work_s: its work at an upstream of mean speed, in seconds.
        """
        if not self._free:
            return
        free_at, index = self._free[0]
        self._placed[index] += 1
        heapq.heapreplace(self._free, (free_at + work_s * self._slowness[index], index))


def _capacity(slots: float, limit: StartLimit | None, mean_work_s: float) -> float:
    """Return the work that an upstream does per second, in seconds.

    :param slots: its slots, at an upstream of mean speed.
    :param limit: when requests may start while it is cold; None if it is warm.
    :param mean_work_s: mean work of a request, in seconds.
    """
    if limit is None:
        return slots
    return min(slots, mean_work_s / limit.interval_s) if limit.is_sender else 0.0
