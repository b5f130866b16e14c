"""Sends one request to its upstream: attempts, timeouts and retries."""

import random

from foxtailshunt.dispatch._attempt import AttemptResult, Follow
from foxtailshunt.dispatch._attempt_runner import AttemptRunner
from foxtailshunt.dispatch._call import Call
from foxtailshunt.dispatch._dispatch_metrics import DispatchMetrics
from foxtailshunt.dispatch._outcome import Outcome
from foxtailshunt.dispatch._send_progress import SendProgress
from foxtailshunt.dispatch._turn import TurnState
from foxtailshunt.errors import ResultCode
from foxtailshunt.ownership import SendPermission, SendRight
from foxtailshunt.timing import Clock

#: Pause before the first retry, in seconds; doubled for each further one, and drawn at random
#: between half and the whole.
_FIRST_PAUSE_S = 0.01
_MAX_PAUSE_S = 0.16


class Sender:
    """Sends requests that hold a turn; safe to use from any thread.

    :param right: checked right before each attempt.
    :param attempts: runs the attempts.
    :param clock: the clock.
    :param metrics: where retries are counted.
    """

    def __init__(
        self, right: SendRight, attempts: AttemptRunner, clock: Clock, metrics: DispatchMetrics
    ) -> None:
        self._right = right
        self._attempts = attempts
        self._clock = clock
        self._metrics = metrics

    def send(self, call: Call, skew_s: float) -> Outcome:
        """Send a request, with retries, and return its outcome.

        The outcome is not run only if no attempt may have run.

        :param call: a call whose turn is granted; the turn's slot is given back.
        :param skew_s: largest difference between a caller's clock and ours, in seconds.
        """
        progress = SendProgress()
        try:
            while True:
                result = self._attempt_with_right(call, skew_s, progress)
                progress.note(result.outcome)
                if result.outcome.code is ResultCode.OK:
                    call.state.budget.note_success()
                if not self._may_follow(call, result, progress):
                    return progress.final_outcome(result.outcome)
                progress.retries += 1
                self._metrics.count_retry(call.service.name)
                self._pause(call, progress.retries)
        finally:
            self._end(call, progress)

    def _attempt_with_right(
        self, call: Call, skew_s: float, progress: SendProgress
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
        return self._attempts.run(call, permission, progress)

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

    def _may_follow(self, call: Call, result: AttemptResult, progress: SendProgress) -> bool:
        if result.follow is Follow.END or call.turn.cancel_requested:
            return False
        if result.follow is Follow.RETRY_IDEMPOTENT and not call.operation.idempotent:
            return False
        if self._clock.now() + _FIRST_PAUSE_S + call.turn.expected_s >= call.turn.deadline_at:
            return False
        if not progress.spend_retry(call.state.budget):
            self._metrics.count_budget_exhausted(call.service.name)
            return False
        return True

    def _end(self, call: Call, progress: SendProgress) -> None:
        progress.give_back(call.state.budget)
        if progress.busy_until > self._clock.now():
            call.state.queue.release_at(call.turn, progress.busy_until)
        else:
            call.state.release(call.turn)

    def _pause(self, call: Call, retries: int) -> None:
        longest_s = min(_MAX_PAUSE_S, _FIRST_PAUSE_S * 2 ** (retries - 1))
        call.turn.pause(longest_s * random.uniform(0.5, 1))


def _end_with(code: ResultCode, detail: str) -> AttemptResult:
    return AttemptResult(Outcome(code, detail), Follow.END)
