"""Estimates how long an upstream takes for its requests, relative to the average upstream."""

import math

#: Time constant of the base speed, in seconds: long enough that a slowdown by a factor of 3 that
#: comes and goes within 0.4 s, a fifth of the time, changes the estimate by about a tenth.
SLOW_TIME_S = 10.0
#: Weight of the assumed ratio of 1 in the base speed, in samples.
PRIOR_SAMPLES = 4.0
#: Bound of one sample as a multiple of the base ratio, since 1 to 3% of the requests take 5 to 7
#: times as long; a larger one applies until the base ratio is known.
MAX_DEVIATION, MAX_FIRST_DEVIATION = 3.0, 6.0
#: Weight of the base ratio from which it is considered known, in samples.
KNOWN_SAMPLES = 12.0
#: Weight of the newest sample in the current ratio.
CURRENT_WEIGHT = 0.35
#: Time constant in which the current ratio returns to 1 without samples, in seconds, since noise
#: lasts 0.4 s at a time.
CURRENT_TIME_S = 0.6
#: Bounds of an upstream's base ratio. Upstreams differ by a factor of 3, and faults slow them down
#: by a factor of up to 12.
MIN_RATIO, MAX_RATIO = 0.25, 20.0
#: Bounds of the current ratio.
MIN_CURRENT_RATIO, MAX_CURRENT_RATIO = 0.4, 3.0


class SpeedEstimate:
    """The latency ratio of one upstream: a slow component and a current one.

    The slow component, or base ratio, is constant without samples, so that an upstream that is
    rarely used is not forgotten; its weight decays, so that new samples count more after a pause.
    """

    def __init__(self) -> None:
        #: Latency relative to the average upstream, over some 10 s.
        self.slow_ratio = 1.0
        self._weight = PRIOR_SAMPLES
        self._current = 1.0
        self._sampled_at = float("-inf")

    @property
    def max_sample(self) -> float:
        """Return the bound of the next sample."""
        is_known = self._weight >= KNOWN_SAMPLES
        return self.slow_ratio * (MAX_DEVIATION if is_known else MAX_FIRST_DEVIATION)

    def add(self, ratio: float, now: float) -> None:
        """Add a sample.

        :param ratio: latency of a request relative to the mean of its route, within the bound.
        :param now: the time in seconds.
        """
        deviation = min(MAX_CURRENT_RATIO, max(MIN_CURRENT_RATIO, ratio / self.slow_ratio))
        current = self.current_ratio(now)
        self._current = current + CURRENT_WEIGHT * (deviation - current)
        elapsed_s = max(0.0, now - self._sampled_at)
        self._sampled_at = max(now, self._sampled_at)
        self._weight = max(PRIOR_SAMPLES, self._weight * math.exp(-elapsed_s / SLOW_TIME_S)) + 1.0
        slow_ratio = self.slow_ratio + (ratio - self.slow_ratio) / self._weight
        self.slow_ratio = min(MAX_RATIO, max(MIN_RATIO, slow_ratio))

    def current_ratio(self, now: float) -> float:
        """Return the latency at this moment relative to the base ratio.

        :param now: the time in seconds.
        """
        return 1.0 + (self._current - 1.0) * self.freshness(now)

    def freshness(self, now: float) -> float:
        """Return the weight of the measured latencies at this moment, from 0 to 1.

        :param now: the time in seconds.
        """
        return math.exp(min(0.0, self._sampled_at - now) / CURRENT_TIME_S)
