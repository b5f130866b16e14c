"""Routes by host and path prefix."""

from collections.abc import Iterable
from dataclasses import dataclass

from foxtailshunt.routing._types import RequestLine, Route, RouteMatch


@dataclass(frozen=True, slots=True)
class HostRoute:
    """A route and the requests that take it."""

    #: Host that requests name.
    host: str
    #: Beginning of the path; begins and ends with a slash.
    prefix: str
    #: The route.
    route: Route


class HostRoutes:
    """Finds the route with the longest prefix of a path.

    :param routes: the routes.
    """

    def __init__(self, routes: Iterable[HostRoute]) -> None:
        self._by_host: dict[str, dict[str, RouteMatch]] = {}
        for item in routes:
            prefixes = self._by_host.setdefault(item.host.lower(), {})
            prefixes[item.prefix] = RouteMatch(item.route)

    def find(self, line: RequestLine) -> RouteMatch | None:
        """Return the route of a request, or None if there is none.

        :param line: what the request is routed by; port and case of the host do not matter.
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
