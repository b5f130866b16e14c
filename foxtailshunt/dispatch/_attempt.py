"""What one attempt to send a request ended with, and what may follow."""

from dataclasses import dataclass
from enum import Enum

from foxtailshunt.dispatch._outcome import Outcome
from foxtailshunt.errors import Family, ResultCode
from foxtailshunt.upstream import WorkOutcome


class Follow(Enum):
    """What may follow an attempt."""

    #: Nothing: its outcome is the request's.
    END = "end"
    #: A retry, of any request: this attempt was not run.
    RETRY = "retry"
    #: A retry, of an idempotent request only: this attempt may have run.
    RETRY_IDEMPOTENT = "retry idempotent"


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """The end of one attempt."""

    #: The outcome if nothing follows.
    outcome: Outcome
    #: What may follow.
    follow: Follow

    @property
    def may_be_busy(self) -> bool:
        """Return whether the upstream may still work on the request."""
        return self.outcome.family is Family.UNKNOWN


#: What each answer of an upstream, other than ``ran``, means.
REFUSALS: dict[WorkOutcome, AttemptResult] = {
    WorkOutcome.REFUSED: AttemptResult(
        Outcome(ResultCode.REFUSED_BY_UPSTREAM, "the upstream refused the request"), Follow.RETRY
    ),
    WorkOutcome.SHED: AttemptResult(
        Outcome(ResultCode.REFUSED_BY_UPSTREAM, "the upstream is full"), Follow.RETRY
    ),
    WorkOutcome.EXPIRED: AttemptResult(
        Outcome(ResultCode.TOO_LATE, "the deadline passed at the upstream"), Follow.END
    ),
    WorkOutcome.CANCELLED: AttemptResult(
        Outcome(ResultCode.CANCELLED, "cancelled at the upstream"), Follow.END
    ),
}
#: The deadline of an attempt that left time for another passed at the upstream.
EXPIRED_EARLY = AttemptResult(REFUSALS[WorkOutcome.EXPIRED].outcome, Follow.RETRY)
#: The connection failed before anything was sent.
NOT_SENT = AttemptResult(
    Outcome(ResultCode.NO_OWNER, "the upstream could not be connected to"), Follow.RETRY
)
#: The connection failed after the request was sent.
CONNECTION_LOST = AttemptResult(
    Outcome(ResultCode.UPSTREAM_CONNECTION_LOST, "the connection failed after the request"),
    Follow.RETRY_IDEMPOTENT,
)
#: The answer carried another request id.
MISMATCH = AttemptResult(
    Outcome(ResultCode.ANSWER_MISMATCH, "the answer was for another request"),
    Follow.RETRY_IDEMPOTENT,
)
#: No answer came inside the deadline.
TIMED_OUT = AttemptResult(
    Outcome(ResultCode.DEADLINE_EXCEEDED, "no answer inside the deadline"), Follow.END
)
#: No answer came in the time of an attempt that left time for another.
TIMED_OUT_EARLY = AttemptResult(
    Outcome(ResultCode.DEADLINE_EXCEEDED, "no answer inside the timeout of an attempt"),
    Follow.RETRY_IDEMPOTENT,
)
#: No answer came inside the deadline, and the upstream gave the request up.
GIVEN_UP = AttemptResult(
    Outcome(ResultCode.TOO_LATE, "no answer; cancelled at the upstream"), Follow.END
)
#: The right to send was lost while the request was with an upstream that does not check it.
RIGHT_LAPSED = AttemptResult(
    Outcome(ResultCode.ASSENT_LAPSED, "the right to send lapsed meanwhile"), Follow.END
)
