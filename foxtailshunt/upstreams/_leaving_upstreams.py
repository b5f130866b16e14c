"""Remembers the upstreams whose responses state that they are leaving."""

import threading
import time
from collections.abc import Callable

from foxtailshunt.fleet import Upstream
from foxtailshunt.telemetry import log_state_change

#: Time after the first such response for which the owner of a key still gets requests, in seconds.
#: A move takes about 0.3 s; all requests have to go elsewhere 2 s after the response.
OWNER_GRACE_S = 1.0
#: Maximum number of remembered upstreams; the one that was recorded first is forgotten first.
MAX_REMEMBERED = 4096


class LeavingUpstreams:
    """The runs of upstreams that have stated that they are leaving; safe to use from any thread.

    The next run of an upstream, which has another start time or address, is not affected.

    :param now: returns the time in seconds.
    """

    def __init__(self, now: Callable[[], float] = time.monotonic) -> None:
        self._now = now
        self._lock = threading.Lock()
        #: When each run first stated that it is leaving, in seconds of the clock.
        self._stated_at: dict[object, float] = {}

    def __len__(self) -> int:
        """Return the number of remembered upstreams."""
        return len(self._stated_at)

    def record(self, upstream: Upstream) -> None:
        """Record that a response of an upstream stated that it is leaving.

        :param upstream: the upstream that the request was sent to.
        """
        with self._lock:
            if upstream.incarnation in self._stated_at:
                return
            if len(self._stated_at) >= MAX_REMEMBERED:
                del self._stated_at[next(iter(self._stated_at))]
            self._stated_at[upstream.incarnation] = self._now()
        log_state_change("upstream.states_leaving", upstream=upstream.upstream_id)

    def is_leaving(self, upstream: Upstream) -> bool:
        """Return whether an upstream has stated that it is leaving.

        :param upstream: the upstream.
        """
        return bool(self._stated_at) and upstream.incarnation in self._stated_at

    def has_lost_keys(self, upstream: Upstream) -> bool:
        """Return whether the keys of an upstream that is leaving should have moved by now.

        :param upstream: the upstream.
        """
        if not self._stated_at:
            return False
        stated_at = self._stated_at.get(upstream.incarnation)
        return stated_at is not None and self._now() >= stated_at + OWNER_GRACE_S
