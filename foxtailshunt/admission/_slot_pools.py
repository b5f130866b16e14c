"""The pools of slots of a sending node."""

import threading
from collections.abc import Callable
from dataclasses import dataclass

from foxtailshunt.admission._call import Call
from foxtailshunt.admission._overload_policy import Decision, OverloadPolicy
from foxtailshunt.admission._slot_pool import SlotPool
from foxtailshunt.fleet import Upstream
from foxtailshunt.upstreams import (
    LatencyEstimator,
    OutlierDetector,
    StartLimiter,
    UpstreamPauses,
)


def _ignore_decision(service: str, decision: Decision, rank: int) -> None:
    pass


@dataclass(slots=True)
class LockedPool:
    """A pool with its lock."""

    pool: SlotPool
    lock: threading.Lock
    #: The tuple of upstreams that the pool was last set to, compared by identity.
    current_upstreams: tuple[Upstream, ...] | None = None

    def update_upstreams(self, upstreams: tuple[Upstream, ...]) -> None:
        """Set the upstreams that may get new requests; the caller holds the lock.

        :param upstreams: the upstreams; the same tuple as before if they have not changed.
        """
        if self.current_upstreams is not upstreams:
            self.pool.set_upstreams(upstreams)
            self.current_upstreams = upstreams


class SlotPools:
    """A pool for each keyed upstream and for each group of upstreams; safe to use from any thread.

    :param latencies: latency estimates by route and upstream.
    :param zone: the preferred availability zone among otherwise equal upstreams.
    :param pauses: the pauses that upstreams have asked for.
    :param policy: what is served first and what is refused if capacity is short.
    :param record: called for each decision with the service and the rank of the request.
    :param limiter: limits the starts at cold upstreams; None for no limit.
    """

    def __init__(
        self,
        latencies: LatencyEstimator,
        zone: str,
        pauses: UpstreamPauses,
        policy: OverloadPolicy = OverloadPolicy.BY_SLACK,
        record: Callable[[str, Decision, int], None] = _ignore_decision,
        limiter: StartLimiter | None = None,
    ) -> None:
        self._policy = policy
        self._record = record
        self._limiter = limiter
        self._pauses = pauses
        self._latencies = latencies
        self._zone = zone
        self._lock = threading.Lock()
        self._pools: dict[str, LockedPool] = {}

    def get(self, call: Call) -> LockedPool:
        """Return the pool that serves a request.

        :param call: the request.
        """
        name = _pool_name(call)
        with self._lock:
            locked = self._pools.get(name)
            if locked is None:
                locked = LockedPool(self._new_pool(call.service), threading.Lock())
                self._pools[name] = locked
            return locked

    def _new_pool(self, service: str) -> SlotPool:
        return SlotPool(
            self._latencies,
            self._zone,
            self._pauses,
            self._policy,
            self._limiter,
            lambda decision, rank: self._record(service, decision, rank),
        )

    def reuse_equal(self, call: Call, upstreams: tuple[Upstream, ...]) -> tuple[Upstream, ...]:
        """Return the tuple that the pool of a request has, if it is equal to the given one.

        :param call: the request.
        :param upstreams: upstreams that may serve it.
        """
        locked = self._pools.get(_pool_name(call))
        current = locked.current_upstreams if locked is not None else None
        return current if current is not None and current == upstreams else upstreams

    def load(self) -> tuple[int, int]:
        """Return the number of queued requests and of those in flight at upstreams."""
        pools = list(self._pools.values())
        return sum(item.pool.waiting for item in pools), sum(item.pool.running for item in pools)

    def outliers(self) -> list[OutlierDetector]:
        """Return the detectors of outliers of all pools."""
        return [item.pool.outliers for item in list(self._pools.values())]


def _pool_name(call: Call) -> str:
    """Return the name of the pool of slots that serves a request."""
    if call.key is None:
        return f"service {call.service} {call.group}"
    return f"upstream {call.upstream_id}"
