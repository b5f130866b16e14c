"""Whether a request is sent once more."""

from dataclasses import dataclass
from enum import Enum

from foxtailshunt.errors import Family, ResultCode
from foxtailshunt.relay._outcome import Outcome

#: Tries of a request that reached no upstream, such as after a stale view.
MAX_FREE_TRIES = 5


class RetryDecision(Enum):
    """What is done with an outcome."""

    #: It is the caller's answer.
    RETURN_OUTCOME = "answer"
    #: The request is tried again; no upstream has seen it.
    REROUTE = "try again"
    #: The request is sent to an upstream once more, if the budget allows.
    RESEND = "repeat"


@dataclass(frozen=True, slots=True)
class AttemptHistory:
    """What was tried for a request so far."""

    #: Tries in all.
    tries: int
    #: Times that the request arrived at an upstream.
    upstream_attempts: int
    #: Most upstreams that it may be sent to.
    max_upstreams: int
    #: True if it may run more than once.
    idempotent: bool
    #: Time until its deadline, in seconds.
    remaining_s: float
    #: Time that it takes at an upstream, in seconds.
    mean_latency_s: float


def decide_retry(outcome: Outcome, attempts: AttemptHistory) -> RetryDecision:
    """Decide what is done with an outcome.

    :param outcome: what became of the last try.
    :param attempts: what was tried so far.
    """
    if outcome.code in (ResultCode.OK, ResultCode.CANCELLED, ResultCode.TOO_LATE):
        return _after_answer(outcome, attempts)
    if attempts.remaining_s < attempts.mean_latency_s:
        return RetryDecision.RETURN_OUTCOME
    if outcome.family is Family.UNKNOWN and not attempts.idempotent:
        return RetryDecision.RETURN_OUTCOME
    if not outcome.arrived:
        moved = outcome.code in (ResultCode.KEY_MOVED, ResultCode.STOPPING)
        return (
            RetryDecision.REROUTE if moved and _is_early(attempts) else RetryDecision.RETURN_OUTCOME
        )
    if outcome.code is ResultCode.DEADLINE_EXCEEDED:
        return RetryDecision.RETURN_OUTCOME
    return (
        RetryDecision.RESEND
        if attempts.upstream_attempts < attempts.max_upstreams
        else RetryDecision.RETURN_OUTCOME
    )


def _after_answer(outcome: Outcome, attempts: AttemptHistory) -> RetryDecision:
    failed = outcome.code is ResultCode.OK and outcome.status >= 500
    may_repeat = (
        failed and attempts.idempotent and attempts.upstream_attempts < attempts.max_upstreams
    )
    in_time = attempts.remaining_s >= attempts.mean_latency_s
    return RetryDecision.RESEND if may_repeat and in_time else RetryDecision.RETURN_OUTCOME


def _is_early(attempts: AttemptHistory) -> bool:
    return attempts.tries < MAX_FREE_TRIES
