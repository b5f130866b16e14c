"""Makes requests that must not repeat run at most once here."""

from collections.abc import Callable

import xxhash

from foxtailshunt.config import Configuration
from foxtailshunt.dispatch._call import Call
from foxtailshunt.dispatch._outcome import Outcome
from foxtailshunt.dispatch._request_memory import Claim, MemoryEntry, RequestMemory
from foxtailshunt.errors import ResultCode
from foxtailshunt.protocol import ExecuteRequest
from foxtailshunt.timing import Clock


class RepeatGuard:
    """Runs a request unless its id is known; safe to use from any thread.

    :param memory: the ids.
    :param clock: the clock.
    """

    def __init__(self, memory: RequestMemory, clock: Clock) -> None:
        self._memory = memory
        self._clock = clock

    def refusal(self, issued_at: float, cfg: Configuration) -> Outcome | None:
        """Return why an id can't be taken because of its age, or None.

        :param issued_at: when the id was drawn, in seconds since the epoch.
        :param cfg: the configuration.
        """
        age_s = self._clock.wall_time() - issued_at
        if age_s > cfg.request_memory_s:
            return Outcome(ResultCode.MEMORY_TOO_YOUNG, "the request id is older than the memory")
        if age_s < -cfg.request_clock_skew_s:
            return Outcome(ResultCode.BAD_REQUEST, "the request id lies in the future")
        return None

    def run_once(self, call: Call, cfg: Configuration, run: Callable[[], Outcome]) -> Outcome:
        """Run a request, or answer it from the first request of its id.

        :param call: a call with an issue time.
        :param cfg: the configuration.
        :param run: runs the request.
        """
        fingerprint = _fingerprint(call.req)
        while True:
            claim, entry = self._memory.claim(
                call.req.request_id,
                fingerprint,
                self._expires_at(call, cfg),
                call.service.name,
                call.turn,
            )
            if entry is None:
                return Outcome(ResultCode.QUEUE_FULL, "the request memory is full")
            if claim is Claim.FIRST:
                return self._run_first(entry, run)
            outcome = self._meet_first(call, entry, fingerprint)
            if outcome is not None:
                return outcome

    def _run_first(self, entry: MemoryEntry, run: Callable[[], Outcome]) -> Outcome:
        outcome = Outcome(ResultCode.DEADLINE_EXCEEDED, "the dispatcher failed")
        try:
            outcome = run()
        finally:
            self._memory.finish(entry, outcome)
        return outcome

    def _meet_first(self, call: Call, entry: MemoryEntry, fingerprint: int) -> Outcome | None:
        if entry.fingerprint != fingerprint:
            return Outcome(ResultCode.BAD_REQUEST, "the id belongs to another request")
        remaining_s = call.turn.deadline_at - self._clock.now()
        if not self._memory.wait_for_end(entry, remaining_s):
            return Outcome(ResultCode.STILL_RUNNING, "the first request of this id is running")
        return entry.outcome_for(fingerprint)

    def _expires_at(self, call: Call, cfg: Configuration) -> float:
        age_s = self._clock.wall_time() - (call.issued_at or 0.0)
        keep_s = cfg.request_memory_s + cfg.request_clock_skew_s - age_s
        return self._clock.now() + keep_s


def _fingerprint(req: ExecuteRequest) -> int:
    text = "\0".join((req.service_name, req.operation, req.key, req.method, req.target))
    return xxhash.xxh3_64_intdigest(req.body, xxhash.xxh3_64_intdigest(text.encode()))
