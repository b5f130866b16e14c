"""What a configuration says, as data."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that takes a share of a route's requests."""

    #: Name of the service.
    service: str
    #: Its share, relative to the other weights of the route.
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """How the requests of one host and path prefix are served."""

    #: Name of the route; stable while the configuration changes.
    name: str
    #: Host that requests name, in lower case.
    host: str
    #: Beginning of the path; begins and ends with a slash.
    prefix: str
    #: True if a request may run more than once.
    idempotent: bool
    #: Longest time that a request may be kept waiting, in seconds.
    timeout_s: float
    #: Time within which an answer is worth most, in seconds.
    aim_s: float
    #: Rank; 0 is the most urgent.
    rank: int
    #: Most upstreams that one request may be sent to.
    max_upstreams: int
    #: The services that take its requests.
    services: tuple[WeightedService, ...]


@dataclass(frozen=True, slots=True)
class ServiceInfo:
    """One service."""

    #: Name of the service.
    name: str
    #: True if its upstreams own keys exclusively.
    keyed: bool
    #: Connections that one of its upstreams accepts from all callers together.
    max_connections: int


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
