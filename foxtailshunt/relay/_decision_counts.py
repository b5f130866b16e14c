"""Counts the decisions of admission control for operators."""

import threading

from foxtailshunt.admission import Decision
from foxtailshunt.telemetry import Metrics, log_state_change

#: Decisions that show a lack of capacity; a service without any of them gets no log line.
_SHORTAGE = frozenset((Decision.REFUSED, Decision.DISPLACED, Decision.EXPIRED))


class DecisionCounts:
    """Counts decisions by service, rank and kind; safe to use from any thread.

    :param metrics: counters and histograms.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._lock = threading.Lock()
        #: Decisions since the last log line, by service.
        self._counts: dict[str, dict[tuple[int, Decision], int]] = {}

    def record(self, service: str, decision: Decision, rank: int) -> None:
        """Count a decision.

        :param service: service of the request.
        :param decision: the decision.
        :param rank: rank of the request.
        """
        self._metrics.count(
            "foxtailshunt_admission_total",
            "Decisions about requests for upstreams of which this node is the sender.",
            {"rank": str(rank), "decision": decision.value},
        )
        with self._lock:
            counts = self._counts.setdefault(service, {})
            counts[(rank, decision)] = counts.get((rank, decision), 0) + 1

    def record_expected_wait(self, rank: int, wait_s: float) -> None:
        """Record the expected wait of a request that was admitted.

        :param rank: rank of the request.
        :param wait_s: the wait in seconds.
        """
        self._metrics.observe(
            "foxtailshunt_expected_wait_seconds",
            "Expected wait of admitted requests, when they arrived.",
            wait_s,
            {"rank": str(rank)},
        )

    def log(self) -> None:
        """Log the decisions since the last call, one line for each service that lacked capacity."""
        with self._lock:
            counts_by_service, self._counts = self._counts, {}
        for service, counts in counts_by_service.items():
            if any(decision in _SHORTAGE for _, decision in counts):
                by_rank: dict[int, dict[str, int]] = {}
                for (rank, decision), count in sorted(counts.items(), key=str):
                    by_rank.setdefault(rank, {})[decision.value] = count
                log_state_change("admission.short", service=service, decisions=by_rank)
