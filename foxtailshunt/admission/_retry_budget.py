"""Retry budgets, which limit the share of requests that are sent again."""

import threading
from collections.abc import Callable

#: Share of the fleet's retries that are used; the rest is a margin for nodes joining and leaving.
RETRY_BUDGET_SHARE = 0.7


class RetryBudget:
    """Limits the retries of each service to a share of its requests, plus a small reserve.

    When upstreams fail or refuse many requests at once, retrying all of them would double the
    load. The reserve belongs to the whole fleet; each node has its part of it.

    :param ratio: share of its requests that a service may be sent again.
    :param fleet_reserve: number of retries that all nodes together may send beyond that.
    :param nodes: returns the number of nodes that share the reserve.
    """

    def __init__(self, ratio: float, fleet_reserve: float, nodes: Callable[[], int]) -> None:
        self._ratio = ratio * RETRY_BUDGET_SHARE
        self._fleet_reserve = fleet_reserve * RETRY_BUDGET_SHARE
        self._nodes = nodes
        self._lock = threading.Lock()
        self._tokens: dict[str, float] = {}

    def record_first_attempt(self, service: str) -> None:
        """Record the first attempt of a request.

        :param service: name of the service.
        """
        with self._lock:
            tokens = self._available(service) + self._ratio
            self._tokens[service] = min(tokens, self._capacity())

    def available(self, service: str) -> float:
        """Return the number of retries that the budget allows now.

        :param service: name of the service.
        """
        with self._lock:
            return self._available(service)

    def try_acquire(self, service: str) -> bool:
        """Take one retry from the budget.

        :param service: name of the service.
        :returns: False if the budget is exhausted.
        """
        with self._lock:
            tokens = self._available(service)
            if tokens < 1:
                return False
            self._tokens[service] = tokens - 1
            return True

    def _available(self, service: str) -> float:
        # The fleet may have grown since the budget was last used.
        return min(self._tokens.get(service, self._part()), self._capacity())

    def _capacity(self) -> float:
        # A budget that holds less than one retry could never grant any.
        return max(1.0, self._part())

    def _part(self) -> float:
        """Return the part of the reserve that this node has."""
        return self._fleet_reserve / self._nodes()
