"""Forecast of when the slots of upstreams become free."""

from collections.abc import Mapping

from foxtailshunt.upstreams import StartLimit


class SlotForecast:
    """The expected times at which slots become free.

    Queued requests are added in the order in which they are to be served.

    :param free_times: for each upstream, when each of its slots becomes free, in seconds of the
        monotonic clock.
    :param start_limits: when requests may start at each upstream that is cold.
    """

    def __init__(
        self,
        free_times: dict[str, list[float]],
        start_limits: Mapping[str, StartLimit] | None = None,
    ) -> None:
        self._free_times = free_times
        self._start_limits = start_limits or {}
        #: Number of requests that were added at each upstream that is cold.
        self._added = dict.fromkeys(self._start_limits, 0) if start_limits else {}

    def free_at(self, upstream_id: str) -> float:
        """Return when the first slot of an upstream becomes free, in seconds.

        :param upstream_id: the upstream.
        """
        free_at = min(self._free_times[upstream_id])
        if upstream_id not in self._start_limits:
            return free_at
        start_at = self._start_limits[upstream_id].start_at(self._added[upstream_id])
        return max(free_at, start_at)

    def is_cold(self, upstream_id: str) -> bool:
        """Return whether the starts at an upstream are limited.

        :param upstream_id: the upstream.
        """
        return upstream_id in self._start_limits

    def startable_slots(self, upstream_id: str, work_s: float) -> float:
        """Return how many slots the starts that an upstream may get keep busy.

        :param upstream_id: the upstream.
        :param work_s: mean duration of the requests, in seconds.
        :returns: infinite if it is not cold.
        """
        limit = self._start_limits.get(upstream_id)
        if limit is None:
            return float("inf")
        return work_s / limit.interval_s if limit.is_sender else 0.0

    def occupy(self, upstream_id: str, duration_s: float) -> None:
        """Reserve the slot that becomes free first.

        :param upstream_id: the upstream.
        :param duration_s: the expected duration of the request, in seconds.
        """
        times = self._free_times[upstream_id]
        first = times.index(min(times))
        if upstream_id in self._start_limits:
            times[first] = self.free_at(upstream_id)
            self._added[upstream_id] += 1
        times[first] += duration_s
