"""Spreads a route's requests over its services."""

import random
import threading

from foxtailshunt.routing._types import Route


class WeightedChoice:
    """Smooth weighted round robin for each route.

    Shares stay exact over short spans, which matters when a service is short of room and a random
    spread would overload it by chance.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._credits: dict[tuple[str, tuple], dict[str, float]] = {}

    def choose(self, route: Route) -> str:
        """Return the service that takes the next request of a route.

        :param route: the route.
        """
        if len(route.services) == 1:
            return route.services[0].service
        with self._lock:
            credits = self._credits.get((route.name, route.services))
            if credits is None:
                credits = self._start(route)
            return self._next(route, credits)

    def _start(self, route: Route) -> dict[str, float]:
        # A random phase keeps many instances from sending their first requests to one service.
        total = sum(part.weight for part in route.services)
        credits = {part.service: random.random() * total for part in route.services}
        if len(self._credits) > 4096:
            self._credits.clear()
        self._credits[(route.name, route.services)] = credits
        return credits

    def _next(self, route: Route, credits: dict[str, float]) -> str:
        total = 0.0
        for part in route.services:
            credits[part.service] += part.weight
            total += part.weight
        chosen = max(route.services, key=lambda part: (part.weight > 0, credits[part.service]))
        credits[chosen.service] -= total
        return chosen.service
