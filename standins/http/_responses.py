"""Responses of a handler, including faulty ones."""

import json
from dataclasses import dataclass
from typing import Any

HeaderPairs = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class CompleteResponse:
    """A response that is sent completely."""

    #: HTTP status.
    status: int
    #: Body.
    body: bytes
    #: Headers besides ``Content-Length``.
    headers: HeaderPairs = ()


@dataclass(frozen=True, slots=True)
class TruncatedResponse:
    """A response whose connection is closed after half of the announced body."""

    #: The response to truncate.
    complete: CompleteResponse


@dataclass(frozen=True, slots=True)
class ConnectionClosed:
    """No response: the connection is closed."""


@dataclass(frozen=True, slots=True)
class WithheldResponse:
    """No response: the connection stays open and is no longer read."""


@dataclass(frozen=True, slots=True)
class ResponseWithExtra:
    """A response that is followed by another one without a request."""

    #: Response to the request.
    first: CompleteResponse
    #: Unsolicited response.
    extra: CompleteResponse


@dataclass(frozen=True, slots=True)
class ResponseWithoutLength:
    """A response without ``Content-Length`` whose body ends when the connection closes."""

    #: The response to send without its length.
    complete: CompleteResponse


Response = (
    CompleteResponse
    | TruncatedResponse
    | ConnectionClosed
    | WithheldResponse
    | ResponseWithExtra
    | ResponseWithoutLength
)


def json_response(status: int, value: Any, headers: HeaderPairs = ()) -> CompleteResponse:
    """Return a response with a JSON body.

    :param status: HTTP status.
    :param value: value that is encoded in the body.
    :param headers: additional headers.
    """
    body = json.dumps(value, separators=(",", ":")).encode()
    return CompleteResponse(status, body, (("Content-Type", "application/json"), *headers))
