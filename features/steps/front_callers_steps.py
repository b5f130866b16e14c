"""Steps for callers that are slow, many, malformed or gone."""

import json
import socket
from concurrent.futures import Future, ThreadPoolExecutor

from behave import given, then, when
from behave.runner import Context

from features.front_support import WAIT_TIMEOUT_S, CallerAnswer, FrontSubject, wait_until
from foxtailshunt.errors import ResultCode, family_of

_HALF = (b"PUT /k/a1 HTTP/1.1\r\nContent-Len", b"gth: 3\r\n\r\nabc")


class RawCaller:
    """A caller that writes bytes itself."""

    def __init__(self, context: Context) -> None:
        self.sock: socket.socket = context.front.connect()
        self._rest = b""
        context.add_cleanup(self.sock.close)

    def send(self, data: bytes) -> None:
        try:
            self.sock.sendall(data)
        except OSError:
            pass  # The front may refuse and close before everything was sent.

    def read_answer(self) -> CallerAnswer:
        data, self._rest = self._rest, b""
        while b"\r\n\r\n" not in data or data.startswith(b"HTTP/1.1 100"):
            data = data.removeprefix(b"HTTP/1.1 100 Continue\r\n\r\n")
            data += self._receive()
        head, _, body = data.partition(b"\r\n\r\n")
        status, *lines = head.decode().split("\r\n")
        headers = {name.lower(): value for name, _, value in (li.partition(": ") for li in lines)}
        length = int(headers["content-length"])
        while len(body) < length:
            body += self._receive()
        # What follows belongs to the next answer.
        self._rest = body[length:]
        return CallerAnswer(int(status.split()[1]), headers, body[:length])

    def _receive(self) -> bytes:
        data = self.sock.recv(65_536)
        assert data, "the connection ended early"
        return data


class Crowd:
    """Requests of many callers at the same time."""

    def __init__(self, context: Context, threads: int) -> None:
        self._front = context.front
        self._executor = ThreadPoolExecutor(threads)
        context.add_cleanup(self._executor.shutdown)

    def request(self, method: str, target: str) -> "Future[CallerAnswer]":
        return self._executor.submit(self._front.request, method, target)


def chunk(body: bytes) -> bytes:
    return b"".join(
        b"%x\r\n%b\r\n" % (len(piece), piece)
        for piece in [body[n : n + 999] for n in range(0, len(body), 999)] + [b""]
    )


def _start(context: Context, scripts: list[str], **limits: int) -> FrontSubject:
    context.front = FrontSubject(scripts, **limits)
    context.add_cleanup(context.front.stop)
    return context.front


@given('a front whose upstreams are "{scripts}"')
def start(context: Context, scripts: str) -> None:
    _start(context, scripts.split(", ")).configure()


@given("a front without a configuration")
def start_bare(context: Context) -> None:
    _start(context, ["ok"])


@given('a front that waits {timeout:d} s for a whole request, whose upstreams are "{scripts}"')
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
    context.caller.send(head + chunk(b"a" * size))


@when("a caller sends a body of {size:d} bytes in one go")
def send_large_body(context: Context, size: int) -> None:
    context.caller = RawCaller(context)
    head = b"PUT /k/a1 HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % size
    context.caller.sock.sendall(head + b"a" * size)


@when("a caller sends half of a body and closes its connection")
def send_half_body(context: Context) -> None:
    context.caller = RawCaller(context)
    context.caller.send(b"PUT /k/a1 HTTP/1.1\r\nContent-Length: 100\r\n\r\n" + b"a" * 50)
    context.caller.sock.shutdown(socket.SHUT_WR)


@then("nothing is sent on")
def check_nothing_is_sent(context: Context) -> None:
    # The connection ends once the front has dealt with what it got.
    while context.caller.sock.recv(65_536):
        pass
    assert context.front.upstreams.calls == []


@then("the bytes are answered with status {status:d} and code {code:d}")
def check_refusal(context: Context, status: int, code: int) -> None:
    answer = context.caller.read_answer()
    assert (answer.status, answer.code) == (status, code), answer
    assert answer.headers["x-request-id"] and b'"family": "not run"' in answer.body, answer


@then("nothing was sent on")
def check_nothing_dispatched(context: Context) -> None:
    assert context.front.upstreams.calls == []


