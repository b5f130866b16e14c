"""Conversion of requests and outcomes to and from messages between nodes."""

from foxtailshunt.admission import Call
from foxtailshunt.errors import ResultCode
from foxtailshunt.memory import Reservation
from foxtailshunt.protocol import Header, RelayReply, RelayRequest
from foxtailshunt.relay._outcome import Outcome

_MS_PER_S = 1000


def to_relay_request(call: Call, origin: str, now: float) -> RelayRequest:
    """Return the message for a request.

    The message holds remaining times, since the nodes' monotonic clocks differ.

    :param call: the request.
    :param origin: boot id of this node.
    :param now: the time in seconds of the monotonic clock.
    """
    return RelayRequest(
        request_id=call.request_id,
        service_name=call.service,
        key=call.key,
        upstream_id=call.upstream_id,
        method=call.method,
        target=call.target,
        headers=[Header(name=name, value=value) for name, value in call.headers],
        body=call.body,
        remaining_ms=int((call.deadline - now) * _MS_PER_S),
        aim_ms=int((call.latency_objective_at - now) * _MS_PER_S),
        rank=call.rank,
        route=call.route,
        excluded=sorted(call.excluded),
        group=call.group or None,
        origin=origin,
        caller_remaining_ms=_remaining_ms(call.caller_deadline, now),
        allowed_zones=None if call.allowed_zones is None else sorted(call.allowed_zones),
    )


def to_call(req: RelayRequest, now: float, memory: Reservation | None = None) -> Call:
    """Return the request in a message.

    :param req: the message.
    :param now: the time in seconds of the monotonic clock.
    :param memory: counts the bytes of the response; None to count none.
    """
    return Call(
        request_id=req.request_id,
        service=req.service_name,
        key=req.key,
        upstream_id=req.upstream_id,
        method=req.method,
        target=req.target,
        headers=tuple((header.name, header.value) for header in req.headers),
        body=req.body,
        deadline=now + req.remaining_ms / _MS_PER_S,
        latency_objective_at=now + req.aim_ms / _MS_PER_S,
        rank=req.rank,
        route=req.route,
        excluded=frozenset(req.excluded),
        group=req.group or "",
        origin=req.origin or "",
        caller_deadline=(
            None if req.caller_remaining_ms is None else now + req.caller_remaining_ms / _MS_PER_S
        ),
        allowed_zones=None if req.allowed_zones is None else frozenset(req.allowed_zones),
        memory=memory,
    )


def to_relay_reply(outcome: Outcome) -> RelayReply:
    """Return the message for an outcome.

    :param outcome: the outcome.
    """
    retry_after_s = outcome.retry_after_s
    return RelayReply(
        outcome=int(outcome.code),
        status=outcome.status,
        headers=[Header(name=name, value=value) for name, value in outcome.headers],
        body=outcome.body,
        reason=outcome.detail,
        retry_after_ms=None if retry_after_s is None else int(retry_after_s * _MS_PER_S),
        upstream_id=outcome.upstream_id,
        arrived=outcome.arrived,
        queued_ms=round(outcome.queued_s * _MS_PER_S),
        upstream_ms=round(outcome.upstream_s * _MS_PER_S),
    )


def to_outcome(reply: RelayReply, sender: str) -> Outcome:
    """Return the outcome in a message.

    :param reply: the message.
    :param sender: instance that replied.
    """
    retry_after_ms = reply.retry_after_ms
    return Outcome(
        code=ResultCode(reply.outcome),
        detail=reply.reason or "",
        status=reply.status or 0,
        headers=tuple((header.name, header.value) for header in reply.headers or ()),
        body=reply.body or b"",
        retry_after_s=None if retry_after_ms is None else retry_after_ms / _MS_PER_S,
        upstream_id=reply.upstream_id,
        arrived=reply.arrived,
        sender=sender,
        queued_s=(reply.queued_ms or 0) / _MS_PER_S,
        upstream_s=(reply.upstream_ms or 0) / _MS_PER_S,
    )


def _remaining_ms(deadline: float | None, now: float) -> int | None:
    return None if deadline is None else int((deadline - now) * _MS_PER_S)
