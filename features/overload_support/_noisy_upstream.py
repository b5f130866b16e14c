"""An upstream with a constant base speed and times in which it is slower."""

import bisect
import random

#: While there is noise, an upstream is slower by this factor, for this time, in seconds, during
#: this share of the time.
NOISE_SLOWDOWN, NOISE_S, NOISE_SHARE = 3.0, 0.4, 0.2
_HORIZON_S = 60.0


class NoisyUpstream:
    """An upstream in the simulation.

    :param factor: time that it takes, relative to the mean.
    :param rng: source of random numbers.
    """

    def __init__(self, factor: float, rng: random.Random) -> None:
        self.factor = factor
        #: Times at which noise begins and ends, in turn.
        self._changes: list[float] = []
        at = 0.0
        while at < _HORIZON_S:
            at += rng.expovariate(NOISE_SHARE / (NOISE_S * (1 - NOISE_SHARE)))
            self._changes += [at, at + NOISE_S]
            at += NOISE_S

    @property
    def mean_rate(self) -> float:
        """Return the mean work per second of a slot, in seconds."""
        return (1 - NOISE_SHARE + NOISE_SHARE / NOISE_SLOWDOWN) / self.factor

    def end_of(self, start: float, work_s: float) -> float:
        """Return when a request ends."""
        left_s, at = work_s * self.factor, start
        index = bisect.bisect_right(self._changes, at)
        while True:
            slowdown = NOISE_SLOWDOWN if index % 2 else 1.0
            until = self._changes[index] if index < len(self._changes) else float("inf")
            if at + left_s * slowdown <= until:
                return at + left_s * slowdown
            left_s -= (until - at) / slowdown
            at, index = until, index + 1
