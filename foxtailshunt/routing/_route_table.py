"""The routes, services and limits of one configuration version."""

from typing import Protocol

from foxtailshunt.network import Address
from foxtailshunt.routing._types import FrontLimits, RequestLine, RouteMatch, ServiceInfo


class RouteFinder(Protocol):
    """Matches requests to routes."""

    def find(self, line: RequestLine) -> RouteMatch | None:
        """Return the route of a request, or None if no route matches.

        :param line: method, host and target of the request.
        :raises FoxtailshuntError: with ``BAD_REQUEST`` if the key is missing or malformed.
        """
        ...


class RouteTable:
    """The routes, services and limits of one configuration version; immutable.

    :param version: number of the version; newer versions of an era have higher numbers.
    :param finder: matches requests to the routes of this version.
    :param services: services by name.
    :param limits: limits on callers' requests.
    :param ignored_values: messages about malformed optional values that are not used.
    :param era: era of the store in which it was written, as the configuration states it; 0 in
        formats whose versions never decrease.
    """

    def __init__(
        self,
        version: int,
        finder: RouteFinder,
        services: dict[str, ServiceInfo],
        limits: FrontLimits,
        ignored_values: tuple[str, ...] = (),
        era: int = 0,
    ) -> None:
        self.version = version
        self.era = era
        self.services = services
        self.limits = limits
        self.ignored_values = ignored_values
        self._finder = finder

    def match(self, line: RequestLine) -> RouteMatch | None:
        """Return the route of a request, or None if no route matches.

        :param line: method, host and target of the request.
        :raises FoxtailshuntError: with ``BAD_REQUEST`` if the key is missing or malformed.
        """
        return self._finder.find(line)

    def may_serve(self, service: str, address: Address) -> bool:
        """Return whether the configuration allows new requests to an upstream.

        :param service: the service of the upstream.
        :param address: the upstream's address.
        """
        info = self.services.get(service)
        if info is None or info.upstream_addresses is None:
            return True
        return address in info.upstream_addresses
