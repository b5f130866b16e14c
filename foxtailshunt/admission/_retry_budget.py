"""Retry budgets, which limit the share of requests that are sent again."""

import threading
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

#: Share of the fleet's retries that are used; the rest is a margin for nodes joining and leaving,
#: and for retries that were saved up before the window in which they are sent.
RETRY_BUDGET_SHARE = 0.7
#: Window in which the fleet's retries are counted, in seconds.
WINDOW_S = 10.0
#: Share of a window's retries that a node may save up. With the requests of the window before
#: counting as well, ``RETRY_BUDGET_SHARE * (1 + SAVED_SHARE)`` must not exceed 1.
SAVED_SHARE = 0.4
#: Length of the intervals in which requests are counted, in seconds.
_INTERVAL_S = 1.0


@dataclass(slots=True)
class _Account:
    """The budget of one service."""

    #: Retries that may be sent now; None before the first request.
    tokens: float | None = None
    #: Start in seconds and number of requests of each interval of the last window.
    intervals: deque[list[float]] = field(default_factory=deque)
    #: Number of requests in these intervals.
    requests: float = 0.0


class RetryBudget:
    """Limits the retries of each service to a share of its requests, plus a small reserve.

    When upstreams fail or refuse many requests at once, retrying all of them would double the
    load. The reserve belongs to the whole fleet; each node has its part of it. A node of a large
    fleet has hardly any, so it also saves up retries of its own requests: at most a share of those
    that the requests of the last window allow, so that the fleet stays within its limit in every
    window.

    :param ratio: share of its requests that a service may be sent again.
    :param fleet_reserve: number of retries that all nodes together may send beyond that.
    :param nodes: returns the number of nodes that share the reserve.
    :param now: returns seconds of a clock.
    """

    def __init__(
        self,
        ratio: float,
        fleet_reserve: float,
        nodes: Callable[[], int],
        now: Callable[[], float],
    ) -> None:
        self._ratio = ratio * RETRY_BUDGET_SHARE
        self._fleet_reserve = fleet_reserve * RETRY_BUDGET_SHARE
        self._nodes = nodes
        self._now = now
        self._lock = threading.Lock()
        self._accounts: dict[str, _Account] = {}

    def record_first_attempt(self, service: str) -> None:
        """Record the first attempt of a request.

        :param service: name of the service.
        """
        with self._lock:
            account = self._account(service)
            now = self._now()
            if not account.intervals or now - account.intervals[-1][0] >= _INTERVAL_S:
                account.intervals.append([now, 0.0])
            account.intervals[-1][1] += 1
            account.requests += 1
            self._credit(account, self._ratio)

    def available(self, service: str) -> float:
        """Return the number of retries that the budget allows now.

        :param service: name of the service.
        """
        with self._lock:
            account = self._account(service)
            self._credit(account, 0.0)
            return account.tokens or 0.0

    def try_acquire(self, service: str) -> bool:
        """Take one retry from the budget.

        :param service: name of the service.
        :returns: False if the budget is exhausted.
        """
        with self._lock:
            account = self._account(service)
            self._credit(account, 0.0)
            if account.tokens is None or account.tokens < 1:
                return False
            account.tokens -= 1
            return True

    def _account(self, service: str) -> _Account:
        account = self._accounts.setdefault(service, _Account())
        oldest = self._now() - WINDOW_S
        while account.intervals and account.intervals[0][0] < oldest:
            account.requests -= account.intervals.popleft()[1]
        return account

    def _credit(self, account: _Account, tokens: float) -> None:
        # The fleet may have grown, or the requests may have become fewer, since the last call.
        part = self._fleet_reserve / self._nodes()
        held = part if account.tokens is None else account.tokens
        saved = SAVED_SHARE * self._ratio * account.requests
        # A budget that holds less than one retry could never grant any.
        account.tokens = min(held + tokens, max(1.0, part + saved))
