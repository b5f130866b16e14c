"""What an upstream's answer says."""

from dataclasses import dataclass
from enum import Enum

_REQUEST_ID = "attempt-id"
#: A seal over status and body that only the upstream can make; callers check it.
_SEAL = "response-seal"
#: Present if the upstream has not run the request and never will.
_NOT_RUN = "not-executed"
_KEEP_ALIVE = "keep-alive"
#: Sent for a key that is not owned and for a request that expects another upstream.
_NOT_MINE_STATUS = 421
_ANSWERING_UPSTREAM = "instance-id"
_CONNECTION_HEADERS = frozenset(
    ("connection", "keep-alive", "proxy-connection", "transfer-encoding", "content-length", "te")
)
#: Statuses that promise the caller that nothing has run.
_PROMISES = frozenset((408, 421, 429, 503))


class AttemptResult(Enum):
    """What became of a request at an upstream."""

    #: The answer is the upstream's and may be handed to the caller.
    ANSWERED = "answered"
    #: The upstream has not run the request.
    NOT_RUN = "not run"
    #: The upstream does not own the key; it has not run the request.
    NOT_OWNER = "not owner"
    #: Another upstream has the address now; it has not run the request.
    REPLACED = "replaced"
    #: The answer belongs to another request.
    MISMATCHED = "foreign"
    #: The upstream failed; the request may have run.
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class UpstreamResponse:
    """A whole answer of an upstream."""

    #: HTTP status.
    status: int
    #: Headers in the order received.
    headers: tuple[tuple[str, str], ...]
    #: Body.
    body: bytes

    def header(self, name: str) -> str | None:
        """Return the first header of a name, or None.

        :param name: the name in lower case.
        """
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None

    @property
    def keep_alive_s(self) -> float | None:
        """Return how long the upstream keeps the idle connection, in seconds; None if unsaid."""
        for part in (self.header(_KEEP_ALIVE) or "").split(","):
            name, _, value = part.strip().partition("=")
            if name == "timeout" and value.isdigit():
                return float(value)
        return None

    def caller_headers(self) -> tuple[tuple[str, str], ...]:
        """Return the headers that are handed to the caller, without the body's length."""
        return tuple(
            (name, value) for name, value in self.headers if name.lower() not in _CONNECTION_HEADERS
        )


def classify_response(answer: UpstreamResponse, request_id: str, upstream_id: str) -> AttemptResult:
    """Tell what an answer says about a request.

    :param answer: a whole answer.
    :param request_id: id of the request that was sent.
    :param upstream_id: the upstream that it was sent to.
    """
    echoed = answer.header(_REQUEST_ID)
    if echoed is not None and echoed != request_id:
        return AttemptResult.MISMATCHED
    if answer.status == _NOT_MINE_STATUS:
        answering_id = answer.header(_ANSWERING_UPSTREAM)
        is_same = answering_id in (None, upstream_id)
        return AttemptResult.NOT_OWNER if is_same else AttemptResult.REPLACED
    if answer.header(_NOT_RUN) is not None:
        return AttemptResult.NOT_RUN
    if answer.status in _PROMISES or answer.header("content-encoding") is not None:
        return AttemptResult.FAILED
    if answer.status < 300:
        sealed = answer.header(_SEAL) is not None and echoed == request_id
        return AttemptResult.ANSWERED if sealed else AttemptResult.FAILED
    return AttemptResult.ANSWERED
