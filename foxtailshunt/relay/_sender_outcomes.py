"""Outcomes of requests that a sender has refused, or whose exchange with an upstream has ended."""

from foxtailshunt.admission import Call, Refusal
from foxtailshunt.errors import ResultCode
from foxtailshunt.platform import AttemptResult, UpstreamResponse
from foxtailshunt.relay._channel import ChannelError
from foxtailshunt.relay._outcome import Outcome

#: Retry-After while the owner of a key is unknown or changing, in seconds; a handover takes 0.3 s.
OWNER_RETRY_AFTER_S = 0.4


def refusal_outcome(call: Call, refusal: Refusal, now: float) -> Outcome:
    """Return the outcome of a request that was not queued, or was removed from the queue.

    :param call: the request.
    :param refusal: why it was refused.
    :param now: the time in seconds of the monotonic clock.
    """
    estimate = "unknown" if refusal.estimate_s is None else f"{refusal.estimate_s:.3f} s"
    reason = f"{refusal.reason}, " if refusal.reason else ""
    return Outcome(
        ResultCode.TOO_LATE,
        f"{reason}estimated {estimate}, remaining {call.deadline - now:.3f} s",
        retry_after_s=refusal.retry_after_s,
        upstream_id=call.upstream_id,
    )


def failed_outcome(upstream_id: str, exc: ChannelError) -> Outcome:
    """Return the outcome of an exchange without a complete response.

    :param upstream_id: the upstream.
    :param exc: why there is no response.
    """
    if exc.sent:
        return Outcome(exc.code, exc.message, upstream_id=upstream_id, arrived=True)
    code = exc.code if exc.code is ResultCode.BAD_REQUEST else ResultCode.NO_OWNER
    return Outcome(code, exc.message, upstream_id=upstream_id, retry_after_s=OWNER_RETRY_AFTER_S)


def response_outcome(
    upstream_id: str, response: UpstreamResponse, result: AttemptResult
) -> Outcome:
    """Return the outcome of an exchange with a complete response.

    :param upstream_id: the upstream.
    :param response: its response.
    :param result: what the response states.
    """
    if result is AttemptResult.ANSWERED:
        return Outcome(
            ResultCode.OK,
            "answered",
            status=response.status,
            headers=response.caller_headers(),
            body=response.body,
            upstream_id=upstream_id,
            arrived=True,
        )
    detail = f"status {response.status}, {result.value}"
    if not result.is_refusal:
        return Outcome(ResultCode.ANSWER_MISMATCH, detail, upstream_id=upstream_id, arrived=True)
    not_run = result is AttemptResult.NOT_RUN
    return Outcome(
        ResultCode.REFUSED_BY_UPSTREAM if not_run else ResultCode.NO_OWNER,
        detail,
        retry_after_s=OWNER_RETRY_AFTER_S,
        upstream_id=upstream_id,
        arrived=True,
    )
