"""Callers that keep calling in the background while faults are injected."""

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
    """What background callers send."""

    #: Service and operation of each kind of request, sent in turn.
    operations: tuple[tuple[str, str], ...]
    #: The keys, called in turn.
    keys: tuple[str, ...]
    #: Callers working side by side.
    callers: int
    #: Pause of a caller between two requests, in seconds.
    pause_s: float
    #: Seed of the request ids.
    seed: int


class BackgroundCallers:
    """Sends requests through all entries in turn and keeps every outcome.

    :param entries: callers' addresses of the entries.
    :param catalog: the operations.
    :param mix: what is sent.
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
            threading.Thread(target=self._call, args=(number,), daemon=True)
            for number in range(mix.callers)
        ]

    def start(self) -> None:
        """Start calling."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> list[Outcome]:
        """Stop calling, wait for the last answers and return all outcomes."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()
        return self.outcomes()

    def outcomes(self) -> list[Outcome]:
        """Return the outcomes so far, in order of their answers."""
        with self._lock:
            return list(self._outcomes)

    def served_since(self, moment: float) -> set[str]:
        """Return the keys with a whole right answer to a request sent after a moment.

        :param moment: seconds of the monotonic clock.
        """
        return {
            outcome.key
            for outcome in self.answered_since(moment)
            if outcome.sent_at >= moment and outcome.family == "ran" and outcome.right
        }

    def answered_since(self, moment: float) -> list[Outcome]:
        """Return the outcomes answered after a moment, in order of their answers.

        :param moment: seconds of the monotonic clock.
        """
        with self._lock:
            # Two answers may be entered in the other order than they came, by less than the margin.
            first = bisect.bisect_left(
                self._outcomes, moment - _ORDER_MARGIN_S, key=lambda outcome: outcome.answered_at
            )
            return self._outcomes[first:]

    def _call(self, number: int) -> None:
        source = random.Random(self._mix.seed * 1000 + number)
        callers = [Caller(entry, self._catalog) for entry in self._entries]
        turns = itertools.cycle(callers[number % len(callers) :] + callers[: number % len(callers)])
        keys = self._mix.keys[number :: self._mix.callers]
        requests = itertools.cycle(itertools.product(self._mix.operations, keys))
        while not self._stopping.is_set():
            (service, operation), key = next(requests)
            req = CallerRequest(service, operation, key, new_request_id(source))
            self._send(next(turns), req)
            self._stopping.wait(self._mix.pause_s)
        for caller in callers:
            caller.close()

    def _send(self, caller: Caller, req: CallerRequest) -> None:
        sent_at = time.monotonic()
        answer = caller.send(req)
        outcome = Outcome(
            request_id=req.request_id or "",
            stream=req.operation,
            key=req.key,
            idempotent=self._catalog.idempotent(req),
            code=int(answer.code or 0),
            family=answer.family.value,
            owner=answer.owner,
            right=answer.right,
            sent_at=sent_at,
            answered_at=time.monotonic(),
        )
        with self._lock:
            self._outcomes.append(outcome)
