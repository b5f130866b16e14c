"""Steps for invalid statuses of upstreams, from the upstream's socket to the caller's."""

import socket
from collections.abc import Iterator
from dataclasses import replace

from behave import given, then, when
from behave.runner import Context

from features.front_support import FrontSubject
from features.scripted_upstream import ScriptedUpstream, SenderSubject, header
from foxtailshunt.admission import Call
from foxtailshunt.relay import Outcome

_TIMEOUT_S = 20.0
_BODY = b"forged"
_INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"


class StatusSubject:
    """A front server, a sender and an upstream with a scripted status line.

    :param status_line: the status line.
    :param interim: bytes that the upstream sends before it.
    """

    def __init__(self, status_line: str, interim: bytes = b"") -> None:
        self._head = interim + status_line.encode()
        self._upstream = ScriptedUpstream(self._respond, closes=True)
        self._sender = SenderSubject({"u1": self._upstream})
        self._front = FrontSubject([])
        self._front.execute = self._execute
        self._front.configure()
        self.response = None

    def request(self) -> None:
        self.response = self._front.request("POST", "/k/1/pay", body=b"x")

    def close(self) -> None:
        self._front.stop()
        self._upstream.close()

    def _execute(self, call: Call, caller: socket.socket | None) -> Outcome:
        outcome = self._sender.send(call.request_id, _TIMEOUT_S)
        return replace(outcome, upstream_id="u1")

    def _respond(self, head: bytes, number: int, total: int) -> Iterator[bytes]:
        request_id = header(head, b"attempt-id") or b""
        yield self._head + b"\r\nAttempt-Id: " + request_id + b"\r\nResponse-Seal: seal\r\n"
        yield b"Content-Length: %d\r\n\r\n" % len(_BODY) + _BODY


@given("an upstream that responds with the status line {line}")
def _(context: Context, line: str) -> None:
    context.statuses = StatusSubject(line)
    context.add_cleanup(context.statuses.close)


@given("an upstream that responds with an interim response and the status line {line}")
def _(context: Context, line: str) -> None:
    context.statuses = StatusSubject(line, _INTERIM)
    context.add_cleanup(context.statuses.close)


@when("a caller's request is passed on to it")
def _(context: Context) -> None:
    context.statuses.request()


@then("the caller gets {status:d}")
def _(context: Context, status: int) -> None:
    assert context.statuses.response.status == status, context.statuses.response


@then("the response names neither the upstream's status nor its body")
def _(context: Context) -> None:
    assert _BODY not in context.statuses.response.body, context.statuses.response
