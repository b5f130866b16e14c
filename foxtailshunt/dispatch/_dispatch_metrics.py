"""Metrics of dispatch."""

from foxtailshunt.config import Rank
from foxtailshunt.errors import ResultCode
from foxtailshunt.telemetry import Metrics


class DispatchMetrics:
    """Counts what dispatch does, under its metrics' names.

    :param metrics: the metrics of the process.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def count_request(self, service: str, rank: str, code: ResultCode) -> None:
        """Count a request that ended.

        :param service: its service.
        :param rank: its rank.
        :param code: how it ended.
        """
        self._metrics.count(
            "foxtailshunt_dispatch_requests_total",
            "Requests that ended at the dispatcher.",
            {"service": service, "rank": rank, "code": code.name},
        )

    def observe_wait(self, service: str, rank: Rank, wait_s: float) -> None:
        """Add the time that a request waited for its turn.

        :param service: its service.
        :param rank: its rank.
        :param wait_s: the wait in seconds.
        """
        self._metrics.observe(
            "foxtailshunt_dispatch_wait_seconds",
            "Wait for a turn at the upstream.",
            wait_s,
            {"service": service, "rank": rank.value},
        )

    def count_retry(self, service: str) -> None:
        """Count a retry.

        :param service: the request's service.
        """
        self._count("foxtailshunt_dispatch_retries_total", "Attempts after the first.", service)

    def count_budget_exhausted(self, service: str) -> None:
        """Count a retry that the budget did not allow.

        :param service: the request's service.
        """
        self._count(
            "foxtailshunt_dispatch_retry_budget_exhausted_total",
            "Retries that the budget did not allow.",
            service,
        )

    def count_mismatch(self, service: str) -> None:
        """Count an answer that carried another request id.

        :param service: the request's service.
        """
        self._count(
            "foxtailshunt_dispatch_answer_mismatches_total",
            "Answers of upstreams that carried another request id.",
            service,
        )

    def count_lapse(self, service: str) -> None:
        """Count a request during which the right to send lapsed.

        :param service: the request's service.
        """
        self._count(
            "foxtailshunt_dispatch_right_lapses_total",
            "Requests during which the right to send lapsed.",
            service,
        )

    def set_queue(self, upstream_id: str, rank: Rank, queued: int) -> None:
        """Set the length of a queue.

        :param upstream_id: the upstream.
        :param rank: the rank.
        :param queued: requests that wait.
        """
        self._metrics.set_gauge(
            "foxtailshunt_dispatch_queue_requests",
            "Requests that wait for a turn.",
            queued,
            {"upstream": upstream_id, "rank": rank.value},
        )

    def set_in_flight(self, upstream_id: str, in_flight: int) -> None:
        """Set the number of requests at an upstream.

        :param upstream_id: the upstream.
        :param in_flight: requests that may be at the upstream.
        """
        self._metrics.set_gauge(
            "foxtailshunt_dispatch_in_flight_requests",
            "Requests that may be at the upstream.",
            in_flight,
            {"upstream": upstream_id},
        )

    def set_memory(self, count: int, size_bytes: int) -> None:
        """Set the size of the request memory.

        :param count: remembered ids.
        :param size_bytes: their counted size in bytes.
        """
        self._metrics.set_gauge(
            "foxtailshunt_dispatch_memory_requests", "Remembered request ids.", count
        )
        self._metrics.set_gauge(
            "foxtailshunt_dispatch_memory_bytes", "Counted size of the request memory.", size_bytes
        )

    def _count(self, name: str, doc: str, service: str) -> None:
        self._metrics.count(name, doc, {"service": service})
