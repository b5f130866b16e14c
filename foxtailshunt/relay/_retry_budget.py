"""Retry budgets, which limit the share of requests that are sent again."""

import threading


class RetryBudget:
    """Limits the retries of each service to a share of its requests, plus a small reserve.

    When upstreams fail or refuse many requests at once, retrying all of them would double the
    load.

    :param ratio: number of retries that each first attempt adds to the budget.
    :param reserve: maximum number of retries in the budget.
    """

    def __init__(self, ratio: float, reserve: float) -> None:
        self._ratio = ratio
        self._reserve = reserve
        self._lock = threading.Lock()
        self._tokens: dict[str, float] = {}

    def record_first_attempt(self, service: str) -> None:
        """Record the first attempt of a request.

        :param service: name of the service.
        """
        with self._lock:
            tokens = self._tokens.get(service, self._reserve)
            self._tokens[service] = min(self._reserve, tokens + self._ratio)

    def available(self, service: str) -> float:
        """Return the number of retries that the budget allows now.

        :param service: name of the service.
        """
        with self._lock:
            return self._tokens.get(service, self._reserve)

    def try_acquire(self, service: str) -> bool:
        """Take one retry from the budget.

        :param service: name of the service.
        :returns: False if the budget is exhausted.
        """
        with self._lock:
            tokens = self._tokens.get(service, self._reserve)
            if tokens < 1:
                return False
            self._tokens[service] = tokens - 1
            return True
