"""Sends one request to its upstream: attempts, timeouts and retries."""

import random
from typing import Protocol

from foxtailshunt.dispatch._attempt import (
    CONNECTION_LOST,
    EXPIRED_EARLY,
    GIVEN_UP,
    MISMATCH,
    NOT_SENT,
    REFUSALS,
    RIGHT_LAPSED,
    TIMED_OUT,
    TIMED_OUT_EARLY,
    AttemptResult,
    Follow,
)
from foxtailshunt.dispatch._attempt_window import AttemptWindow, choose_window
from foxtailshunt.dispatch._call import Call
from foxtailshunt.dispatch._dispatch_metrics import DispatchMetrics
from foxtailshunt.dispatch._outcome import Outcome
from foxtailshunt.dispatch._retry_budget import RetryBudget
from foxtailshunt.dispatch._turn import TurnState
from foxtailshunt.errors import Family, ResultCode
from foxtailshunt.ownership import SendPermission, SendRight
from foxtailshunt.timing import Clock
from foxtailshunt.upstream import (
    CancelOutcome,
    ClockReading,
    UpstreamClient,
    UpstreamConnectionError,
    WorkOutcome,
    WorkReply,
    WorkRequest,
)

#: Pause before the first retry, in seconds; doubled for each further one, and drawn at random
#: between half and the whole.
_FIRST_PAUSE_S = 0.01
_MAX_PAUSE_S = 0.16


#: Most attempts of a request that end before its deadline for want of an answer.
_MAX_EARLY_TIMEOUTS = 2
#: Time by which a timeout may seem to end early, in seconds.
_TIMEOUT_TOLERANCE_S = 0.001


class ClientSource(Protocol):
    """Knows the client of each upstream."""

    def client(self, upstream_id: str) -> UpstreamClient:
        """Return the client of an upstream.

        :param upstream_id: the upstream.
        """
        ...


class _Progress:
    """What the attempts of one request have led to."""

    def __init__(self) -> None:
        self.retries = 0
        self.early_timeouts = 0
        #: When every attempt whose end is not known is surely over, in monotonic seconds.
        self.busy_until = 0.0
        self._unknown: Outcome | None = None
        self._has_reserved = False

    def note(self, outcome: Outcome) -> None:
        if outcome.family is Family.UNKNOWN:
            self._unknown = outcome

    def final_outcome(self, last: Outcome) -> Outcome:
        if self._unknown is not None and last.family is Family.NOT_RUN:
            return self._unknown
        return last

    def reserve_retry(self, budget: RetryBudget) -> bool:
        return self.early_timeouts < _MAX_EARLY_TIMEOUTS and self.reserve(budget)

    def reserve(self, budget: RetryBudget) -> bool:
        self._has_reserved = self._has_reserved or budget.take()
        return self._has_reserved

    def spend(self, budget: RetryBudget) -> bool:
        if not self.reserve(budget):
            return False
        self._has_reserved = False
        return True

    def give_back(self, budget: RetryBudget) -> None:
        if self._has_reserved:
            budget.give_back()


