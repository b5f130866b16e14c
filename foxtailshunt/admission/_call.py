"""Requests to upstreams."""

from dataclasses import dataclass, field

from foxtailshunt.memory import Reservation


@dataclass(frozen=True, slots=True)
class Call:
    """A request that is to be sent to an upstream."""

    #: Id of the caller's attempt.
    request_id: str
    #: Service that the request is for.
    service: str
    #: Number of the request's key; None if the service is not sharded.
    key: int | None
    #: Owner of the key according to the node that received the request.
    upstream_id: str | None
    #: HTTP method.
    method: str
    #: Path and query.
    target: str
    #: Headers of the caller.
    headers: tuple[tuple[str, str], ...]
    #: Body.
    body: bytes
    #: Deadline of the response, in seconds of the monotonic clock.
    deadline: float
    #: Time by which the route's latency objective is met, in seconds of the monotonic clock.
    latency_objective_at: float
    #: Rank; 0 is the most urgent.
    rank: int
    #: Name of the route, by which the latency is estimated.
    route: str
    #: Upstreams that earlier attempts were sent to.
    excluded: frozenset[str] = frozenset()
    #: Name of the upstream group that is to serve the request; empty if its service has only one.
    group: str = ""
    #: Boot id of the node that received the request from its caller; empty for this node, or if
    #: the other node's build doesn't state it.
    origin: str = ""
    #: Deadline of the caller itself, which the route's timeout may precede, in seconds of the
    #: monotonic clock; the same for all attempts of a caller. None if it is not known.
    caller_deadline: float | None = None
    #: Zones whose upstreams may get the request; None if all may.
    allowed_zones: frozenset[str] | None = None
    #: Counts the bytes of the response; None to count none.
    memory: Reservation | None = field(default=None, compare=False, repr=False)

    def may_use(self, zone: str) -> bool:
        """Return whether the request may be sent to upstreams of a zone.

        :param zone: the zone.
        """
        return self.allowed_zones is None or zone in self.allowed_zones
