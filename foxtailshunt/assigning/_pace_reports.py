"""How much work each upstream gets done, from the reports of all senders."""

import threading

#: Weight of an older report when a newer one comes.
KEEP = 0.7
#: Answers after which a measured pace is believed over the common one.
BELIEF_ANSWERS = 4.0
#: Bounds of a slowness that placement believes.
MIN_SLOWNESS, MAX_SLOWNESS = 0.4, 12.0


class CapacityEstimator:
    """Slowness and failures by upstream; safe to use from any thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        # Taken and expected seconds, answered and failed requests.
        self._sums: dict[str, tuple[float, float, float, float]] = {}

    def observe(
        self, upstream_id: str, taken_s: float, expected_s: float, answered: int, failed: int
    ) -> None:
        """Take a sender's report into account.

        :param upstream_id: the upstream.
        :param taken_s: time that its requests took, in seconds.
        :param expected_s: time that they take on the average of all upstreams, in seconds.
        :param answered: requests that it answered.
        :param failed: requests that it failed or refused.
        """
        with self._lock:
            old = self._sums.get(upstream_id, (0.0, 0.0, 0.0, 0.0))
            new = (taken_s, expected_s, float(answered), float(failed))
            keep = KEEP if answered + failed else 1.0
            self._sums[upstream_id] = tuple(  # type: ignore[assignment]
                keep * before + now for before, now in zip(old, new, strict=True)
            )

    def capacity(self, upstream_id: str, slots: int) -> float:
        """Return the work that an upstream does, in seconds at common speed for each second.

        :param upstream_id: the upstream.
        :param slots: requests that it processes at one time.
        """
        with self._lock:
            sums = self._sums.get(upstream_id)
        if sums is None:
            return float(slots)
        taken_s, expected_s, answered, failed = sums
        if answered + failed < 1:
            return float(slots)
        per_answer_s = expected_s / answered if answered else 0.15
        # The common pace counts like some answers, so that one request decides nothing.
        prior_s = BELIEF_ANSWERS * per_answer_s
        slowness = (taken_s + prior_s) / (expected_s + prior_s)
        bounded = min(MAX_SLOWNESS, max(MIN_SLOWNESS, slowness))
        good = (answered + BELIEF_ANSWERS) / (answered + failed + BELIEF_ANSWERS)
        return slots / bounded * good
