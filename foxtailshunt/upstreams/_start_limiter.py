"""Limits the requests that this node starts at cold upstreams."""

import threading
from collections.abc import Callable
from dataclasses import dataclass
from math import floor

from foxtailshunt.fleet import Upstream
from foxtailshunt.routing import ServiceInfo
from foxtailshunt.telemetry import log_state_change
from foxtailshunt.upstreams._warmup_states import WarmupStates

#: Number of nodes that may believe to be the sender of an upstream at the same time without
#: exceeding the bound of the fleet: two views differ while a change of the members spreads, or
#: while two leaders are in their terms.
SENDERS_IN_BOUND = 2
#: Maximum number of upstreams that are remembered as cold; the one that was recorded first is
#: forgotten first, which empties its bucket.
MAX_REMEMBERED = 4096


@dataclass(frozen=True, slots=True)
class StartLimit:
    """When requests may start at an upstream that is cold."""

    #: Earliest start of the next request, in seconds of the caller's clock.
    first_at: float
    #: Time between two starts, in seconds.
    interval_s: float
    #: When the upstream is expected to be warm, in seconds; no limit applies from then on.
    warm_at: float
    #: True if this node sends to it; other nodes start no request before it is warm.
    is_sender: bool

    def start_at(self, number: int) -> float:
        """Return the earliest start of one of the next requests, in seconds.

        :param number: number of the request, counted from 0.
        """
        return min(self.warm_at, self.first_at + number * self.interval_s)


@dataclass(frozen=True, slots=True)
class ColdBound:
    """The number of requests that a cold upstream may get in any second from all nodes.

    It is a multiple of the rate that the upstream can sustain, and an additional number.
    """

    #: The multiple; None if the deployment states no bound.
    ratio: float | None = None
    #: The additional number; None if the deployment states no bound.
    reserve: float | None = None

    def sender_rate(self, rate: float) -> float:
        """Return the rate at which one sender starts requests, in requests per second.

        Two senders at the same time stay within the bound.

        :param rate: the rate that a cold upstream can sustain.
        """
        if self.ratio is None and self.reserve is None:
            return rate
        bound = rate * (self.ratio or 1.0) + (self.reserve or 0.0)
        # Evenly spaced starts at a whole rate are as many in any second; at others, one more.
        return min(rate, max(1.0, floor(bound / SENDERS_IN_BOUND)))


@dataclass(slots=True)
class _Bucket:
    """A token bucket that holds at most one token."""

    #: When it holds the token, in seconds.
    full_at: float
    #: Whether this node was the sender when it was last used.
    is_sender: bool


class StartLimiter:
    """Limits the starts at cold upstreams; safe to use from any thread.

    All pools of a node share it, since an upstream may be in several pools.

    :param states: the warm-up of upstreams.
    :param find_service: returns a service of the configuration in force, or None.
    :param is_sender: returns whether this node is the one that sends to an upstream.
    :param bound: the number of requests that a cold upstream may get.
    """

    def __init__(
        self,
        states: WarmupStates,
        find_service: Callable[[str], ServiceInfo | None],
        is_sender: Callable[[Upstream], bool],
        bound: ColdBound,
    ) -> None:
        self._states = states
        self._find_service = find_service
        self._is_sender = is_sender
        self._bound = bound
        self._lock = threading.Lock()
        self._buckets: dict[object, _Bucket] = {}

    def limit(self, upstream: Upstream, now: float) -> StartLimit | None:
        """Return when requests may start at an upstream; None if it is warm or has no limit.

        :param upstream: the upstream.
        :param now: the time in seconds.
        """
        service = self._find_service(upstream.service)
        if service is None or service.warmup_rate <= 0:
            return None
        warm_at = self._states.warm_at(upstream, service.warmup_s, now)
        if warm_at <= now:
            self._forget(upstream, now)
            return None
        is_sender = self._is_sender(upstream)
        interval_s = 1 / self._bound.sender_rate(service.warmup_rate)
        with self._lock:
            bucket = self._bucket(upstream, is_sender, warm_at, now + interval_s, now)
            first_at = bucket.full_at if is_sender else warm_at
        return StartLimit(first_at, interval_s, warm_at, is_sender)

    def try_start(self, upstream: Upstream, now: float) -> bool:
        """Take the token of an upstream for a request that is to be sent now.

        :param upstream: the upstream.
        :param now: the time in seconds.
        :returns: False if no request may start now.
        """
        limit = self.limit(upstream, now)
        if limit is None:
            return True
        with self._lock:
            bucket = self._buckets.get(upstream.incarnation)
            if not limit.is_sender or bucket is None or now < bucket.full_at:
                return False
            bucket.full_at = now + limit.interval_s
            return True

    def _bucket(
        self, upstream: Upstream, is_sender: bool, warm_at: float, full_at: float, now: float
    ) -> _Bucket:
        bucket = self._buckets.get(upstream.incarnation)
        if bucket is None:
            if len(self._buckets) >= MAX_REMEMBERED:
                del self._buckets[next(iter(self._buckets))]
            bucket = self._buckets[upstream.incarnation] = _Bucket(full_at, is_sender)
            log_state_change(
                "upstream.cold",
                upstream=upstream.upstream_id,
                warm_in_s=round(warm_at - now, 3),
                sends=is_sender,
            )
        elif is_sender and not bucket.is_sender:
            # Another node may have sent requests until now.
            bucket.full_at = max(bucket.full_at, full_at)
        bucket.is_sender = is_sender
        return bucket

    def _forget(self, upstream: Upstream, now: float) -> None:
        if upstream.incarnation not in self._buckets:
            return
        with self._lock:
            self._buckets.pop(upstream.incarnation, None)
        log_state_change("upstream.warm", upstream=upstream.upstream_id)
