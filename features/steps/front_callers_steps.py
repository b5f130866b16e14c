"""Steps for slow, concurrent, malformed and disconnected callers of the front server."""

import json
import socket
import threading
from concurrent.futures import Future, ThreadPoolExecutor

from behave import given, then, when
from behave.runner import Context

from features.front_support import WAIT_TIMEOUT_S, CallerResponse, FrontSubject, wait_until
from features.raw_caller import RawCaller, encode_chunks
from foxtailshunt.errors import ResultCode, family_of

_REQUEST_HALVES = (b"PUT /k/a1 HTTP/1.1\r\nContent-Len", b"gth: 3\r\n\r\nabc")


class ConcurrentCallers:
    """Sends requests of several callers concurrently."""

    def __init__(self, context: Context, threads: int) -> None:
        self._front = context.front
        self._executor = ThreadPoolExecutor(threads)
        context.add_cleanup(self._executor.shutdown)

    def request(self, method: str, target: str) -> "Future[CallerResponse]":
        return self._executor.submit(self._front.request, method, target)


def _start(context: Context, scripts: list[str], **limits: int) -> FrontSubject:
    context.front = FrontSubject(scripts, **limits)
    context.add_cleanup(context.front.stop)
    return context.front


@given('a front server whose upstreams respond with "{scripts}"')
def start(context: Context, scripts: str) -> None:
    _start(context, scripts.split(", ")).configure()


@given("a front server without a configuration")
def start_without_configuration(context: Context) -> None:
    _start(context, ["ok"])


@given(
    "a front server with a header timeout of {timeout:d} s, "
    'whose upstreams respond with "{scripts}"'
)
def set_read_timeout(context: Context, timeout: int, scripts: str) -> None:
    limits = {"header_timeout_ms": timeout * 1000}
    _start(context, scripts.split(", "), **limits).configure()


@when('a caller sends the bytes "{text}"')
def send_bytes(context: Context, text: str) -> None:
    context.caller = RawCaller(context)
    context.caller.send(text.encode().decode("unicode_escape").encode("latin-1"))


@when("a caller sends a header of {size:d} bytes")
def send_large_header(context: Context, size: int) -> None:
    context.caller = RawCaller(context)
    context.caller.send(b"GET /k/a1 HTTP/1.1\r\nX-A: " + b"a" * size + b"\r\n\r\n")


@when("a caller sends a chunked body of {size:d} bytes")
def send_large_chunked(context: Context, size: int) -> None:
    context.caller = RawCaller(context)
    head = b"PUT /k/a1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    context.caller.send(head + encode_chunks(b"a" * size))


@when("a caller sends a body of {size:d} bytes in one go")
def send_large_body(context: Context, size: int) -> None:
    context.caller = RawCaller(context)
    head = b"PUT /k/a1 HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % size
    context.caller.sock.sendall(head + b"a" * size)


@when("a caller sends the rest of a body of {size:d} bytes after the front server has rejected it")
def send_after_rejection(context: Context, size: int) -> None:
    context.caller = RawCaller(context)
    sent = size // 2
    head = b"PUT /k/a1 HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % size
    context.caller.sock.sendall(head + b"a" * 1000)
    assert context.caller.sock.recv(1, socket.MSG_PEEK), "no rejection has arrived"
    for part in (sent, size - 1000 - sent):
        context.caller.sock.sendall(b"a" * part)


@when("a caller sends half of a body and closes its connection")
def send_half_body(context: Context) -> None:
    context.caller = RawCaller(context)
    context.caller.send(b"PUT /k/a1 HTTP/1.1\r\nContent-Length: 100\r\n\r\n" + b"a" * 50)
    context.caller.sock.shutdown(socket.SHUT_WR)


@then("the connection ends without a request to an upstream")
def check_connection_ends(context: Context) -> None:
    # The server closes the connection after it has handled the incomplete request.
    while context.caller.sock.recv(65_536):
        pass
    assert context.front.upstreams.calls == []


@then("the bytes are rejected with status {status:d} and code {code:d}")
def check_refusal(context: Context, status: int, code: int) -> None:
    response = context.caller.read_response()
    assert (response.status, response.code) == (status, code), response
    assert response.headers["x-request-id"] and b'"family": "not run"' in response.body, response


@then("no upstream received a request")
def check_no_request(context: Context) -> None:
    assert context.front.upstreams.calls == []


@then("other callers are still served")
def check_others_served(context: Context) -> None:
    assert context.front.request("GET", "/k/other").code == 100


