"""Histogram values that are cheap enough to update for each request."""

from bisect import bisect_left
from dataclasses import dataclass, field


@dataclass(slots=True)
class Distribution:
    """Number of durations per bucket, and their sum."""

    #: Upper bounds of the buckets, in seconds.
    bounds_s: tuple[float, ...]
    #: Number of durations in each bucket; the last bucket is for durations above all bounds.
    counts: list[int] = field(init=False)
    #: Sum of all durations, in seconds.
    sum_s: float = 0.0

    def __post_init__(self) -> None:
        self.counts = [0] * (len(self.bounds_s) + 1)

    def add(self, value_s: float) -> None:
        """Record a duration.

        :param value_s: duration in seconds.
        """
        self.counts[bisect_left(self.bounds_s, value_s)] += 1
        self.sum_s += value_s
