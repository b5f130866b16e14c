"""One version of the configuration."""

from typing import Protocol

from foxtailshunt.network import Address
from foxtailshunt.routing._types import FrontLimits, RequestLine, RouteMatch, ServiceInfo


class RouteFinder(Protocol):
    """Finds the route of a request."""

    def find(self, line: RequestLine) -> RouteMatch | None:
        """Return the route of a request, or None if there is none.

        :param line: what the request is routed by.
        :raises FoxtailshuntError: with ``BAD_REQUEST`` if the request names its key wrongly.
        """
        ...


class RouteTable:
    """Routes, services and limits of one version; it never changes.

    :param version: number of the version; a higher one is newer.
    :param finder: finds its routes.
    :param services: its services by name.
    :param limits: limits on callers.
    """

    def __init__(
        self,
        version: int,
        finder: RouteFinder,
        services: dict[str, ServiceInfo],
        limits: FrontLimits,
    ) -> None:
        self.version = version
        self.services = services
        self.limits = limits
        self._finder = finder

    def match(self, line: RequestLine) -> RouteMatch | None:
        """Return the route of a request, or None if there is none.

        :param line: what the request is routed by.
        :raises FoxtailshuntError: with ``BAD_REQUEST`` if the request names its key wrongly.
        """
        return self._finder.find(line)

    def may_serve(self, service: str, address: Address) -> bool:
        """Return whether an upstream may get new work.

        :param service: the service that it belongs to.
        :param address: the upstream's address.
        """
        info = self.services.get(service)
        if info is None or info.upstream_addresses is None:
            return True
        return address in info.upstream_addresses
