"""Forecast of when the slots of upstreams become free."""


class SlotForecast:
    """The expected times at which slots become free.

    Queued requests are added in the order in which they are to be served.

    :param free_times: for each upstream, when each of its slots becomes free, in seconds of the
        monotonic clock.
    """

    def __init__(self, free_times: dict[str, list[float]]) -> None:
        self._free_times = free_times

    def free_at(self, upstream_id: str) -> float:
        """Return when the first slot of an upstream becomes free, in seconds.

        :param upstream_id: the upstream.
        """
        return min(self._free_times[upstream_id])

    def occupy(self, upstream_id: str, duration_s: float) -> None:
        """Reserve the slot that becomes free first.

        :param upstream_id: the upstream.
        :param duration_s: the expected duration of the request, in seconds.
        """
        times = self._free_times[upstream_id]
        times[times.index(min(times))] += duration_s
