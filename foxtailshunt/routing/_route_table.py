"""The routes of one configuration."""

from foxtailshunt.routing._types import FrontLimits, Route, ServiceInfo


class RouteTable:
    """One version of the configuration; it never changes.

    :param version: number of the version; a higher one is newer.
    :param routes: its routes.
    :param services: its services by name.
    :param limits: limits on callers.
    """

    def __init__(
        self,
        version: int,
        routes: tuple[Route, ...],
        services: dict[str, ServiceInfo],
        limits: FrontLimits,
    ) -> None:
        self.version = version
        self.services = services
        self.limits = limits
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host, {})[route.prefix] = route

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, or None.

        :param host: host that the request names; a port and the case do not matter.
        :param path: the path without its query.
        """
        prefixes = self._by_host.get(host.partition(":")[0].lower())
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