@when("a caller sends a complete body of {size:d} bytes {manner}")
def send_complete_body(context: Context, size: int, manner: str) -> None:
    context.body = (bytes(range(256)) * (size // 256 + 1))[:size]
    caller = RawCaller(context)
    head = b"PUT /k/a1 HTTP/1.1\r\n"
    length = b"Content-Length: %d\r\n" % size
    if manner == "in pieces":
        data = head + length + b"\r\n" + context.body
        for start in range(0, len(data), 5000):
            caller.send(data[start : start + 5000])
    elif manner == "chunked":
        caller.send(head + b"Transfer-Encoding: chunked\r\n\r\n" + encode_chunks(context.body))
    elif manner == "after 100 Continue":
        caller.send(head + length + b"Expect: 100-continue\r\n\r\n")
        assert caller.sock.recv(100) == b"HTTP/1.1 100 Continue\r\n\r\n"
        caller.send(context.body)
    else:
        caller.send(b"GET /k/a0 HTTP/1.1\r\n\r\n" + head + length + b"\r\n" + context.body)
        assert caller.read_response().code == 100
    assert caller.read_response().body == b"\0whole:" + context.body


@then("the upstream received the body")
def check_body(context: Context) -> None:
    assert context.front.upstreams.calls[-1].body == context.body


@when("{count:d} callers each send half of a request and wait")
def send_halves(context: Context, count: int) -> None:
    context.callers = [RawCaller(context) for _ in range(count)]
    context.caller = context.callers[0]
    for caller in context.callers:
        caller.send(_REQUEST_HALVES[0])


@then("the waiting callers get a response after they send the other half")
def send_other_halves(context: Context) -> None:
    codes = set()
    for caller in context.callers:
        # Sent one at a time, since concurrent requests may exceed the limit of their rank.
        caller.send(_REQUEST_HALVES[1])
        codes.add(caller.read_response().code)
    assert codes == {100}, codes


@when('a caller sends "{method}" with the id {request_id}')
def send(context: Context, method: str, request_id: str) -> None:
    targets = {"POST": "/k/a1/pay"}
    target = targets.get(method, "/k/a1")
    context.response = context.front.request(method, target, {"X-Request-Id": request_id})
    context.method = method


@then("the response has status {status:d}, code {code:d} and the id {request_id}")
def check_response(context: Context, status: int, code: int, request_id: str) -> None:
    response = context.response
    found = (response.status, response.code, response.headers["x-request-id"])
    assert found == (status, code, request_id), response
    if code == 100:
        assert response.headers["x-kind"] == "scripted", response
        assert response.body == (b"" if context.method == "HEAD" else b"\0whole:"), response


@then("{count:d} attempts were made")
def check_tries(context: Context, count: int) -> None:
    assert len(context.front.upstreams.calls) == count, context.front.upstreams.calls


@then("the response names its result family, and its Retry-After is {retry_after}")
def check_family(context: Context, retry_after: str) -> None:
    response = context.response
    expected = {"absent": None, "1 s": "1", "3 s": "3"}[retry_after]
    assert response.headers.get("retry-after") == expected, response
    if response.code != 100:
        document = json.loads(response.body)
        code = ResultCode(response.code)
        found = (document["code"], document["name"], document["family"], document["request_id"])
        assert found == (response.code, code.name, family_of(code).value, "order-1"), document


@when("the front server is stopped while a caller waits for a response")
def stop_during_request(context: Context) -> None:
    subject = context.front
    context.waiting = ConcurrentCallers(context, 1).request("GET", "/wait/a1")
    wait_until(lambda: bool(subject.upstreams.calls), "request")
    subject.server.drain()
    subject.server.stop_accepting()


@then('the caller gets the complete response with "Connection: close"')
def check_not_cut(context: Context) -> None:
    context.front.upstreams.release.set()
    response = context.waiting.result(WAIT_TIMEOUT_S)
    assert (response.code, response.body) == (100, b"\0whole:")
    assert response.headers["connection"] == "close"


@then("new connections are refused")
def check_stopped(context: Context) -> None:
    try:
        context.front.connect()
    except ConnectionRefusedError:
        return
    raise AssertionError("the front server still accepts connections")


@when("{count:d} callers connect while the front server accepts slowly, and it is stopped")
def stop_while_accepting(context: Context, count: int) -> None:
    server = context.front.server
    is_accepting, may_continue = threading.Event(), threading.Event()
    add_connection = server._add_connection

    def add_slowly(sock: socket.socket) -> None:
        is_accepting.set()
        may_continue.wait(WAIT_TIMEOUT_S)
        add_connection(sock)

    server._add_connection = add_slowly
    context.callers = [RawCaller(context) for _ in range(count)]
    for caller in context.callers:
        caller.send(b"GET /k/a1 HTTP/1.1\r\n\r\n")
    assert is_accepting.wait(WAIT_TIMEOUT_S)
    server.drain()
    stopping = threading.Thread(target=server.stop_accepting)
    stopping.start()
    wait_until(server._stopping.is_set, "the stop")
    may_continue.set()
    stopping.join()


@then("each of the {count:d} callers gets its complete response")
def check_all_served(context: Context, count: int) -> None:
    assert [caller.read_response().code for caller in context.callers] == [100] * count
