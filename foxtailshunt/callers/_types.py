"""What callers say and what they are told."""

from dataclasses import dataclass

from foxtailshunt.errors import ResultCode

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class RequestInfo:
    """What a caller says about its request."""

    #: Id of this attempt of the caller.
    request_id: str
    #: How long the caller waits, in seconds; None if it does not say.
    caller_timeout_s: float | None
    #: Number of the key that the request is about; None if it names none.
    key: int | None


@dataclass(frozen=True, slots=True)
class Reply:
    """An answer to a caller."""

    #: HTTP status; 0 if the caller is gone and gets none.
    status: int
    #: Headers without the body's length.
    headers: Headers
    #: Body.
    body: bytes


@dataclass(frozen=True, slots=True)
class Failure:
    """Why a request has no upstream's answer."""

    #: HTTP status.
    status: int
    #: The numbered outcome.
    code: ResultCode
    #: One sentence for the caller.
    detail: str
    #: When a repeat has a chance, in seconds; None if the caller is not asked to repeat.
    retry_after_s: float | None = None