class Sender:
    """Sends requests that hold a turn; safe to use from any thread.

    :param right: checked right before each attempt and after it.
    :param upstreams: the clients.
    :param clock: the clock.
    :param metrics: where retries are counted.
    """

    def __init__(
        self, right: SendRight, upstreams: ClientSource, clock: Clock, metrics: DispatchMetrics
    ) -> None:
        self._right = right
        self._upstreams = upstreams
        self._clock = clock
        self._metrics = metrics

    def send(self, call: Call, skew_s: float) -> Outcome:
        """Send a request, with retries, and return its outcome.

        The outcome is not run only if no attempt may have run.

        :param call: a call whose turn is granted; the turn's slot is given back.
        :param skew_s: largest difference between a caller's clock and ours, in seconds.
        """
        progress = _Progress()
        try:
            while True:
                result = self._attempt_with_right(call, skew_s, progress)
                progress.note(result.outcome)
                if not self._may_follow(call, result, progress):
                    return progress.final_outcome(result.outcome)
                progress.retries += 1
                self._metrics.count_retry(call.service.name)
                self._pause(call, progress.retries)
        finally:
            self._end(call, progress)

    def cancel(self, upstream_id: str, request_id: str, timeout_s: float) -> CancelOutcome:
        """Ask an upstream to give up a request.

        :param upstream_id: the upstream.
        :param request_id: the request.
        :param timeout_s: longest wait in seconds.
        """
        try:
            return self._upstreams.client(upstream_id).cancel(request_id, timeout_s)
        except UpstreamConnectionError:
            return CancelOutcome.UNKNOWN

    def _attempt_with_right(
        self, call: Call, skew_s: float, progress: "_Progress"
    ) -> AttemptResult:
        permission = self._await_right(call)
        if isinstance(permission, ResultCode):
            return _end_with(permission, "no right to send")
        if self._is_memory_too_young(call, skew_s):
            call.state.pulls.wait(call.turn.deadline_at)
            permission = self._await_right(call)
            if isinstance(permission, ResultCode):
                return _end_with(permission, "no right to send")
        if self._is_memory_too_young(call, skew_s):
            return _end_with(
                ResultCode.MEMORY_TOO_YOUNG, "another dispatcher may have run this request id"
            )
        # Asked after the age: memory is entered before ids of that age may be sent.
        if call.turn.earlier is not None:
            return AttemptResult(call.turn.earlier, Follow.END)
        call.state.note_permission(permission)
        return self._attempt(call, permission, progress)

    def _await_right(self, call: Call) -> SendPermission | ResultCode:
        """Return the permission to send now; the turn waits again while there is none."""
        turn = call.turn
        while True:
            if turn.cancel_requested:
                return ResultCode.CANCELLED
            refusal = call.state.refusal(turn)
            if refusal is not None:
                return refusal
            permission = self._right.check(call.state.upstream_id, turn.slot, turn.key)
            if not isinstance(permission, ResultCode):
                return permission
            call.state.queue.requeue(turn)
            call.state.queue.wait(turn)
            if turn.state is TurnState.REJECTED:
                return turn.code or permission

    def _is_memory_too_young(self, call: Call, skew_s: float) -> bool:
        if call.issued_at is None or call.req.drawn_by_entry:
            return False
        since = call.state.memory_since(call.turn.slot, call.turn.key)
        return call.issued_at <= since + skew_s

    def _attempt(
        self, call: Call, permission: SendPermission, progress: "_Progress"
    ) -> AttemptResult:
        sent_at = self._clock.now()
        may_retry = call.operation.idempotent and progress.reserve_retry(call.state.budget)
        window = choose_window(call, permission, sent_at, may_retry)
        if window is None:
            return _end_with(ResultCode.TOO_LATE, "no time left to send")
        req = _work_request(call, permission, window, progress.retries)
        try:
            reply = self._upstreams.client(call.state.upstream_id).send_work(req)
        except UpstreamConnectionError as exc:
            result = self._after_failure(window, progress, exc)
        else:
            result = self._after_reply(call, window, reply, self._clock.now() - sent_at)
        if result.may_be_busy:
            result = self._after_cancel(call, window, progress, result)
        return self._with_right_checked(call, result)

    def _after_reply(
        self, call: Call, window: AttemptWindow, reply: WorkReply, duration_s: float
    ) -> AttemptResult:
        if reply.request_id != call.req.request_id:
            self._metrics.count_mismatch(call.service.name)
            return MISMATCH
        if reply.outcome is WorkOutcome.RAN:
            call.state.record(call.operation.name, duration_s)
            call.state.budget.note_success()
            outcome = Outcome(ResultCode.OK, "", reply.status, reply.headers, reply.body)
            return AttemptResult(outcome, Follow.END)
        if reply.outcome is WorkOutcome.SHED:
            call.state.limit.note_shed()
        if reply.outcome is WorkOutcome.EXPIRED and not window.is_last:
            return EXPIRED_EARLY
        return REFUSALS[reply.outcome]

    def _after_failure(
        self, window: AttemptWindow, progress: "_Progress", exc: UpstreamConnectionError
    ) -> AttemptResult:
        if not exc.sent:
            return NOT_SENT
        if self._clock.now() < window.ends_at - _TIMEOUT_TOLERANCE_S:
            return CONNECTION_LOST
        if window.is_last:
            return TIMED_OUT
        progress.early_timeouts += 1
        return TIMED_OUT_EARLY

    def _after_cancel(
        self, call: Call, window: AttemptWindow, progress: "_Progress", result: AttemptResult
    ) -> AttemptResult:
        """Cancel a request that may still be at the upstream, unless it is to be sent again.

        A confirmed cancellation frees the slot. It proves that the request was not run only once
        the deadline has passed at the upstream: before that, a request left in a socket may yet
        arrive, and the upstream may have confirmed the end of an earlier attempt.
        """
        progress.busy_until = max(progress.busy_until, window.ends_at)
        if call.operation.idempotent and result.follow is Follow.RETRY_IDEMPOTENT:
            return result
        answer = self.cancel(call.state.upstream_id, call.req.request_id, window.cancel_timeout_s)
        if answer is not CancelOutcome.UNKNOWN:
            progress.busy_until = 0.0
        is_over = result is TIMED_OUT and answer is CancelOutcome.CANCELLED
        return GIVEN_UP if is_over else result

    def _with_right_checked(self, call: Call, result: AttemptResult) -> AttemptResult:
        """Return a result, or that the right lapsed while the request was at the upstream.

        An answer of an upstream that checks fences stands, and so does any proof of not run.
        """
        family = result.outcome.family
        if family is Family.NOT_RUN or (family is Family.RAN and call.state.checks_fences):
            return result
        if self._right.holds_assent(call.state.upstream_id):
            return result
        self._metrics.count_lapse(call.service.name)
        return RIGHT_LAPSED

    def _may_follow(self, call: Call, result: AttemptResult, progress: "_Progress") -> bool:
        if result.follow is Follow.END or call.turn.cancel_requested:
            return False
        if result.follow is Follow.RETRY_IDEMPOTENT and not call.operation.idempotent:
            return False
        if self._clock.now() + _FIRST_PAUSE_S + call.turn.expected_s >= call.turn.deadline_at:
            return False
        if not progress.spend(call.state.budget):
            self._metrics.count_budget_exhausted(call.service.name)
            return False
        return True

    def _end(self, call: Call, progress: "_Progress") -> None:
        progress.give_back(call.state.budget)
        if progress.busy_until > self._clock.now():
            call.state.queue.release_at(call.turn, progress.busy_until)
        else:
            call.state.release(call.turn)

    def _pause(self, call: Call, retries: int) -> None:
        longest_s = min(_MAX_PAUSE_S, _FIRST_PAUSE_S * 2 ** (retries - 1))
        call.turn.wait(longest_s * random.uniform(0.5, 1))


def _end_with(code: ResultCode, detail: str) -> AttemptResult:
    return AttemptResult(Outcome(code, detail), Follow.END)


def _work_request(
    call: Call, permission: SendPermission, window: AttemptWindow, retries: int
) -> WorkRequest:
    req = call.req
    return WorkRequest(
        request_id=req.request_id,
        method=req.method,
        target=req.target,
        headers=call.headers,
        body=req.body,
        key=req.key,
        slot=req.slot,
        fence=permission.fence,
        reading=ClockReading(
            permission.boot_id, permission.reading_ms, permission.reading_received_at
        ),
        deadline_after_reading_ms=window.deadline_after_reading_ms,
        timeout_s=window.timeout_s,
        fresh_connection=retries > 0 or not call.operation.idempotent,
    )
