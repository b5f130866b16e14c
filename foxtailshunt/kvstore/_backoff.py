"""Exponential backoff with full jitter."""

import random


class Backoff:
    """Delays between retries.

    Each delay is drawn evenly between 0 and a bound that doubles up to a limit.

    :param first_s: the first bound, in seconds.
    :param limit_s: the highest bound, in seconds.
    :param random: where delays are drawn from.
    """

    def __init__(self, first_s: float, limit_s: float, random: random.Random) -> None:
        self._first_s = first_s
        self._limit_s = limit_s
        self._random = random
        self._bound_s = first_s

    def next_delay_s(self) -> float:
        """Return the next delay in seconds and raise the bound."""
        delay_s = self._random.uniform(0, self._bound_s)
        self._bound_s = min(self._bound_s * 2, self._limit_s)
        return delay_s

    def reset(self) -> None:
        """Start again at the first bound, after a success."""
        self._bound_s = self._first_s
