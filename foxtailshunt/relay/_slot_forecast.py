"""When the slots of upstreams become free if everything takes as long as expected."""


class SlotForecast:
    """Free times of slots, filled up with the requests that wait, in their order.

    :param free_times: for each upstream, when each of its slots becomes free, in seconds of the
        monotonic clock.
    """

    def __init__(self, free_times: dict[str, list[float]]) -> None:
        self._free_times = free_times

    def free_at(self, upstream_id: str) -> float:
        """Return when the first slot of an upstream becomes free.

        :param upstream_id: the upstream.
        """
        return min(self._free_times[upstream_id])

    def occupy(self, upstream_id: str, work_s: float) -> None:
        """Fill the slot that becomes free first.

        :param upstream_id: the upstream.
        :param work_s: for how long, in seconds.
        """
        times = self._free_times[upstream_id]
        times[times.index(min(times))] += work_s
