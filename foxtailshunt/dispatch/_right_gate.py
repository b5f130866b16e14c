"""Which requests may be sent, and how long the others wait for the right to send."""

from enum import Enum
from typing import Protocol

from foxtailshunt.dispatch._turn import Turn
from foxtailshunt.errors import ResultCode
from foxtailshunt.ownership import SendRight
from foxtailshunt.timing import Clock

#: How long a request waits for a grant that covers its key, in seconds: the time that an earlier
#: dispatcher's grant takes to lapse, and some renewals.
_GRANT_WAIT_S = 1.5
#: How long requests wait for assents after these were last held, in seconds.
_ASSENT_WAIT_S = 0.3


class Readiness(Enum):
    """Whether a request may be sent."""

    #: It may be sent now.
    READY = "ready"
    #: It may not, but probably soon.
    WAIT = "wait"
    #: It may not, and waiting here is of no use.
    LOST = "lost"


class TurnGate(Protocol):
    """Tells which requests may be sent."""

    def assess(self, turn: Turn) -> Readiness:
        """Return whether a request may be sent.

        :param turn: the request's turn; its ``miss_code`` is set unless it is ready.
        """
        ...


class RightGate:
    """Asks the right to send of one upstream, and bounds the wait for it.

    :param clock: the clock.
    :param right: tells whether this dispatcher may send.
    :param upstream_id: the upstream.
    """

    def __init__(self, clock: Clock, right: SendRight, upstream_id: str) -> None:
        self._clock = clock
        self._right = right
        self._upstream_id = upstream_id
        self._held_at: float | None = None

    def note_held(self) -> None:
        """Note that this dispatcher is the upstream's only sender at this moment."""
        self._held_at = self._clock.now()

    def assess(self, turn: Turn) -> Readiness:
        """Return whether a request may be sent.

        :param turn: the request's turn; its ``miss_code`` is set unless it is ready.
        """
        answer = self._right.check(self._upstream_id, turn.slot, turn.key)
        if not isinstance(answer, ResultCode):
            turn.missed_since = None
            return Readiness.READY
        now = self._clock.now()
        turn.miss_code = answer
        if turn.missed_since is None:
            turn.missed_since = now
        give_up_at = self._give_up_at(answer, turn.missed_since)
        return Readiness.LOST if give_up_at is None or now >= give_up_at else Readiness.WAIT

    def _give_up_at(self, answer: ResultCode, missed_since: float) -> float | None:
        if answer is ResultCode.NO_OWNER:
            return missed_since + _GRANT_WAIT_S
        if self._held_at is None or self._right.holds_assent(self._upstream_id):
            # Never held here, or held and being handed over to another dispatcher.
            return None
        return self._held_at + _ASSENT_WAIT_S
