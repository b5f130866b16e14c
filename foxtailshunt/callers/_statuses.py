"""HTTP statuses for result codes."""

from dataclasses import dataclass

from foxtailshunt.errors import ResultCode


@dataclass(frozen=True, slots=True)
class CodeStatus:
    """HTTP status of the reply for a result code."""

    #: HTTP status.
    status: int
    #: True if the reply carries ``Retry-After``.
    retry_after: bool = False


_STATUSES = {
    ResultCode.NO_ROUTE: CodeStatus(404),
    ResultCode.BAD_REQUEST: CodeStatus(400),
    ResultCode.TOO_LATE: CodeStatus(503, retry_after=True),
    ResultCode.NO_OWNER: CodeStatus(503, retry_after=True),
    ResultCode.KEY_MOVED: CodeStatus(503, retry_after=True),
    ResultCode.REFUSED_BY_UPSTREAM: CodeStatus(503, retry_after=True),
    # Never sent: the caller has closed its connection.
    ResultCode.CANCELLED: CodeStatus(499),
    ResultCode.STOPPING: CodeStatus(503, retry_after=True),
    ResultCode.NO_CONFIG: CodeStatus(503, retry_after=True),
    ResultCode.NODE_UNREACHABLE: CodeStatus(503, retry_after=True),
    ResultCode.NO_MEMORY: CodeStatus(503, retry_after=True),
    ResultCode.DEADLINE_EXCEEDED: CodeStatus(504),
    ResultCode.UPSTREAM_CONNECTION_LOST: CodeStatus(502),
    ResultCode.NODE_CONNECTION_LOST: CodeStatus(502),
    ResultCode.ANSWER_MISMATCH: CodeStatus(502),
}


def status_of(code: ResultCode) -> CodeStatus:
    """Return the HTTP status for a request that failed without a response of an upstream.

    :param code: result code of the family ``not run`` or ``unknown``.
    """
    return _STATUSES[code]
