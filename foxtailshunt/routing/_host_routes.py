"""Routing by host and path prefix."""

from collections.abc import Iterable
from dataclasses import dataclass

from foxtailshunt.routing._types import RequestLine, Route, RouteMatch


@dataclass(frozen=True, slots=True)
class HostRoute:
    """A route and the host and path prefix that it matches."""

    #: Host name without a port.
    host: str
    #: Path prefix; starts and ends with a slash.
    prefix: str
    #: The route.
    route: Route


class HostRoutes:
    """Matches requests by host and longest path prefix.

    :param routes: the routes.
    """

    def __init__(self, routes: Iterable[HostRoute]) -> None:
        self._by_host: dict[str, dict[str, RouteMatch]] = {}
        for item in routes:
            prefixes = self._by_host.setdefault(item.host.lower(), {})
            prefixes[item.prefix] = RouteMatch(item.route)

    def find(self, line: RequestLine) -> RouteMatch | None:
        """Return the route of a request, or None if no route matches.

        :param line: method, host and target of the request; the host's port and case are ignored.
        """
        prefixes = self._by_host.get(line.host.partition(":")[0].lower())
        if prefixes is None:
            return None
        path = line.target.partition("?")[0]
        end = path.rfind("/")
        while end >= 0:
            match = prefixes.get(path[: end + 1])
            if match is not None:
                return match
            end = path.rfind("/", 0, end)
        return None