@then("the front still answers others")
def check_answers(context: Context) -> None:
    assert context.front.request("GET", "/k/other").code == 100


@when("a caller sends a whole body of {size:d} bytes {manner}")
def send_in_manner(context: Context, size: int, manner: str) -> None:
    context.body = (bytes(range(256)) * (size // 256 + 1))[:size]
    caller = RawCaller(context)
    head = b"PUT /k/a1 HTTP/1.1\r\n"
    length = b"Content-Length: %d\r\n" % size
    if manner == "in pieces":
        whole = head + length + b"\r\n" + context.body
        for start in range(0, len(whole), 5000):
            caller.send(whole[start : start + 5000])
    elif manner == "chunked":
        caller.send(head + b"Transfer-Encoding: chunked\r\n\r\n" + chunk(context.body))
    elif manner == "after 100 Continue":
        caller.send(head + length + b"Expect: 100-continue\r\n\r\n")
        assert caller.sock.recv(100) == b"HTTP/1.1 100 Continue\r\n\r\n"
        caller.send(context.body)
    else:
        caller.send(b"GET /k/a0 HTTP/1.1\r\n\r\n" + head + length + b"\r\n" + context.body)
        assert caller.read_answer().code == 100
    assert caller.read_answer().body == b"\0whole:" + context.body


@then("the upstream got the body")
def check_body(context: Context) -> None:
    assert context.front.upstreams.calls[-1].body == context.body


@when("{count:d} callers each send half a request and wait")
def send_halves(context: Context, count: int) -> None:
    context.callers = [RawCaller(context) for _ in range(count)]
    context.caller = context.callers[0]
    for caller in context.callers:
        caller.send(_HALF[0])


@then("the callers that waited are answered once they send the other half")
def send_other_halves(context: Context) -> None:
    codes = set()
    for caller in context.callers:
        # One at a time: many at once may be over the limit of their rank.
        caller.send(_HALF[1])
        codes.add(caller.read_answer().code)
    assert codes == {100}, codes


@when('a caller sends "{method}" with the id {request_id}')
def send(context: Context, method: str, request_id: str) -> None:
    targets = {"POST": "/k/a1/pay"}
    target = targets.get(method, "/k/a1")
    context.answer = context.front.request(method, target, {"X-Request-Id": request_id})
    context.method = method


@then("the answer has status {status:d}, code {code:d} and the id {request_id}")
def check_answer(context: Context, status: int, code: int, request_id: str) -> None:
    answer = context.answer
    found = (answer.status, answer.code, answer.headers["x-request-id"])
    assert found == (status, code, request_id), answer
    if code == 100:
        assert answer.headers["x-kind"] == "scripted", answer
        assert answer.body == (b"" if context.method == "HEAD" else b"\0whole:"), answer


@then("{count:d} tries were made")
def check_tries(context: Context, count: int) -> None:
    assert len(context.front.upstreams.calls) == count, context.front.upstreams.calls


@then("the answer names its family, and asks to come back {when}")
def check_family(context: Context, when: str) -> None:
    answer = context.answer
    wanted = {"never": None, "after 1 s": "1", "after 3 s": "3"}[when]
    assert answer.headers.get("retry-after") == wanted, answer
    if answer.code != 100:
        document = json.loads(answer.body)
        code = ResultCode(answer.code)
        told = (document["code"], document["name"], document["family"], document["request_id"])
        assert told == (answer.code, code.name, family_of(code).value, "order-1"), document


@when("a caller waits for an answer and the front is stopped")
def stop_meanwhile(context: Context) -> None:
    subject = context.front
    context.waiting = Crowd(context, 1).request("GET", "/wait/a1")
    wait_until(lambda: bool(subject.upstreams.calls), "request")
    subject.server.drain()
    subject.server.stop_accepting()


@then('the caller gets the whole answer and "Connection: close"')
def check_not_cut(context: Context) -> None:
    context.front.upstreams.release.set()
    answer = context.waiting.result(WAIT_TIMEOUT_S)
    assert (answer.code, answer.body) == (100, b"\0whole:")
    assert answer.headers["connection"] == "close"


@then("nobody can connect any more")
def check_stopped(context: Context) -> None:
    try:
        context.front.connect()
    except ConnectionRefusedError:
        return
    raise AssertionError("the front still listens")
