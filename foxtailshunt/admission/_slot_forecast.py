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
        self._added = dict.fromkeys(self._start_limits, 0)

    def free_at(self, upstream_id: str) -> float:
        """Return when the first slot of an upstream becomes free, in seconds.

        :param upstream_id: the upstream.
        """
        free_at = min(self._free_times[upstream_id])
        limit = self._start_limits.get(upstream_id)
        if limit is None:
            return free_at
        return max(free_at, limit.start_at(self._added[upstream_id]))

    def start_limit(self, upstream_id: str) -> StartLimit | None:
        """Return when requests may start at an upstream; None if it is not cold.

        :param upstream_id: the upstream.
        """
        return self._start_limits.get(upstream_id)

    def occupy(self, upstream_id: str, duration_s: float) -> None:
        """Reserve the slot that becomes free first.

        :param upstream_id: the upstream.
        :param duration_s: the expected duration of the request, in seconds.
        """
        times = self._free_times[upstream_id]
        times[times.index(min(times))] = self.free_at(upstream_id) + duration_s
        if upstream_id in self._added:
            self._added[upstream_id] += 1
