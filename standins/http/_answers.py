"""Answers of a handler, among them the ways in which an answer can go wrong."""

import json
from dataclasses import dataclass
from typing import Any

HeaderPairs = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """An answer that is sent whole."""

    #: HTTP status.
    status: int
    #: Body.
    body: bytes
    #: Headers besides ``Content-Length``.
    headers: HeaderPairs = ()


@dataclass(frozen=True, slots=True)
class CutAnswer:
    """An answer that promises its whole length, sends half of it and closes the connection."""

    #: What would have been sent.
    whole: WholeAnswer


@dataclass(frozen=True, slots=True)
class DroppedAnswer:
    """No answer: the connection is closed."""


@dataclass(frozen=True, slots=True)
class SilentAnswer:
    """No answer: the connection stays open and nothing more is read from it."""


@dataclass(frozen=True, slots=True)
class DoubledAnswer:
    """An answer after which a second one comes that nobody asked for."""

    #: The answer.
    first: WholeAnswer
    #: The second one.
    second: WholeAnswer


@dataclass(frozen=True, slots=True)
class UnframedAnswer:
    """An answer without a length that ends with its connection."""

    #: What is sent.
    whole: WholeAnswer


Answer = WholeAnswer | CutAnswer | DroppedAnswer | SilentAnswer | DoubledAnswer | UnframedAnswer


def json_answer(status: int, value: Any, headers: HeaderPairs = ()) -> WholeAnswer:
    """Return an answer with a JSON body.

    :param status: HTTP status.
    :param value: the value of the body.
    :param headers: further headers.
    """
    body = json.dumps(value, separators=(",", ":")).encode()
    return WholeAnswer(status, body, (("Content-Type", "application/json"), *headers))
