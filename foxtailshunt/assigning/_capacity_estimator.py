"""Estimates the capacity of each upstream from the reports of all senders."""

import threading

#: Factor by which each new report reduces the weight of the earlier ones.
OLD_REPORT_WEIGHT = 0.7
#: Weight of the prior, average latency and no failures, in responses.
PRIOR_RESPONSES = 4.0
#: Bounds of the latency ratio that an estimate uses.
MIN_LATENCY_RATIO, MAX_LATENCY_RATIO = 0.4, 12.0


class CapacityEstimator:
    """Latency ratio and failure rate by upstream; safe to use from any thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        # Elapsed and expected seconds, answered and failed requests.
        self._sums: dict[str, tuple[float, float, float, float]] = {}

    def observe(
        self, upstream_id: str, taken_s: float, expected_s: float, answered: int, failed: int
    ) -> None:
        """Add a report of a sender.

        :param upstream_id: id of the upstream.
        :param taken_s: total latency of its requests, in seconds.
        :param expected_s: total latency of such requests at an average upstream, in seconds.
        :param answered: number of requests that it answered.
        :param failed: number of requests that it failed or refused.
        """
        with self._lock:
            old = self._sums.get(upstream_id, (0.0, 0.0, 0.0, 0.0))
            new = (taken_s, expected_s, float(answered), float(failed))
            weight = OLD_REPORT_WEIGHT if answered + failed else 1.0
            self._sums[upstream_id] = tuple(  # type: ignore[assignment]
                weight * previous + now for previous, now in zip(old, new, strict=True)
            )

    def capacity(self, upstream_id: str, slots: int) -> float:
        """Return the work that an upstream does per second, in seconds at average speed.

        :param upstream_id: id of the upstream.
        :param slots: requests that it processes concurrently.
        """
        with self._lock:
            sums = self._sums.get(upstream_id)
        if sums is None:
            return float(slots)
        taken_s, expected_s, answered, failed = sums
        if answered + failed < 1:
            return float(slots)
        mean_expected_s = expected_s / answered if answered else 0.15
        # The prior is weighted like several responses, so that a single request changes little.
        prior_s = PRIOR_RESPONSES * mean_expected_s
        latency_ratio = (taken_s + prior_s) / (expected_s + prior_s)
        bounded = min(MAX_LATENCY_RATIO, max(MIN_LATENCY_RATIO, latency_ratio))
        success_rate = (answered + PRIOR_RESPONSES) / (answered + failed + PRIOR_RESPONSES)
        return slots / bounded * success_rate
