"""Bounds how many requests are sent to an upstream a second time."""

import threading


class RetryBudget:
    """A share of the first sends of a service, with a small reserve.

    Load it answers: upstreams that fail or refuse many requests at once, where repeats of all of
    them would be a second load of the same size.

    :param ratio: repeats that each first send earns.
    :param reserve: most repeats that can be saved up.
    """

    def __init__(self, ratio: float, reserve: float) -> None:
        self._ratio = ratio
        self._reserve = reserve
        self._lock = threading.Lock()
        self._tokens: dict[str, float] = {}

    def record_first_attempt(self, service: str) -> None:
        """Count the first send of a request.

        :param service: name of the service.
        """
        with self._lock:
            tokens = self._tokens.get(service, self._reserve)
            self._tokens[service] = min(self._reserve, tokens + self._ratio)

    def available(self, service: str) -> float:
        """Return how many repeats may be sent now.

        :param service: name of the service.
        """
        with self._lock:
            return self._tokens.get(service, self._reserve)

    def try_acquire(self, service: str) -> bool:
        """Take the right to one repeat; false if none is left.

        :param service: name of the service.
        """
        with self._lock:
            tokens = self._tokens.get(service, self._reserve)
            if tokens < 1:
                return False
            self._tokens[service] = tokens - 1
            return True
