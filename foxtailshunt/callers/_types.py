"""Request data, replies and failures that caller interfaces exchange with the front server."""

from dataclasses import dataclass

from foxtailshunt.errors import ResultCode

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class RequestInfo:
    """Data that a caller sends about its request in headers or in the target."""

    #: Id of the caller's attempt.
    request_id: str
    #: Time that the caller waits for the reply, in seconds; None if it sets no timeout.
    caller_timeout_s: float | None
    #: Number of the request's key; None if the request has no key.
    key: int | None


@dataclass(frozen=True, slots=True)
class Reply:
    """HTTP response to a caller."""

    #: HTTP status; 0 if the caller has disconnected and nothing is sent.
    status: int
    #: Headers without ``Content-Length``.
    headers: Headers
    #: Response body.
    body: bytes


@dataclass(frozen=True, slots=True)
class Failure:
    """Failure of a request that has no response of an upstream."""

    #: HTTP status of the reply.
    status: int
    #: Result code.
    code: ResultCode
    #: Explanation for the caller, one sentence.
    detail: str
    #: Time after which a retry may succeed, in seconds; None if the caller should not retry.
    retry_after_s: float | None = None
