"""Sends the request streams of one load process."""

import random
import threading
import time
from pathlib import Path
from typing import TextIO

from foxtailshunt.errors import Family
from foxtailshunt.network import parse_address
from standins.load._outcomes import Outcome, outcome_to_line
from standins.load._spec import LoadSpec, StreamSpec
from standins.load._summary import StreamSummary
from standins.traffic import Caller, CallerRequest, CallerResponse, OperationCatalog, new_request_id

_THREAD_STACK_BYTES = 256 * 1024


class _Schedule:
    """Issues the due times of one stream's requests, each to one worker.

    :param stream: the stream.
    :param start: start of the load, in seconds of the monotonic clock.
    :param duration_s: duration of the load in seconds.
    :param rng: random number generator for the jitter.
    """

    def __init__(
        self, stream: StreamSpec, start: float, duration_s: float, rng: random.Random
    ) -> None:
        self._interval_s = 1 / stream.rate_per_s
        self._next_due = start + rng.random() * self._interval_s
        self._end = start + duration_s
        self._rng = rng
        self._lock = threading.Lock()

    def next_due(self) -> float | None:
        """Return the next due time, or None after the end.

        Due times are skipped if no worker was free within a second. A flood thus keeps its rate
        instead of accumulating a backlog behind slow responses.
        """
        with self._lock:
            now = time.monotonic()
            if self._next_due < now - 1:
                self._next_due = now - 1
            due = self._next_due
            if due >= self._end or now >= self._end:
                return None
            self._next_due += self._interval_s * (0.5 + self._rng.random())
            return due


class Sender:
    """Sends the requests of one load process.

    :param spec: the requests to send.
    """

    def __init__(self, spec: LoadSpec) -> None:
        self._spec = spec
        self._catalog = OperationCatalog(Path(spec.cfg_path).read_text(encoding="utf-8"))
        self._random = random.Random(spec.seed)
        self._lock = threading.Lock()
        self._summaries = {stream.name: StreamSummary() for stream in spec.streams}
        self._measured_from = 0.0

    def run(self) -> dict[str, StreamSummary]:
        """Send all streams and return the summaries by stream name."""
        threading.stack_size(_THREAD_STACK_BYTES)
        start = time.monotonic()
        self._measured_from = start + self._spec.warm_up_s
        with Path(self._spec.outcomes_path).open("a", encoding="utf-8") as outcomes:
            threads = self._create_threads(start, outcomes)
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
        for summary in self._summaries.values():
            summary.duration_s = self._spec.duration_s - self._spec.warm_up_s
        return self._summaries

    def _create_threads(self, start: float, outcomes: TextIO) -> list[threading.Thread]:
        threads = []
        for stream in self._spec.streams:
            rng = random.Random(self._random.random())
            schedule = _Schedule(stream, start, self._spec.duration_s, rng)
            for number in range(stream.workers):
                arguments = (stream, schedule, number, random.Random(rng.random()), outcomes)
                threads.append(threading.Thread(target=self._run_worker, args=arguments))
        return threads

    def _run_worker(
        self,
        stream: StreamSpec,
        schedule: _Schedule,
        number: int,
        rng: random.Random,
        outcomes: TextIO,
    ) -> None:
        entry = parse_address(self._spec.entries[number % len(self._spec.entries)])
        caller = Caller(entry, self._catalog)
        while (due := schedule.next_due()) is not None:
            delay_s = due - time.monotonic()
            if delay_s > 0:
                time.sleep(delay_s)
            key = f"key-{rng.randrange(self._spec.key_count):06d}"
            req = CallerRequest(stream.service, stream.operation, key, new_request_id(rng))
            sent_at = time.monotonic()
            response = caller.send(req)
            self._record(stream, req, response, due, sent_at, outcomes)
        caller.close()

    def _record(
        self,
        stream: StreamSpec,
        req: CallerRequest,
        response: CallerResponse,
        due: float,
        sent_at: float,
        outcomes: TextIO,
    ) -> None:
        answered_at = time.monotonic()
        elapsed_s = answered_at - due
        in_time = answered_at - sent_at <= self._catalog.deadline_s(req)
        good = response.right and response.family is Family.RAN and in_time
        code_name = response.code.name if response.code is not None else "NO_ANSWER"
        outcome = Outcome(
            request_id=req.request_id or "",
            stream=stream.name,
            key=req.key,
            idempotent=self._catalog.idempotent(req),
            code=int(response.code or 0),
            family=response.family.value,
            owner=response.owner,
            right=response.right,
            sent_at=sent_at,
            answered_at=answered_at,
        )
        with self._lock:
            outcomes.write(outcome_to_line(outcome))
            if due >= self._measured_from:
                summary = self._summaries[stream.name]
                summary.add(code_name, elapsed_s, good, not response.right)
