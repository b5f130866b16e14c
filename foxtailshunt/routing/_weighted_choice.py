"""Weighted distribution of a route's requests over its services."""

import random
import threading

from foxtailshunt.routing._types import Route


class WeightedChoice:
    """Smooth weighted round robin for each route.

    The shares are exact even over short periods. With a random choice, chance could overload a
    service that has little spare capacity.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._credits: dict[tuple[str, tuple], dict[str, float]] = {}

    def choose(self, route: Route) -> str:
        """Return the service for the next request of a route.

        :param route: the route.
        """
        if len(route.services) == 1:
            return route.services[0].service
        with self._lock:
            credits = self._credits.get((route.name, route.services))
            if credits is None:
                credits = self._initialize_credits(route)
            return self._next(route, credits)

    def _initialize_credits(self, route: Route) -> dict[str, float]:
        # A random initial state keeps many instances from sending their first requests to the same
        # service.
        total = sum(item.weight for item in route.services)
        credits = {item.service: random.random() * total for item in route.services}
        if len(self._credits) > 4096:
            self._credits.clear()
        self._credits[(route.name, route.services)] = credits
        return credits

    def _next(self, route: Route, credits: dict[str, float]) -> str:
        total = 0.0
        for item in route.services:
            credits[item.service] += item.weight
            total += item.weight
        chosen = max(route.services, key=lambda item: (item.weight > 0, credits[item.service]))
        credits[chosen.service] -= total
        return chosen.service
