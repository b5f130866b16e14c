"""What a configuration says, as data."""

from dataclasses import dataclass

from foxtailshunt.network import Address


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that takes a share of a route's requests."""

    #: Name of the service.
    service: str
    #: Its share, relative to the other weights of the route.
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """How the requests of one kind are served."""

    #: Name of the route; stable while the configuration changes.
    name: str
    #: True if a request may run more than once.
    idempotent: bool
    #: Longest time that a request may be kept waiting, in seconds.
    timeout_s: float
    #: Time within which an answer is worth most, in seconds; 0 if only the rank counts.
    latency_objective_s: float
    #: Rank; 0 is the most urgent.
    rank: int
    #: Most upstreams that one request may be sent to.
    max_upstreams: int
    #: The services that take its requests.
    services: tuple[WeightedService, ...]


@dataclass(frozen=True, slots=True)
class RankFloor:
    """The share of an upstream's capacity that a rank keeps while more urgent work floods in."""

    #: The rank.
    rank: int
    #: The share, from 0 to 1.
    share: float


@dataclass(frozen=True, slots=True)
class ServiceInfo:
    """One service."""

    #: Name of the service.
    name: str
    #: True if its upstreams own keys exclusively.
    keyed: bool
    #: Connections that one of its upstreams accepts from all callers together.
    max_connections: int
    #: Floors of the lower ranks; ranks without one are served when nothing more urgent waits.
    floors: tuple[RankFloor, ...] = ()
    #: Addresses of the upstreams that may serve; None if all that register may.
    upstream_addresses: frozenset[Address] | None = None


@dataclass(frozen=True, slots=True)
class FrontLimits:
    """What a caller may send and how long it may take."""

    #: Largest head of a request, in bytes.
    max_header_bytes: int = 16_384
    #: Largest body of a request, in bytes.
    max_body_bytes: int = 67_108_864
    #: Time in which a request's head must arrive, in seconds.
    header_timeout_s: float = 3.0
    #: Time that a connection may stay idle, in seconds.
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class RequestLine:
    """What a request is routed by."""

    #: HTTP method.
    method: str
    #: Host that the request names; empty if none.
    host: str
    #: Path and query.
    target: str


@dataclass(frozen=True, slots=True)
class RouteMatch:
    """The route of a request."""

    #: The route.
    route: Route
    #: The key that stands in the request's target; None if the target has none.
    key: str | None = None
