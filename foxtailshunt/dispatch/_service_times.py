"""Measured service times of one upstream, by operation."""

from collections import deque

_WINDOW = 64
_REFRESH_EVERY = 16
_HIGH_QUANTILE = 0.99


class _OperationTimes:
    """The last service times of one operation."""

    __slots__ = ("_since_refresh", "count", "high_s", "mean_s", "samples")

    def __init__(self) -> None:
        self.samples: deque[float] = deque(maxlen=_WINDOW)
        self.count = 0
        self.mean_s = 0.0
        self.high_s = 0.0
        self._since_refresh = 0

    def record(self, duration_s: float) -> None:
        self.samples.append(duration_s)
        self.count += 1
        self._since_refresh += 1
        if self.count <= _REFRESH_EVERY or self._since_refresh >= _REFRESH_EVERY:
            self._refresh()

    def _refresh(self) -> None:
        self._since_refresh = 0
        ordered = sorted(self.samples)
        last = len(ordered) - 1
        self.mean_s = sum(ordered) / len(ordered)
        self.high_s = ordered[int(last * _HIGH_QUANTILE)]


class ServiceTimes:
    """Service times of recent requests; its owner's lock guards it."""

    def __init__(self) -> None:
        self._operations: dict[str, _OperationTimes] = {}

    def record(self, operation: str, duration_s: float) -> None:
        """Add one finished request.

        :param operation: its operation.
        :param duration_s: time from sending to the whole answer, in seconds.
        """
        times = self._operations.get(operation)
        if times is None:
            times = self._operations[operation] = _OperationTimes()
        times.record(duration_s)

    def mean_s(self, operation: str) -> float:
        """Return the mean, 0 before the first request.

        :param operation: the operation.
        """
        times = self._operations.get(operation)
        return times.mean_s if times else 0.0

    def high_s(self, operation: str) -> float | None:
        """Return the 99th percentile, None before enough requests.

        :param operation: the operation.
        """
        times = self._operations.get(operation)
        return times.high_s if times and times.count >= _REFRESH_EVERY else None
