"""Answers of a handler, among them the ways in which an answer can go wrong."""

import json
from dataclasses import dataclass
from typing import Any

HeaderPairs = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class CompleteResponse:
    """An answer that is sent whole."""

    #: HTTP status.
    status: int
    #: Body.
    body: bytes
    #: Headers besides ``Content-Length``.
    headers: HeaderPairs = ()


@dataclass(frozen=True, slots=True)
class TruncatedResponse:
    """An answer that promises its whole length, sends half of it and closes the connection."""

    #: What would have been sent.
    whole: CompleteResponse


@dataclass(frozen=True, slots=True)
class ConnectionClosed:
    """No answer: the connection is closed."""


@dataclass(frozen=True, slots=True)
class WithheldResponse:
    """No answer: the connection stays open and nothing more is read from it."""


@dataclass(frozen=True, slots=True)
class ResponseWithExtra:
    """An answer after which a second one comes that nobody asked for."""

    #: The answer.
    first: CompleteResponse
    #: The second one.
    second: CompleteResponse


@dataclass(frozen=True, slots=True)
class ResponseWithoutLength:
    """An answer without a length that ends with its connection."""

    #: What is sent.
    whole: CompleteResponse


Response = (
    CompleteResponse
    | TruncatedResponse
    | ConnectionClosed
    | WithheldResponse
    | ResponseWithExtra
    | ResponseWithoutLength
)


def json_response(status: int, value: Any, headers: HeaderPairs = ()) -> CompleteResponse:
    """Return an answer with a JSON body.

    :param status: HTTP status.
    :param value: the value of the body.
    :param headers: further headers.
    """
    body = json.dumps(value, separators=(",", ":")).encode()
    return CompleteResponse(status, body, (("Content-Type", "application/json"), *headers))
