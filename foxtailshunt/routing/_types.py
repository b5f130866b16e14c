"""Data types of the routing configuration."""

from dataclasses import dataclass

from foxtailshunt.network import Address


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that receives a share of a route's requests."""

    #: Name of the service.
    service: str
    #: Weight of the service, relative to the other weights of the route.
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """How a class of requests is served."""

    #: Name of the route; stable across configuration versions.
    name: str
    #: True if a request may run more than once.
    idempotent: bool
    #: Timeout of a request, in seconds.
    timeout_s: float
    #: Latency objective of a request, in seconds; 0 to order requests by rank only.
    latency_objective_s: float
    #: Rank; 0 is the most urgent.
    rank: int
    #: Maximum number of upstreams that one request may be sent to.
    max_upstreams: int
    #: The services that receive the requests.
    services: tuple[WeightedService, ...]
    #: Regions whose upstreams may get the requests; None if all may.
    allowed_regions: frozenset[str] | None = None


@dataclass(frozen=True, slots=True)
class RankFloor:
    """The minimum share of an upstream's capacity that a rank gets under more urgent load."""

    #: The rank.
    rank: int
    #: The minimum share, from 0 to 1.
    share: float


@dataclass(frozen=True, slots=True)
class ServiceInfo:
    """A service and its upstreams."""

    #: Name of the service.
    name: str
    #: True if its upstreams own keys exclusively.
    keyed: bool
    #: Maximum number of connections that one upstream accepts from all callers together.
    max_connections: int
    #: Floors of the lower ranks; ranks without one are served if no more urgent request waits.
    floors: tuple[RankFloor, ...] = ()
    #: Addresses of the allowed upstreams; None if all registered upstreams are allowed.
    upstream_addresses: frozenset[Address] | None = None
    #: How long an upstream is cold after a start, in seconds.
    warmup_s: float = 0.0
    #: Requests per second that a cold upstream can sustain; 0 for no limit.
    warmup_rate: float = 0.0


@dataclass(frozen=True, slots=True)
class FrontLimits:
    """Size limits and timeouts for callers' requests."""

    #: Maximum size of a request's header section, in bytes.
    max_header_bytes: int = 16_384
    #: Maximum size of a request's body, in bytes.
    max_body_bytes: int = 67_108_864
    #: Timeout for receiving a request's header section, in seconds.
    header_timeout_s: float = 3.0
    #: Idle timeout of a connection, in seconds.
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class RequestLine:
    """The parts of a request that determine its route."""

    #: HTTP method.
    method: str
    #: Host of the request, possibly with a port; empty if there is none.
    host: str
    #: Path and query.
    target: str


@dataclass(frozen=True, slots=True)
class RouteMatch:
    """The route and the key of a request."""

    #: The route.
    route: Route
    #: The key in the request's target; None if the target has none.
    key: str | None = None
