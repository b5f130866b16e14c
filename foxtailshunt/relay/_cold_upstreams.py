"""Connects the path of requests with the warm-up of upstreams."""

import threading

from foxtailshunt.fleet import Upstream
from foxtailshunt.platform import UpstreamResponse
from foxtailshunt.telemetry import log_state_change
from foxtailshunt.upstreams import StartLimiter, WarmupStates

#: Longest Retry-After of a request whose owner is cold, in seconds: by then, a sender that could
#: not be reached has been replaced.
MAX_RETRY_AFTER_S = 1.5
#: Maximum number of runs of upstreams whose malformed header was logged.
MAX_LOGGED = 4096


class ColdUpstreams:
    """What a sender does with cold upstreams; safe to use from any thread.

    :param states: the warm-up of upstreams; None if it is not followed.
    :param limiter: limits the starts at cold upstreams; None for no limit.
    """

    def __init__(
        self, states: WarmupStates | None = None, limiter: StartLimiter | None = None
    ) -> None:
        self._states = states
        self.limiter = limiter
        self._lock = threading.Lock()
        #: Runs of upstreams whose malformed header was logged.
        self._logged: set[object] = set()

    def refused_for_s(self, upstream: Upstream, now: float) -> float | None:
        """Return after which time to retry a request for a key of a cold owner, in seconds.

        :param upstream: the owner.
        :param now: the time in seconds.
        :returns: None if this node may send requests to it.
        """
        limit = self.limiter.limit(upstream, now) if self.limiter is not None else None
        if limit is None or limit.is_sender:
            return None
        return min(MAX_RETRY_AFTER_S, limit.warm_at - now)

    def record_refusal(self, upstream: Upstream, now: float) -> None:
        """Record that an upstream refused a connection.

        :param upstream: the upstream.
        :param now: the time in seconds.
        """
        if self._states is not None:
            self._states.record_refusal(upstream, now)

    def record_response(self, upstream: Upstream, response: UpstreamResponse, now: float) -> None:
        """Record what a response states about the warm-up of its upstream.

        :param upstream: the upstream.
        :param response: the response.
        :param now: the time in seconds.
        """
        if self._states is None:
            return
        left_s = 0.0
        try:
            left_s = response.warmup_remaining_s() or 0.0
        except ValueError as exc:
            self._log_malformed(upstream, exc)
        self._states.record_response(upstream, left_s, now)

    def _log_malformed(self, upstream: Upstream, exc: ValueError) -> None:
        with self._lock:
            if upstream.incarnation in self._logged or len(self._logged) >= MAX_LOGGED:
                return
            self._logged.add(upstream.incarnation)
        log_state_change(
            "upstream.header_ignored", upstream=upstream.upstream_id, reason=str(exc)[:200]
        )
