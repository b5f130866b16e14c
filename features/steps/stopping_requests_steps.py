"""Steps for requests that arrive at a node that is stopping."""

import time

from behave import then, when
from behave.runner import Context

from features.front_support import WAIT_TIMEOUT_S, wait_until
from foxtailshunt.front import _front_server

_REQUEST = b"GET /k/a1 HTTP/1.1\r\nHost: callers.example\r\n\r\n"


@when("a caller connects while the front server drains, and the server accepts no more")
def connect_while_draining(context: Context) -> None:
    previous = _front_server.FIRST_REQUEST_TIMEOUT_S
    _front_server.FIRST_REQUEST_TIMEOUT_S = WAIT_TIMEOUT_S
    context.add_cleanup(setattr, _front_server, "FIRST_REQUEST_TIMEOUT_S", previous)
    front = context.front
    front.server.drain()
    context.late_connection = front.connect()
    context.add_cleanup(context.late_connection.close)
    # Connections are accepted in order: after this response, the one above has been accepted.
    assert front.request("GET", "/k/a1").status == 201
    front.server.stop_accepting()


@then("the front server counts 1 request that may still come")
def check_not_idle(context: Context) -> None:
    server = context.front.server
    assert server.wait_until_idle(time.monotonic() + 0.2) == 1, "the process would exit"


@then("a request on that connection is answered")
def check_late_request(context: Context) -> None:
    context.late_connection.sendall(_REQUEST)
    data = b""
    while piece := context.late_connection.recv(65_536):
        data += piece
    assert data.startswith(b"HTTP/1.1 201 "), data
    assert b"Connection: close" in data, data


@then("the front server becomes idle")
def check_idle(context: Context) -> None:
    wait_until(lambda: context.front.server.wait_until_idle(time.monotonic()) == 0, "idle")
