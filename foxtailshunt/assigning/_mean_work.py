"""Tracks the mean work of the requests of each service."""

import threading

#: Factor by which each new report reduces the weight of the earlier ones; a leader gets two reports
#: a second from each node.
OLD_REPORT_WEIGHT = 0.98
#: Assumed work of a request and the weight of this assumption, in requests, until there are
#: reports.
ASSUMED_WORK_S, ASSUMED_REQUESTS = 0.15, 1.0


class MeanWork:
    """Mean time of requests at an upstream of average speed; safe to use from any thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        #: Sum of the work, in seconds, and number of requests by service.
        self._sums: dict[str, tuple[float, float]] = {}

    def observe(self, service: str, work_s: float, requests: int) -> None:
        """Add the report of a node.

        :param service: name of the service.
        :param work_s: total work of its requests, in seconds at average speed.
        :param requests: number of the requests.
        """
        if requests <= 0:
            return
        with self._lock:
            old_work_s, old_requests = self._sums.get(service, (0.0, 0.0))
            self._sums[service] = (
                OLD_REPORT_WEIGHT * old_work_s + work_s,
                OLD_REPORT_WEIGHT * old_requests + requests,
            )

    def mean_s(self, service: str) -> float:
        """Return the mean work of a request, in seconds at average speed.

        :param service: name of the service.
        """
        with self._lock:
            work_s, requests = self._sums.get(service, (0.0, 0.0))
        return (work_s + ASSUMED_WORK_S * ASSUMED_REQUESTS) / (requests + ASSUMED_REQUESTS)
