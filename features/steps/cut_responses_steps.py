"""Steps for responses that are cut short or have random errors."""

import http.client
import io
import random

from behave import given, then, when
from behave.runner import Context

from foxtailshunt.http import HttpResponse, read_response

_SEED = 20261204
_HEAD = b"HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\nResponse-Seal: s\r\n"
_WITH_LENGTH = _HEAD + b"Content-Length: 11\r\n\r\nhello world"
_CHUNKS = b"5\r\nhello\r\n6;x=1\r\n world\r\n0\r\nX-Trailer: 1\r\n\r\n"
_RESPONSES = {
    "a length": _WITH_LENGTH,
    "chunks, a chunk extension and trailers": _HEAD
    + b"Transfer-Encoding: chunked\r\n\r\n"
    + _CHUNKS,
    "an interim response before its head": b"HTTP/1.1 100 Continue\r\n\r\n" + _WITH_LENGTH,
}
_SPECIAL_BYTES = b"\r\n :;,0149afx-+_\t\0\xff"


def _read(data: bytes) -> HttpResponse | None:
    """Return the response in some bytes; None if they are rejected."""
    try:
        return read_response(io.BufferedReader(io.BytesIO(data)), "GET")
    except http.client.HTTPException:
        return None


def _add_error(rng: random.Random, data: bytearray) -> None:
    """Replace, remove, insert or repeat bytes at a random position."""
    at = rng.randrange(len(data))
    kind = rng.choice(["replace", "remove", "insert", "repeat"])
    if kind == "replace":
        data[at] = rng.choice(_SPECIAL_BYTES)
    elif kind == "remove":
        del data[at : at + rng.randint(1, 4)]
    elif kind == "insert":
        data.insert(at, rng.choice(_SPECIAL_BYTES))
    else:
        source = rng.randrange(len(data))
        data[at:at] = data[source : source + rng.randint(1, 12)]


@given('a response with the body "hello world" and {frame}')
def _(context: Context, frame: str) -> None:
    context.response_bytes = _RESPONSES[frame]


@then('the whole response has the body "{body}"')
def _(context: Context, body: str) -> None:
    response = _read(context.response_bytes)
    assert response is not None
    assert response.body == body.encode(), response


@then("no proper beginning of the response is a response")
def _(context: Context) -> None:
    for size in range(len(context.response_bytes)):
        part = context.response_bytes[:size]
        assert _read(part) is None, part


@when("{count:d} responses with random errors are read")
def _(context: Context, count: int) -> None:
    rng = random.Random(_SEED)
    context.results = []
    context.unexpected = []
    for _number in range(count):
        data = bytearray(rng.choice(list(_RESPONSES.values())))
        for _error in range(rng.randint(1, 3)):
            _add_error(rng, data)
        try:
            context.results.append(_read(bytes(data)) is not None)
        except Exception as exc:
            context.unexpected.append((bytes(data), exc))


@then("each of them was read or rejected as malformed")
def _(context: Context) -> None:
    assert not context.unexpected, context.unexpected[0]


@then("at least {least:d} of each result occurred")
def _(context: Context, least: int) -> None:
    accepted = sum(context.results)
    assert min(accepted, len(context.results) - accepted) >= least, accepted
