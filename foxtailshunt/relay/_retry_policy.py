"""Whether a request is sent once more."""

from dataclasses import dataclass
from enum import Enum

from foxtailshunt.errors import Family, ResultCode
from foxtailshunt.relay._outcome import Outcome

#: Tries of a request that reached no upstream, such as after a stale view.
MAX_FREE_TRIES = 5


class NextStep(Enum):
    """What is done with an outcome."""

    #: It is the caller's answer.
    ANSWER = "answer"
    #: The request is tried again; no upstream has seen it.
    TRY_AGAIN = "try again"
    #: The request is sent to an upstream once more, if the budget allows.
    REPEAT = "repeat"


@dataclass(frozen=True, slots=True)
class Attempts:
    """What was tried for a request so far."""

    #: Tries in all.
    tries: int
    #: Times that the request arrived at an upstream.
    arrivals: int
    #: Most upstreams that it may be sent to.
    max_upstreams: int
    #: True if it may run more than once.
    idempotent: bool
    #: Time until its deadline, in seconds.
    remaining_s: float
    #: Time that it takes at an upstream, in seconds.
    work_s: float


def next_step(outcome: Outcome, attempts: Attempts) -> NextStep:
    """Decide what is done with an outcome.

    :param outcome: what became of the last try.
    :param attempts: what was tried so far.
    """
    if outcome.code in (ResultCode.OK, ResultCode.CANCELLED, ResultCode.TOO_LATE):
        return _after_answer(outcome, attempts)
    if attempts.remaining_s < attempts.work_s:
        return NextStep.ANSWER
    if outcome.family is Family.UNKNOWN and not attempts.idempotent:
        return NextStep.ANSWER
    if not outcome.arrived:
        moved = outcome.code in (ResultCode.KEY_MOVED, ResultCode.STOPPING)
        return NextStep.TRY_AGAIN if moved and _is_early(attempts) else NextStep.ANSWER
    if outcome.code is ResultCode.DEADLINE_EXCEEDED:
        return NextStep.ANSWER
    return NextStep.REPEAT if attempts.arrivals < attempts.max_upstreams else NextStep.ANSWER


def _after_answer(outcome: Outcome, attempts: Attempts) -> NextStep:
    failed = outcome.code is ResultCode.OK and outcome.status >= 500
    may_repeat = failed and attempts.idempotent and attempts.arrivals < attempts.max_upstreams
    in_time = attempts.remaining_s >= attempts.work_s
    return NextStep.REPEAT if may_repeat and in_time else NextStep.ANSWER


def _is_early(attempts: Attempts) -> bool:
    return attempts.tries < MAX_FREE_TRIES
