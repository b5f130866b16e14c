"""Spaces the fleet's calls to the store over time.

While the store is unavailable, every node retries its calls. With constant delays, the number of
these calls, and of those that watch for changes, would grow with the fleet and might exceed the
store's limits.
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
#: Time that a call waits for a change beyond its least, in seconds for each node of the fleet. A
#: node whose call got no response learns of the change from other nodes, and on a large fleet at
#: least one of them gets its response.
WATCH_TIMEOUT_PER_NODE_S = 0.25
#: Longest wait of a call for a change, in seconds; the store allows 30.
MAX_WATCH_TIMEOUT_S = 28.0


class StoreCallSpacing:
    """Delays of retries and timeouts of watches, by the size of the fleet.

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

    def watch_timeout_s(self, least_s: float) -> float:
        """Return how long a call may wait for a change, in seconds.

        :param least_s: the timeout in a small fleet, in seconds.
        """
        longer_s = least_s + len(self._view.members) * WATCH_TIMEOUT_PER_NODE_S
        return min(MAX_WATCH_TIMEOUT_S, longer_s)
