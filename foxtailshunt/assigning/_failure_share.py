"""Share of failures of the recent requests to an upstream."""

import math
from collections.abc import Iterable
from statistics import median_low

#: Least multiple of the median of a service from which a share of failures is far above it.
MIN_SHARE_RATIO = 2.0
#: Least difference from the median, in standard deviations of a share that is
#: estimated from as many requests, and least median that is assumed for this.
MIN_DEVIATIONS, MIN_USUAL_SHARE = 4.0, 0.05


class FailureShare:
    """Share of failures of recent requests, whose weight decays.

    :param time_s: time constant in seconds.
    :param prior_requests: weight of the assumption that requests are served, in requests.
    """

    def __init__(self, time_s: float, prior_requests: float) -> None:
        self._time_s = time_s
        self._prior_requests = prior_requests
        self._requests = self._failures = self._updated_at = 0.0

    def add(self, requests: int, failures: int, now: float) -> None:
        """Add requests.

        :param requests: number of requests.
        :param failures: number of failed ones among them.
        :param now: the time in seconds.
        """
        weight = self._weight(now)
        self._requests = self._requests * weight + requests
        self._failures = self._failures * weight + failures
        self._updated_at = now

    def requests(self, now: float) -> float:
        """Return the number of recent requests.

        :param now: the time in seconds.
        """
        return self._requests * self._weight(now)

    @property
    def value(self) -> float:
        """Return the share of failures."""
        return self._failures / (self._requests + self._prior_requests)

    def _weight(self, now: float) -> float:
        return math.exp(-max(0.0, now - self._updated_at) / self._time_s)


def is_outlier(share: FailureShare, usual: float, now: float) -> bool:
    """Return whether the share of failures of an upstream is far above the usual one.

    :param share: the share of the upstream.
    :param usual: lower median of the shares of the upstreams of its service.
    :param now: the time in seconds.
    """
    assumed = min(0.95, max(MIN_USUAL_SHARE, usual))
    deviation = math.sqrt(assumed * (1.0 - assumed) / share.requests(now))
    is_certain = share.value - assumed >= MIN_DEVIATIONS * deviation
    return is_certain and share.value >= MIN_SHARE_RATIO * usual


def usual_share(shares: Iterable[FailureShare]) -> float:
    """Return the share of failures that is usual for the upstreams of a service.

    :param shares: the shares that are known.
    """
    # The additional 0 decides if only one upstream gets requests: no other one fails like it.
    return median_low([0.0, *(share.value for share in shares)])
