"""HTTP statuses of result codes."""

from dataclasses import dataclass

from foxtailshunt.errors import ResultCode


@dataclass(frozen=True, slots=True)
class CodeStatus:
    """How a result code is answered to a caller."""

    #: HTTP status.
    status: int
    #: True if ``Retry-After`` tells the caller to try again.
    retry_after: bool = False


_STATUSES = {
    ResultCode.NO_ROUTE: CodeStatus(404),
    ResultCode.BAD_REQUEST: CodeStatus(400),
    ResultCode.TOO_LATE: CodeStatus(503, retry_after=True),
    ResultCode.NO_OWNER: CodeStatus(503, retry_after=True),
    ResultCode.KEY_MOVED: CodeStatus(503, retry_after=True),
    ResultCode.REFUSED_BY_UPSTREAM: CodeStatus(503, retry_after=True),
    # Nobody reads this answer.
    ResultCode.CANCELLED: CodeStatus(499),
    ResultCode.STOPPING: CodeStatus(503, retry_after=True),
    ResultCode.NO_CONFIG: CodeStatus(503, retry_after=True),
    ResultCode.NODE_UNREACHABLE: CodeStatus(503, retry_after=True),
    ResultCode.DEADLINE_EXCEEDED: CodeStatus(504),
    ResultCode.UPSTREAM_CONNECTION_LOST: CodeStatus(502),
    ResultCode.NODE_CONNECTION_LOST: CodeStatus(502),
    ResultCode.ANSWER_MISMATCH: CodeStatus(502),
}


def status_of(code: ResultCode) -> CodeStatus:
    """Return how a code that carries no upstream's answer is answered.

    :param code: a code of the families not run or unknown.
    """
    return _STATUSES[code]
