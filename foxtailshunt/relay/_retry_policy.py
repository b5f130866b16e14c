"""Decides whether a request is retried."""

from dataclasses import dataclass
from enum import Enum

from foxtailshunt.errors import Family, ResultCode
from foxtailshunt.relay._outcome import Outcome

#: Maximum number of attempts of a request that is routed again without having reached an upstream,
#: for example after routing by an outdated view of the fleet.
MAX_ROUTING_ATTEMPTS = 5


class RetryDecision(Enum):
    """What follows the outcome of an attempt."""

    #: The outcome is returned to the caller.
    RETURN_OUTCOME = "answer"
    #: The request is routed again; it has not reached an upstream.
    REROUTE = "try again"
    #: The request is sent to an upstream again if the retry budget allows it.
    RESEND = "repeat"


@dataclass(frozen=True, slots=True)
class AttemptHistory:
    """The attempts of a request so far, and the limits on further ones."""

    #: Number of attempts.
    tries: int
    #: Number of attempts that reached an upstream.
    upstream_attempts: int
    #: Maximum number of upstreams that the request may be sent to.
    max_upstreams: int
    #: True if the request may run more than once.
    idempotent: bool
    #: Time until the deadline, in seconds.
    remaining_s: float
    #: Mean latency of the route's requests at upstreams, in seconds.
    mean_latency_s: float


def decide_retry(outcome: Outcome, attempts: AttemptHistory) -> RetryDecision:
    """Decide whether a request is retried after an attempt.

    :param outcome: the outcome of the last attempt.
    :param attempts: the attempts so far, including the last one.
    """
    if outcome.code in (ResultCode.OK, ResultCode.CANCELLED, ResultCode.TOO_LATE):
        return _decide_final_outcome(outcome, attempts)
    if attempts.remaining_s < attempts.mean_latency_s:
        return RetryDecision.RETURN_OUTCOME
    if outcome.family is Family.UNKNOWN and not attempts.idempotent:
        return RetryDecision.RETURN_OUTCOME
    if not outcome.arrived:
        reroutable = outcome.code in (ResultCode.KEY_MOVED, ResultCode.STOPPING)
        return (
            RetryDecision.REROUTE
            if reroutable and _may_reroute(attempts)
            else RetryDecision.RETURN_OUTCOME
        )
    if outcome.code is ResultCode.DEADLINE_EXCEEDED:
        return RetryDecision.RETURN_OUTCOME
    return (
        RetryDecision.RESEND
        if attempts.upstream_attempts < attempts.max_upstreams
        else RetryDecision.RETURN_OUTCOME
    )


def _decide_final_outcome(outcome: Outcome, attempts: AttemptHistory) -> RetryDecision:
    """Resend idempotent requests that the upstream answered with a server error."""
    failed = outcome.code is ResultCode.OK and outcome.status >= 500
    may_resend = (
        failed and attempts.idempotent and attempts.upstream_attempts < attempts.max_upstreams
    )
    in_time = attempts.remaining_s >= attempts.mean_latency_s
    return RetryDecision.RESEND if may_resend and in_time else RetryDecision.RETURN_OUTCOME


def _may_reroute(attempts: AttemptHistory) -> bool:
    return attempts.tries < MAX_ROUTING_ATTEMPTS
