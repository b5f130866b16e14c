"""Estimates how many of its requests an upstream fails."""

import math
from collections import deque
from collections.abc import Iterable

from foxtailshunt.upstreams._request_result import RequestResult

#: Number of results that an estimate covers. An upstream of the planned deployments gets 2 to 14
#: requests a second, so that this is some seconds.
RESULT_COUNT = 32
#: Share of failures that is normal: 0.1 to 0.4% of all responses are 500, and a share below this
#: one cannot be told from it with as few results.
NORMAL_FAILURE_SHARE = 0.02
#: Results, and failures among them, that are added to those of other upstreams, so that a few
#: results do not pass for a low share.
PRIOR_RESULTS, PRIOR_FAILURES = 5.0, 1.0
#: Weight of a refusal as evidence. It costs a caller less than another failure, and a refused
#: request may be sent to another upstream.
REFUSAL_WEIGHT = 0.5


class SuccessEstimate:
    """The last results of the requests to one upstream."""

    def __init__(self) -> None:
        self._results: deque[RequestResult] = deque(maxlen=RESULT_COUNT)
        #: Number of the results that are failures.
        self.failed = 0
        #: Number of requests without any response since the last response.
        self.unanswered_in_a_row = 0

    def add(self, result: RequestResult) -> None:
        """Add the result of a request.

        :param result: the result.
        """
        if result is RequestResult.NOT_RATED:
            return
        if self.rated == RESULT_COUNT:
            self.failed -= self._results[0].is_failure
        self._results.append(result)
        self.failed += result.is_failure
        self.unanswered_in_a_row = self.unanswered_in_a_row + 1 if result.is_unanswered else 0

    def clear(self) -> None:
        """Discard all results."""
        self._results.clear()
        self.failed = 0
        self.unanswered_in_a_row = 0

    @property
    def rated(self) -> int:
        """Return the number of results."""
        return len(self._results)

    @property
    def share(self) -> float:
        """Return the share of the results that are failures; 0 without results."""
        return self.failed / self.rated if self._results else 0.0

    @property
    def lower_share(self) -> float:
        """Return the share of failures, estimated on the low side; one failure changes little."""
        return self.failed / (self.rated + PRIOR_RESULTS)

    def counts(self) -> dict[str, int]:
        """Return the number of failures by kind."""
        kinds = [result.value for result in self._results if result.is_failure]
        return {kind: kinds.count(kind) for kind in sorted(set(kinds))}

    def evidence(self, normal_share: float) -> float:
        """Return the evidence that the upstream fails more requests than others.

        This is the logarithm of the ratio of two likelihoods of the last results, that of a share
        of failures halfway between the normal one and 1, and that of the normal share, for the
        number of last results for which it is highest (a CUSUM test).

        :param normal_share: share of failures of other upstreams.
        """
        high_share = (1.0 + normal_share) / 2
        per_failure = math.log(high_share / normal_share)
        per_success = math.log((1.0 - high_share) / (1.0 - normal_share))
        total = highest = 0.0
        for result in reversed(self._results):
            if not result.is_failure:
                total += per_success
            elif result is RequestResult.REFUSED:
                total += REFUSAL_WEIGHT * per_failure
            else:
                total += per_failure
            highest = max(highest, total)
        return highest


def failure_share(estimates: Iterable[SuccessEstimate]) -> float:
    """Return the share of failures of some upstreams together, estimated on the high side.

    :param estimates: their estimates.
    """
    rated, failed = PRIOR_RESULTS, PRIOR_FAILURES
    for estimate in estimates:
        rated += estimate.rated
        failed += estimate.failed
    # A share of 1 would make every further success infinitely unlikely.
    return min(0.95, max(NORMAL_FAILURE_SHARE, failed / rated))
