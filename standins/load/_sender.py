"""Sends the streams of one load process."""

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

_STACK_BYTES = 256 * 1024


class _Schedule:
    """Hands out the due times of one stream's requests, each once.

    :param stream: the stream.
    :param start: start of the load, monotonic seconds.
    :param duration_s: length of the load in seconds.
    :param source: random numbers for the jitter.
    """

    def __init__(
        self, stream: StreamSpec, start: float, duration_s: float, source: random.Random
    ) -> None:
        self._interval_s = 1 / stream.rate_per_s
        self._next = start + source.random() * self._interval_s
        self._end = start + duration_s
        self._source = source
        self._lock = threading.Lock()

    def take(self) -> float | None:
        """Return the next due time, or None after the end.

        Due times that no worker was free for within a second are skipped, so that a flood stays a
        flood at its rate and does not pile up behind slow answers.
        """
        with self._lock:
            now = time.monotonic()
            if self._next < now - 1:
                self._next = now - 1
            due = self._next
            if due >= self._end or now >= self._end:
                return None
            self._next += self._interval_s * (0.5 + self._source.random())
            return due


class Sender:
    """One load process.

    :param spec: what to send.
    """

    def __init__(self, spec: LoadSpec) -> None:
        self._spec = spec
        self._catalog = OperationCatalog(Path(spec.cfg_path).read_text(encoding="utf-8"))
        self._random = random.Random(spec.seed)
        self._lock = threading.Lock()
        self._summaries = {stream.name: StreamSummary() for stream in spec.streams}
        self._counted_from = 0.0

    def run(self) -> dict[str, StreamSummary]:
        """Send everything and return the summaries by stream name."""
        threading.stack_size(_STACK_BYTES)
        start = time.monotonic()
        self._counted_from = start + self._spec.warm_up_s
        with Path(self._spec.outcomes_path).open("a", encoding="utf-8") as outcomes:
            threads = self._make_threads(start, outcomes)
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
        for summary in self._summaries.values():
            summary.duration_s = self._spec.duration_s - self._spec.warm_up_s
        return self._summaries

    def _make_threads(self, start: float, outcomes: TextIO) -> list[threading.Thread]:
        threads = []
        for stream in self._spec.streams:
            source = random.Random(self._random.random())
            schedule = _Schedule(stream, start, self._spec.duration_s, source)
            for number in range(stream.workers):
                arguments = (stream, schedule, number, random.Random(source.random()), outcomes)
                threads.append(threading.Thread(target=self._work, args=arguments))
        return threads

    def _work(
        self,
        stream: StreamSpec,
        schedule: _Schedule,
        number: int,
        source: random.Random,
        outcomes: TextIO,
    ) -> None:
        entry = parse_address(self._spec.entries[number % len(self._spec.entries)])
        caller = Caller(entry, self._catalog)
        while (due := schedule.take()) is not None:
            delay_s = due - time.monotonic()
            if delay_s > 0:
                time.sleep(delay_s)
            key = f"key-{source.randrange(self._spec.key_count):06d}"
            req = CallerRequest(stream.service, stream.operation, key, new_request_id(source))
            sent_at = time.monotonic()
            answer = caller.send(req)
            self._count(stream, req, answer, due, sent_at, outcomes)
        caller.close()

    def _count(
        self,
        stream: StreamSpec,
        req: CallerRequest,
        answer: CallerResponse,
        due: float,
        sent_at: float,
        outcomes: TextIO,
    ) -> None:
        answered_at = time.monotonic()
        elapsed_s = answered_at - due
        in_time = answered_at - sent_at <= self._catalog.deadline_s(req)
        good = answer.right and answer.family is Family.RAN and in_time
        code_name = answer.code.name if answer.code is not None else "NO_ANSWER"
        outcome = Outcome(
            request_id=req.request_id or "",
            stream=stream.name,
            key=req.key,
            idempotent=self._catalog.idempotent(req),
            code=int(answer.code or 0),
            family=answer.family.value,
            owner=answer.owner,
            right=answer.right,
            sent_at=sent_at,
            answered_at=answered_at,
        )
        with self._lock:
            outcomes.write(outcome_to_line(outcome))
            if due >= self._counted_from:
                summary = self._summaries[stream.name]
                summary.add(code_name, elapsed_s, good, not answer.right)
