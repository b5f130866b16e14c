"""Spreads the fleet's retries of failed calls to the store over time.

While the store is unavailable, every node retries its calls. With a constant delay, their number
grows with the fleet and may exceed the store's limits when it is available again.
"""

import random

from foxtailshunt.fleet._view import FleetView

#: Mean delay for each node of the fleet, in seconds: each kind of call is retried about 100 times
#: a second by all nodes together.
DELAY_PER_NODE_S = 0.01
#: Longest mean delay, in seconds; a node has to notice a leader or configuration soon after the
#: store is available again.
MAX_MEAN_DELAY_S = 1.5
#: Lowest and highest random factor of the delay, since all nodes lose the store at the same time.
MIN_JITTER, MAX_JITTER = 0.5, 1.5


class RetrySpread:
    """Delays before retries of calls to the store, by the size of the fleet.

    :param view: the node's view of the fleet.
    :param rng: source of random numbers; used by several threads.
    """

    def __init__(self, view: FleetView, rng: random.Random) -> None:
        self._view = view
        self._rng = rng

    def delay_s(self, least_s: float) -> float:
        """Return the delay before a retry, in seconds.

        :param least_s: delay in a small fleet, in seconds.
        """
        mean_s = min(MAX_MEAN_DELAY_S, len(self._view.members) * DELAY_PER_NODE_S)
        return max(least_s, mean_s * self._rng.uniform(MIN_JITTER, MAX_JITTER))
