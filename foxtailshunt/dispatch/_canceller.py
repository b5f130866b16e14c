"""Gives up requests whose callers went away."""

from foxtailshunt.dispatch._attempt_runner import AttemptRunner
from foxtailshunt.dispatch._turn import Turn
from foxtailshunt.dispatch._turn_queue import TurnQueue
from foxtailshunt.dispatch._upstream_states import UpstreamStates
from foxtailshunt.errors import ResultCode
from foxtailshunt.upstream import CancelOutcome

#: Longest wait for an upstream's answer to a cancellation, in seconds.
_CANCEL_TIMEOUT_S = 0.5


class Canceller:
    """Cancels requests by their ids.

    :param states: the upstreams' queues.
    :param attempts: passes cancellations on to upstreams.
    """

    def __init__(self, states: UpstreamStates, attempts: AttemptRunner) -> None:
        self._states = states
        self._attempts = attempts

    def cancel(self, upstream_id: str, request_id: str) -> ResultCode:
        """Cancel every request of an id and return what is known of them.

        What a cancellation did at the upstream is told by the reply to the request itself.

        :param upstream_id: the upstream that they are meant for.
        :param request_id: the id.
        """
        state = self._states.get(upstream_id)
        turns = state.turns_of(request_id) if state else ()
        if state is None or not turns:
            return ResultCode.MEMORY_TOO_YOUNG
        at_upstream = [turn for turn in turns if not self._withdraw(state.queue, turn)]
        if not at_upstream:
            return ResultCode.CANCELLED
        for turn in at_upstream:
            turn.cancel_requested = True
            turn.wake()
        answer = self._attempts.cancel(upstream_id, request_id, _CANCEL_TIMEOUT_S)
        return ResultCode.OK if answer is CancelOutcome.RAN else ResultCode.STILL_RUNNING

    def _withdraw(self, queue: TurnQueue, turn: Turn) -> bool:
        return queue.withdraw(turn, ResultCode.CANCELLED)
