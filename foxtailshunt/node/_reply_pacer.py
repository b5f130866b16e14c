"""Spaces the replies to each follower."""

import threading
from collections.abc import Callable

#: Minimum time between two replies to the same follower, in seconds for each node of the fleet: at
#: most about 1,000 replies per second in total, however fast the view changes.
REPLY_INTERVAL_PER_NODE_S = 0.001
#: Number of followers for which the time of the last reply is kept.
MAX_FOLLOWERS = 4096


class ReplyPacer:
    """Delays replies that follow each other closely, so that one reply carries their changes.

    Without it, the leader's work for its followers grows with the product of nodes and changes.

    :param now: returns seconds of a clock that also advances during suspension.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._lock = threading.Lock()
        #: When each follower gets its last reply, in seconds of the clock, by instance.
        self._replied_at: dict[str, float] = {}

    def delay_s(self, instance_id: str, node_count: int) -> float:
        """Return how long to wait before the next reply to a follower, in seconds.

        :param instance_id: instance of the follower.
        :param node_count: number of nodes in the fleet.
        """
        now = self._now()
        with self._lock:
            if len(self._replied_at) >= MAX_FOLLOWERS:
                self._replied_at.clear()
            last = self._replied_at.get(instance_id, float("-inf"))
            reply_at = max(now, last + REPLY_INTERVAL_PER_NODE_S * node_count)
            self._replied_at[instance_id] = reply_at
        return reply_at - now
