"""Remembers the upstreams that have asked for a pause."""

import threading

from foxtailshunt.fleet import Upstream
from foxtailshunt.telemetry import log_state_change

#: Longest pause that is honoured, in seconds, so that a faulty upstream is not lost for long.
MAX_PAUSE_S = 120.0
#: Maximum number of remembered upstreams; the one that was recorded first is forgotten first.
MAX_REMEMBERED = 4096


class UpstreamPauses:
    """The pauses that upstreams have asked for; safe to use from any thread.

    All pools of a node share them, since an upstream may be in several pools. The next run of an
    upstream, which has another start time or address, is not affected.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        #: When each pause ends, in seconds of the caller's clock.
        self._ends: dict[object, float] = {}
        #: Number of pauses so far; changes whenever a pause is recorded.
        self.count = 0

    def record(self, upstream: Upstream, pause_s: float, now: float) -> None:
        """Record that an upstream has asked for a pause; an earlier one is never shortened.

        :param upstream: the upstream.
        :param pause_s: length of the pause in seconds.
        :param now: the time in seconds.
        """
        end = now + min(MAX_PAUSE_S, pause_s)
        with self._lock:
            is_new = now >= self._ends.get(upstream.incarnation, 0.0)
            self._ends = {name: item for name, item in self._ends.items() if now < item}
            if upstream.incarnation not in self._ends and len(self._ends) >= MAX_REMEMBERED:
                del self._ends[next(iter(self._ends))]
            self._ends[upstream.incarnation] = max(end, self._ends.get(upstream.incarnation, end))
            self.count += 1
        if is_new:
            log_state_change("upstream.paused", upstream=upstream.upstream_id, pause_s=pause_s)

    def end(self, upstream: Upstream) -> float:
        """Return when the pause of an upstream ends, in seconds; 0 if there is none.

        :param upstream: the upstream.
        """
        ends = self._ends
        return ends.get(upstream.incarnation, 0.0) if ends else 0.0
