"""Steps for upstreams that send faulty responses."""

import io
import tracemalloc
from collections.abc import Iterator
from http.client import HTTPException
from typing import Any

from behave import given, then, when
from behave.runner import Context

from features.scripted_upstream import (
    ScriptedUpstream,
    SenderSubject,
    answer,
    endless,
    header,
    trickle,
)
from foxtailshunt.errors import Family
from foxtailshunt.fleet import KeyRange
from foxtailshunt.http import MAX_RESPONSE_BODY_BYTES, read_response
from foxtailshunt.platform import GrantOutcome, KeyGrantClient, KeyGrantError

_TIMEOUT_S = 20.0
_TRICKLE_TIMEOUT_S = 0.5
#: What marks in a table stand for.
_MARKS = {";": "\r\n", "<CR>": "\r", "<space>": " ", "<a number of 5,000 digits>": "9" * 5000}


class FaultySubject:
    """A scripted upstream with the clients that call it."""

    def __init__(self, upstream: ScriptedUpstream, timeout_s: float = _TIMEOUT_S) -> None:
        self.upstream = upstream
        self.timeout_s = timeout_s
        self.sender = SenderSubject({"u1": upstream})
        self.grants = KeyGrantClient(upstream.address, "u1")

    def grant(self) -> GrantOutcome:
        keys = KeyRange("desk", 0, 9, "u1", 3)
        return self.grants.grant(keys, 1.0, None, self.timeout_s)

    def close(self) -> None:
        self.grants.close()
        self.upstream.close()


class RefusingScript:
    """Refuses the first request of each connection, and writes the refusal again before the next.

    :param refusal: status and headers of the refusal.
    """

    def __init__(self, refusal: str) -> None:
        status, _, headers = refusal.partition(" ")
        lines = "".join(f"{text.strip()}\r\n" for text in headers.split(","))
        head = f"HTTP/1.1 {status} Refused\r\n{lines}Content-Length: 0\r\n\r\n"
        self._refusal = head.encode()
        #: Ids of the requests that were executed.
        self.executed: list[bytes | None] = []

    def __call__(self, head: bytes, number: int, total: int) -> Iterator[bytes]:
        if number == 0 and total == 0:
            yield self._refusal
            return
        self.executed.append(header(head, b"attempt-id"))
        yield (self._refusal if number > 0 else b"") + answer(head)


def _unescape(text: str) -> str:
    """Return the bytes of a response as text, from the notation of the tables."""
    for mark, meaning in _MARKS.items():
        text = text.replace(mark, meaning)
    return text


def _use(context: Context, subject: FaultySubject) -> None:
    context.faulty = subject
    context.add_cleanup(subject.close)


@given("an upstream that refuses the first request of each connection with {refusal}")
@given("an upstream that fails the first request of each connection with {refusal}")
def _(context: Context, refusal: str) -> None:
    context.script = RefusingScript(refusal)


@given("writes the refusal once more when the next request arrives")
@given("writes the failure once more when the next request arrives")
def _(context: Context) -> None:
    _use(context, FaultySubject(ScriptedUpstream(context.script, closes=False)))


@given("an upstream that closes the connection after {part} of a response")
def _(context: Context, part: str) -> None:
    data = b"" if part == "nothing" else _unescape(part).encode()
    _use(context, FaultySubject(ScriptedUpstream(lambda *_: [data], closes=True)))


@given("an upstream whose response has {part} without end")
def _(context: Context, part: str) -> None:
    _use(context, FaultySubject(ScriptedUpstream(lambda *_: endless(part), closes=False)))


@given("an upstream whose response has {part} without end, one byte at a time")
def _(context: Context, part: str) -> None:
    upstream = ScriptedUpstream(lambda *_: trickle(part), closes=False)
    _use(context, FaultySubject(upstream, _TRICKLE_TIMEOUT_S))


class EndlessSource(io.RawIOBase):
    """Returns the bytes of a response without end, and counts them."""

    def __init__(self, parts: Iterator[bytes]) -> None:
        super().__init__()
        self._parts = parts
        self._unread = b""
        self.received = 0

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: Any) -> int:
        if not self._unread:
            self._unread = next(self._parts, b"")
        data = self._unread[: len(buffer)]
        self._unread = self._unread[len(data) :]
        buffer[: len(data)] = data
        self.received += len(data)
        return len(data)


def _read(context: Context, parts: Iterator[bytes]) -> None:
    source = EndlessSource(parts)
    context.response_error = None
    tracemalloc.start()
    try:
        read_response(io.BufferedReader(source), "POST")
    except HTTPException as exc:
        context.response_error = exc
    finally:
        context.peak_memory = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
    context.received = source.received


@when("a response with {part} without end is read")
def _(context: Context, part: str) -> None:
    _read(context, iter(endless(part)))


@when("a response of {count} chunks of 1 byte is read")
def _(context: Context, count: str) -> None:
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    chunks = b"1\r\nx\r\n" * int(count.replace(",", ""))
    _read(context, iter((head, chunks, b"0\r\n\r\n")))


@then("it is rejected")
def _(context: Context) -> None:
    assert context.response_error is not None


@then("it is accepted")
def _(context: Context) -> None:
    assert context.response_error is None, context.response_error


@then("reading it took at most twice the memory of the largest body")
def _(context: Context) -> None:
    assert context.peak_memory <= 2 * MAX_RESPONSE_BODY_BYTES, context.peak_memory


@then("at most {size:d} KB were received")
def _(context: Context, size: int) -> None:
    assert context.received <= size * 1024, context.received


@when("request {request_id} is sent")
def _(context: Context, request_id: str) -> None:
    context.outcome = context.faulty.sender.send(request_id, context.faulty.timeout_s)


@when("keys are granted")
def _(context: Context) -> None:
    context.error = None
    try:
        context.faulty.grant()
    except KeyGrantError as exc:
        context.error = exc


@when("keys are granted twice on one client")
def _(context: Context) -> None:
    context.grant_outcomes = [context.faulty.grant() for _call in range(2)]


@then("its outcome is a refusal")
def _(context: Context) -> None:
    assert context.outcome.family is Family.NOT_RUN, context.outcome


@then("the upstream has run request {request_id} if the outcome is not a refusal, else it has not")
def _(context: Context, request_id: str) -> None:
    was_executed = request_id.encode() in context.script.executed
    assert was_executed == (context.outcome.family is not Family.NOT_RUN), context.outcome


@then("the first grant is refused and the second one is accepted")
def _(context: Context) -> None:
    expected = [GrantOutcome.FENCED_OFF, GrantOutcome.ACCEPTED]
    assert context.grant_outcomes == expected, context.grant_outcomes


@then("it is unknown whether the request was executed")
def _(context: Context) -> None:
    assert context.outcome.family is Family.UNKNOWN, context.outcome


@then('the outcome is a success with the body "{body}"')
def _(context: Context, body: str) -> None:
    assert context.outcome.family is Family.RAN, context.outcome
    assert context.outcome.body == body.encode(), context.outcome


@then("the grant has failed")
def _(context: Context) -> None:
    assert context.error is not None, "the grant was accepted"


@then("the upstream's connection was closed after at most {size:d} MB")
def _(context: Context, size: int) -> None:
    upstream = context.faulty.upstream
    assert upstream.was_closed.wait(_TIMEOUT_S), "the connection is still open"
    assert upstream.bytes_sent <= size * 1024 * 1024, upstream.bytes_sent
