"""How long one attempt may take."""

from dataclasses import dataclass

from foxtailshunt.dispatch._call import Call
from foxtailshunt.ownership import SendPermission
from foxtailshunt.ownership._periods import surely_in_force_for

#: Part of the remaining time kept for a cancellation and the reply.
_RESERVE_FRACTION = 0.1
#: Most time kept for a cancellation and the reply, in seconds.
_MAX_RESERVE_S = 0.03
#: Remaining time below which nothing is sent, in seconds.
_MIN_TIMEOUT_S = 0.002
#: An attempt that may be retried times out after this multiple of the 99th percentile of recent
#: service times.
_TIMEOUT_MULTIPLE = 3.0
#: Shortest timeout of an attempt that may be retried, in seconds.
_MIN_RETRY_TIMEOUT_S = 0.1
#: Part of the remaining time for an attempt while service times are not known.
_UNMEASURED_FRACTION = 0.3
_MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class AttemptWindow:
    """The time of one attempt; moments in seconds of the monotonic clock."""

    #: Longest wait for the answer, in seconds.
    timeout_s: float
    #: When the wait ends; the deadline at the upstream has surely passed by then.
    ends_at: float
    #: Deadline in milliseconds after the upstream's clock reading.
    deadline_after_reading_ms: int
    #: True if no time is kept for another attempt.
    is_last: bool
    #: Longest wait for the answer to a cancellation, in seconds.
    cancel_timeout_s: float


def choose_window(
    call: Call, permission: SendPermission, now: float, may_retry: bool
) -> AttemptWindow | None:
    """Return the time of an attempt, or None if too little is left.

    :param call: the call.
    :param permission: the permission, whose clock reading the deadline is counted from.
    :param now: the moment, in seconds of the monotonic clock.
    :param may_retry: whether another attempt may follow a timeout.
    """
    remaining_s = call.turn.deadline_at - now
    reserve_s = min(_MAX_RESERVE_S, remaining_s * _RESERVE_FRACTION)
    timeout_s = remaining_s - reserve_s
    if timeout_s < _MIN_TIMEOUT_S:
        return None
    short_s = _retry_timeout_s(call, timeout_s)
    is_last = not may_retry or 2 * short_s > timeout_s
    if not is_last:
        timeout_s = short_s
    after_reading_s = now - permission.reading_received_at + timeout_s
    return AttemptWindow(
        timeout_s=timeout_s,
        ends_at=now + timeout_s,
        deadline_after_reading_ms=int(surely_in_force_for(after_reading_s) * _MS_PER_S),
        is_last=is_last,
        cancel_timeout_s=reserve_s,
    )


def _retry_timeout_s(call: Call, whole_s: float) -> float:
    high_s = call.state.high_service_time_s(call.operation.name)
    wanted_s = whole_s * _UNMEASURED_FRACTION if high_s is None else high_s * _TIMEOUT_MULTIPLE
    return max(_MIN_RETRY_TIMEOUT_S, wanted_s)
