"""Remembers the upstreams to which connections have failed."""

import time

#: First and longest time for which requests for a key are refused without a connection attempt
#: after a connection to its owner failed, in seconds.
FIRST_UNREACHABLE_S, MAX_UNREACHABLE_S = 0.2, 0.8


class UnreachableUpstreams:
    """Backoffs of upstreams after failed connection attempts; safe to use from any thread."""

    def __init__(self) -> None:
        #: End on the monotonic clock and length of each backoff, in seconds, by upstream.
        self._backoffs: dict[str, tuple[float, float]] = {}

    def is_backed_off(self, upstream_id: str) -> bool:
        """Return whether no connection to an upstream is to be attempted now.

        :param upstream_id: the upstream.
        """
        backoff = self._backoffs.get(upstream_id)
        return backoff is not None and time.monotonic() < backoff[0]

    def record_connection(self, upstream_id: str, connected: bool) -> None:
        """Record the result of a connection attempt; repeated failures double the backoff.

        :param upstream_id: the upstream.
        :param connected: whether the upstream could be reached.
        """
        if connected:
            self._backoffs.pop(upstream_id, None)
            return
        doubled_s = self._backoffs.get(upstream_id, (0.0, FIRST_UNREACHABLE_S / 2))[1] * 2
        backoff_s = min(MAX_UNREACHABLE_S, doubled_s)
        self._backoffs[upstream_id] = (time.monotonic() + backoff_s, backoff_s)
