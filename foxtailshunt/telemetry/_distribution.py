"""Values of single metrics, cheap enough for the path of each request."""

from bisect import bisect_left
from dataclasses import dataclass, field


@dataclass(slots=True)
class Distribution:
    """Durations counted by bucket."""

    #: Upper bounds of the buckets, in seconds.
    bounds_s: tuple[float, ...]
    #: Number of durations in each bucket; the last is for those over all bounds.
    counts: list[int] = field(init=False)
    #: Sum of all durations, in seconds.
    sum_s: float = 0.0

    def __post_init__(self) -> None:
        self.counts = [0] * (len(self.bounds_s) + 1)

    def add(self, value_s: float) -> None:
        """Add a duration.

        :param value_s: the duration in seconds.
        """
        self.counts[bisect_left(self.bounds_s, value_s)] += 1
        self.sum_s += value_s
