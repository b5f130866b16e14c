"""How many requests may be at an upstream at one time."""

from foxtailshunt.timing import Clock

#: Time without a shed request after which the limit rises by one, in seconds.
_RECOVERY_INTERVAL_S = 0.5


class InFlightLimit:
    """The limit of one upstream: its slots, fewer after a cold start or while it sheds load.

    After a cold start the limit rises from one to the slots over the slow start. Each shed request
    halves it; it recovers by one in each interval without another.

    :param clock: the clock.
    :param slots: requests that the upstream works on at one time.
    :param slow_start_s: time over which the limit rises after a cold start, in seconds.
    """

    def __init__(self, clock: Clock, slots: int, slow_start_s: float) -> None:
        self._clock = clock
        self._slots = slots
        self._slow_start_s = slow_start_s
        self._cold_start_at: float | None = None
        self._shed_limit = slots
        self._shed_at = 0.0

    def configure(self, slots: int, slow_start_s: float) -> None:
        """Take other limits into use.

        :param slots: requests that the upstream works on at one time.
        :param slow_start_s: time over which the limit rises after a cold start, in seconds.
        """
        if slots != self._slots:
            self._shed_limit = slots
        self._slots = slots
        self._slow_start_s = slow_start_s

    def note_cold_start(self) -> None:
        """Start again from one request at a time."""
        self._cold_start_at = self._clock.now()

    def note_shed(self) -> None:
        """Halve the limit because the upstream shed a request."""
        now = self._clock.now()
        self._shed_limit = max(1, self._recovered(now) // 2)
        self._shed_at = now

    def value(self, now: float) -> int:
        """Return the limit.

        :param now: the moment, in seconds of the clock.
        """
        if self._cold_start_at is None and self._shed_limit >= self._slots:
            return self._slots
        return max(1, min(self._warm(now), self._recovered(now)))

    def is_reduced(self, now: float) -> bool:
        """Return whether the limit is below the slots.

        :param now: the moment, in seconds of the clock.
        """
        return self.value(now) < self._slots

    def _warm(self, now: float) -> int:
        if self._cold_start_at is None:
            return self._slots
        elapsed = now - self._cold_start_at
        if elapsed >= self._slow_start_s:
            self._cold_start_at = None
            return self._slots
        return int(self._slots * elapsed / self._slow_start_s)

    def _recovered(self, now: float) -> int:
        intervals = int((now - self._shed_at) / _RECOVERY_INTERVAL_S)
        recovered = min(self._slots, self._shed_limit + intervals)
        if recovered >= self._slots:
            self._shed_limit = self._slots
        return recovered
