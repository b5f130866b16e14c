"""Counters of the entry."""

from foxtailshunt.entry._operation_router import OperationMatch
from foxtailshunt.errors import ResultCode
from foxtailshunt.telemetry import Metrics

_NONE = "none"


class EntryMetrics:
    """Counts requests, latencies, retries and hang-ups.

    :param metrics: the metrics of the process.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def answered(self, match: OperationMatch | None, code: ResultCode, elapsed_s: float) -> None:
        """Count an answer.

        :param match: what the request asked for, if that was found.
        :param code: the numbered outcome.
        :param elapsed_s: time since the request was read, in seconds.
        """
        service = match.service.name if match else _NONE
        rank = match.operation.rank.value if match else _NONE
        labels = {"service": service, "rank": rank, "code": str(int(code))}
        self._metrics.count("foxtailshunt_entry_requests_total", "Answers to callers.", labels)
        self._metrics.observe(
            "foxtailshunt_entry_request_duration_seconds",
            "Time from a request's reading to its answer.",
            elapsed_s,
            {"rank": rank},
        )

    def retried(self, service: str) -> None:
        """Count a request that was sent again though it may have run.

        :param service: the service's name.
        """
        self._metrics.count(
            "foxtailshunt_entry_retries_total",
            "Idempotent requests sent again.",
            {"service": service},
        )

    def rerouted(self, code: ResultCode) -> None:
        """Count a request that a dispatcher did not take.

        :param code: the dispatcher's reason.
        """
        self._metrics.count(
            "foxtailshunt_entry_reroutes_total",
            "Requests that a dispatcher passed back.",
            {"code": str(int(code))},
        )

    def hung_up(self) -> None:
        """Count a caller that closed its connection while it was waiting."""
        self._metrics.count("foxtailshunt_entry_hangups_total", "Callers that hung up.")

    def failed(self) -> None:
        """Count an error of the entry itself."""
        self._metrics.count("foxtailshunt_entry_errors_total", "Internal errors of the entry.")

    def rejected(self, reason: str) -> None:
        """Count a connection or request that was refused before it was understood.

        :param reason: one of a few fixed words.
        """
        self._metrics.count(
            "foxtailshunt_entry_rejected_total",
            "Connections and requests refused before routing.",
            {"reason": reason},
        )
