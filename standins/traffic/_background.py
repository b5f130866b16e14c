"""Callers that send requests in the background while faults are injected."""

import bisect
import itertools
import random
import threading
import time
from dataclasses import dataclass

from foxtailshunt.network import Address
from standins.load import Outcome
from standins.traffic._caller import Caller, CallerRequest, OperationCatalog
from standins.traffic._request_id import new_request_id

_ORDER_MARGIN_S = 0.5


@dataclass(frozen=True, slots=True)
class BackgroundMix:
    """The requests that background callers send."""

    #: Service and operation of each kind of request, sent round-robin.
    operations: tuple[tuple[str, str], ...]
    #: The keys, used round-robin.
    keys: tuple[str, ...]
    #: Number of concurrent callers.
    callers: int
    #: Pause of each caller between requests, in seconds.
    pause_s: float
    #: Seed for the request ids.
    seed: int


class BackgroundCallers:
    """Sends requests to all nodes round-robin and records every outcome.

    :param entries: addresses at which the nodes accept callers.
    :param catalog: the operations.
    :param mix: the requests to send.
    """

    def __init__(
        self, entries: list[Address], catalog: OperationCatalog, mix: BackgroundMix
    ) -> None:
        self._catalog = catalog
        self._mix = mix
        self._entries = entries
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self._outcomes: list[Outcome] = []
        self._threads = [
            threading.Thread(target=self._run_caller, args=(number,), daemon=True)
            for number in range(mix.callers)
        ]

    def start(self) -> None:
        """Start sending."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> list[Outcome]:
        """Stop sending, wait for the last responses and return all outcomes."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()
        return self.outcomes()

    def outcomes(self) -> list[Outcome]:
        """Return the outcomes so far, ordered by arrival of the response."""
        with self._lock:
            return list(self._outcomes)

    def served_since(self, moment: float) -> set[str]:
        """Return the keys for which a request sent after a moment ran and was answered correctly.

        :param moment: seconds of the monotonic clock.
        """
        return {
            outcome.key
            for outcome in self.answered_since(moment)
            if outcome.sent_at >= moment and outcome.family == "ran" and outcome.right
        }

    def answered_since(self, moment: float) -> list[Outcome]:
        """Return the outcomes of responses since a moment, ordered by arrival of the response.

        :param moment: seconds of the monotonic clock.
        """
        with self._lock:
            # Concurrent callers may append outcomes out of order, by less than the margin.
            first = bisect.bisect_left(
                self._outcomes, moment - _ORDER_MARGIN_S, key=lambda outcome: outcome.answered_at
            )
            return self._outcomes[first:]

    def _run_caller(self, number: int) -> None:
        rng = random.Random(self._mix.seed * 1000 + number)
        callers = [Caller(entry, self._catalog) for entry in self._entries]
        caller_cycle = itertools.cycle(
            callers[number % len(callers) :] + callers[: number % len(callers)]
        )
        keys = self._mix.keys[number :: self._mix.callers]
        requests = itertools.cycle(itertools.product(self._mix.operations, keys))
        while not self._stopping.is_set():
            (service, operation), key = next(requests)
            req = CallerRequest(service, operation, key, new_request_id(rng))
            self._send(next(caller_cycle), req)
            self._stopping.wait(self._mix.pause_s)
        for caller in callers:
            caller.close()

    def _send(self, caller: Caller, req: CallerRequest) -> None:
        sent_at = time.monotonic()
        response = caller.send(req)
        outcome = Outcome(
            request_id=req.request_id or "",
            stream=req.operation,
            key=req.key,
            idempotent=self._catalog.idempotent(req),
            code=int(response.code or 0),
            family=response.family.value,
            owner=response.owner,
            right=response.right,
            sent_at=sent_at,
            answered_at=time.monotonic(),
        )
        with self._lock:
            self._outcomes.append(outcome)
