"""A configuration with the location of its entries, independent of its document format."""

from dataclasses import dataclass, field
from typing import Any

from foxtailshunt.routing import FrontLimits, HostRoute, Operation, Route, ServiceInfo


@dataclass(frozen=True, slots=True)
class FieldNames:
    """Names of the fields in a document format."""

    #: Timeout of a route.
    timeout: str
    #: Latency objective of a route.
    latency_objective: str
    #: Maximum number of upstreams that one request may be sent to.
    max_upstreams: str
    #: Header timeout of callers' requests, with the path to it.
    header_timeout: str
    #: Idle timeout of callers' connections, with the path to it.
    idle_timeout: str


@dataclass(frozen=True, slots=True)
class DescribedRoute:
    """A route and the requests that it matches."""

    #: Path of the route in the document.
    location: str
    #: The requests that it matches, and the route.
    match: HostRoute | Operation
    #: True if the document states the number of upstreams and does not rely on the default.
    states_max_upstreams: bool = True

    @property
    def route(self) -> Route:
        """Return the route."""
        return self.match.route


@dataclass(frozen=True, slots=True)
class DescribedService:
    """A service."""

    #: Path of the service in the document.
    location: str
    #: The service.
    info: ServiceInfo
    #: Path of each floor that the document states, by rank; floors by default are not in it.
    stated_floors: dict[int, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Description:
    """A valid configuration, with all entries of its document."""

    #: Version that the document states; None if the store numbers the versions.
    version: int | None
    #: The routes in the order of the document; of two that match the same requests, the last one
    #: is used.
    routes: tuple[DescribedRoute, ...]
    #: The services.
    services: tuple[DescribedService, ...]
    #: Limits on callers' requests.
    limits: FrontLimits
    #: Names of the fields in the document.
    names: FieldNames
    #: Entries of the document with defaults filled in, by name at each level.
    entries: dict[str, Any]
    #: Zones by the path of their entry; empty if the document does not list zones.
    zones: dict[str, str] = field(default_factory=dict)
    #: Zones that have an upstream in the document.
    used_zones: frozenset[str] = frozenset()
    #: Location and message of each value that is not used.
    ignored_values: tuple[tuple[str, str], ...] = ()
