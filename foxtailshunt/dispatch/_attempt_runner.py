"""Runs one attempt to send a request and tells what it means."""

from functools import singledispatchmethod
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
from foxtailshunt.dispatch._send_progress import SendProgress
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


class ClientSource(Protocol):
    """Knows the client of each upstream."""

    def client(self, upstream_id: str) -> UpstreamClient:
        """Return the client of an upstream.

        :param upstream_id: the upstream.
        """
        ...


class AttemptRunner:
    """Sends requests once each; safe to use from any thread.

    :param right: checked after each attempt.
    :param upstreams: the clients.
    :param clock: the clock.
    :param metrics: where mismatches and lapses are counted.
    """

    def __init__(
        self, right: SendRight, upstreams: ClientSource, clock: Clock, metrics: DispatchMetrics
    ) -> None:
        self._right = right
        self._upstreams = upstreams
        self._clock = clock
        self._metrics = metrics

    def run(self, call: Call, permission: SendPermission, progress: SendProgress) -> AttemptResult:
        """Send a request and wait for its answer.

        :param call: the call, whose turn is granted.
        :param permission: the permission to send, checked just before.
        :param progress: the attempts before this one.
        """
        sent_at = self._clock.now()
        may_retry = call.operation.idempotent and progress.reserve_early_retry(call.state.budget)
        window = choose_window(call, permission, sent_at, may_retry)
        if window is None:
            return AttemptResult(Outcome(ResultCode.TOO_LATE, "no time left to send"), Follow.END)
        end = self._send(call, _work_request(call, permission, window, progress.retries))
        result = self._judge(end, call, window)
        if result is TIMED_OUT_EARLY:
            progress.early_timeouts += 1
        if result.outcome.code is ResultCode.OK:
            call.state.record(call.operation.name, self._clock.now() - sent_at)
        if result.may_be_busy:
            result = self._after_cancel(call, window, progress, result)
        return self._with_right_checked(call, result)

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

    def _send(self, call: Call, req: WorkRequest) -> WorkReply | UpstreamConnectionError:
        try:
            return self._upstreams.client(call.state.upstream_id).send_work(req)
        except UpstreamConnectionError as exc:
            return exc

    @singledispatchmethod
    def _judge(self, end: object, call: Call, window: AttemptWindow) -> AttemptResult:
        raise TypeError(f"not the end of an attempt: {end!r}")

    @_judge.register
    def _judge_reply(self, end: WorkReply, call: Call, window: AttemptWindow) -> AttemptResult:
        if end.request_id != call.req.request_id:
            self._metrics.count_mismatch(call.service.name)
            return MISMATCH
        if end.outcome is WorkOutcome.RAN:
            outcome = Outcome(ResultCode.OK, "", end.status, end.headers, end.body)
            return AttemptResult(outcome, Follow.END)
        if end.outcome is WorkOutcome.SHED:
            call.state.limit.note_shed()
        if end.outcome is WorkOutcome.EXPIRED and not window.is_last:
            return EXPIRED_EARLY
        return REFUSALS[end.outcome]

    @_judge.register
    def _judge_error(
        self, end: UpstreamConnectionError, call: Call, window: AttemptWindow
    ) -> AttemptResult:
        if not end.sent:
            return NOT_SENT
        if self._clock.now() < window.ends_at:
            return CONNECTION_LOST
        return TIMED_OUT if window.is_last else TIMED_OUT_EARLY

    def _after_cancel(
        self, call: Call, window: AttemptWindow, progress: SendProgress, result: AttemptResult
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
