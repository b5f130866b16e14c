"""Waiting for the right to send while it is briefly not in force."""

from foxtailshunt.dispatch._turn import Turn
from foxtailshunt.errors import ResultCode
from foxtailshunt.ownership import SendPermission, SendRight
from foxtailshunt.timing import Clock

#: How long requests wait for a grant from the moment that it was first missed, in seconds: the time
#: that an earlier dispatcher's grant takes to lapse, and one renewal.
_GRANT_WAIT_S = 1.5
#: How long requests wait for assents from the moment that they were first missed, in seconds.
_ASSENT_WAIT_S = 0.3
#: Time between two checks of a missing right, in seconds.
_RECHECK_INTERVAL_S = 0.01
#: Time without a check after which a missing right counts as newly missed, in seconds.
_FORGET_AFTER_S = 1.0

_WAIT_S = {ResultCode.NO_OWNER: _GRANT_WAIT_S, ResultCode.NOT_DISPATCHER: _ASSENT_WAIT_S}


class RightGate:
    """Holds requests of one upstream back, for a bounded time, while the right is missing.

    The requests that hold a turn check again at short intervals; the others wait in the queue.

    :param clock: the clock.
    :param right: tells whether this dispatcher may send.
    :param upstream_id: the upstream.
    """

    def __init__(self, clock: Clock, right: SendRight, upstream_id: str) -> None:
        self._clock = clock
        self._right = right
        self._upstream_id = upstream_id
        self._missed_since: float | None = None
        self._checked_at = 0.0

    def wait(self, turn: Turn) -> SendPermission | ResultCode:
        """Return the permission to send now, or why there is none.

        :param turn: a granted turn.
        """
        while True:
            answer = self._right.check(self._upstream_id, turn.slot, turn.key)
            if not isinstance(answer, ResultCode):
                self._missed_since = None
                return answer
            now = self._clock.now()
            if now >= self._give_up_at(answer, now):
                return answer
            if turn.cancel_requested:
                return ResultCode.CANCELLED
            if now + turn.shortest_s >= turn.deadline_at:
                return ResultCode.TOO_LATE
            turn.wait(_RECHECK_INTERVAL_S)

    def _give_up_at(self, answer: ResultCode, now: float) -> float:
        missed_since = self._missed_since
        if missed_since is None or now - self._checked_at > _FORGET_AFTER_S:
            missed_since = self._missed_since = now
        self._checked_at = now
        return missed_since + _WAIT_S.get(answer, 0.0)
