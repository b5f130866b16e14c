"""Recorded traces of callers' requests, and their replay with a check of the results."""

import json
import random
import threading
import time
from collections.abc import Callable, Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from foxtailshunt.errors import ResultCode
from foxtailshunt.network import Address
from standins.traffic._caller import Caller, CallerRequest, CallerResponse, OperationCatalog
from standins.traffic._request_id import new_request_id

_WORKERS = 32


@dataclass(frozen=True, slots=True)
class TraceLine:
    """One recorded request and its expected result."""

    #: Milliseconds after the start of the trace.
    at_ms: int
    #: Name of the caller.
    caller: str
    #: Name of the service.
    service: str
    #: Name of the operation.
    operation: str
    #: The key.
    key: str
    #: Name of the expected result code.
    expect: str
    #: Request id to send unchanged; None to generate one.
    request_id: str | None = None


@dataclass(frozen=True, slots=True)
class ReplayResult:
    """Result of one replayed request."""

    #: The recorded request.
    line: TraceLine
    #: The response to it.
    answer: CallerResponse

    @property
    def as_expected(self) -> bool:
        """Return whether the response is complete and its own, and has the expected code."""
        code = self.answer.code
        return self.answer.right and code is not None and code.name == self.line.expect


def read_trace(path: Path) -> list[TraceLine]:
    """Read a trace from a file with one JSON object a line.

    :param path: the file.
    """
    with path.open(encoding="utf-8") as lines:
        return [TraceLine(**json.loads(line)) for line in lines if line.strip()]


def replay_trace(
    trace: list[TraceLine],
    entries: list[Address],
    catalog: OperationCatalog,
    on_result: Callable[[ReplayResult], None],
    seed: int,
) -> list[ReplayResult]:
    """Send each request at its recorded time, to the nodes round-robin.

    :param trace: the recorded requests.
    :param entries: addresses at which the nodes accept callers.
    :param catalog: the operations.
    :param on_result: called with each result in order of completion.
    :param seed: seed for the request ids.
    :returns: one result for each recorded request, in the order of the trace.
    """
    replay = _Replay(trace, entries, catalog, on_result, seed)
    return replay.run()


class _Replay:
    def __init__(
        self,
        trace: list[TraceLine],
        entries: list[Address],
        catalog: OperationCatalog,
        on_result: Callable[[ReplayResult], None],
        seed: int,
    ) -> None:
        self._trace = trace
        self._callers = [Caller(entry, catalog, _WORKERS) for entry in entries]
        self._on_result = on_result
        self._random = random.Random(seed)
        self._futures: list[Future[ReplayResult]] = []
        self._request_ids: list[str] = []
        self._lock = threading.Lock()

    def run(self) -> list[ReplayResult]:
        started_at = time.monotonic()
        with ThreadPoolExecutor(_WORKERS) as pool:
            for index, line in self._lines_when_due(started_at):
                self._request_ids.append(self._request_id_of(line))
                self._futures.append(pool.submit(self._send, index, line))
            results = [future.result() for future in self._futures]
        for caller in self._callers:
            caller.close()
        return results

    def _lines_when_due(self, started_at: float) -> Iterator[tuple[int, TraceLine]]:
        for index, line in enumerate(self._trace):
            delay_s = started_at + line.at_ms / 1000 - time.monotonic()
            if delay_s > 0:
                time.sleep(delay_s)
            yield index, line

    def _request_id_of(self, line: TraceLine) -> str:
        return line.request_id or new_request_id(self._random)

    def _send(self, index: int, line: TraceLine) -> ReplayResult:
        caller = self._callers[index % len(self._callers)]
        req = CallerRequest(line.service, line.operation, line.key, self._request_ids[index])
        result = ReplayResult(line, caller.send(req))
        with self._lock:
            self._on_result(result)
        return result


def count_by_code(results: list[ReplayResult]) -> dict[str, int]:
    """Return the number of results by name of the result code.

    :param results: the results.
    """
    counts: dict[str, int] = {}
    for result in results:
        code: ResultCode | None = result.answer.code
        name = code.name if code is not None else "NO_ANSWER"
        counts[name] = counts.get(name, 0) + 1
    return counts
