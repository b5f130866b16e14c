"""Steps for callers that are slow, many, malformed or gone."""

import socket
import threading
from concurrent.futures import Future, ThreadPoolExecutor

from behave import given, then, when
from behave.runner import Context
from entry_forwarding_steps import start_entry
from entry_support import PATIENCE_S, CallerAnswer, wait_until

from foxtailshunt.entry._caller_connection import CallerConnection
from foxtailshunt.entry._ranked_queue import RankedQueue

_REQUEST_LINES = {
    "get": b"GET /k/a1 HTTP/1.1",
    "pay": b"POST /k/a1/pay HTTP/1.1",
    "report": b"GET /report/a1 HTTP/1.1",
    "nothing": b"GET /nothing HTTP/1.1",
}
_HALF = (b"PUT /k/a1 HTTP/1.1\r\nContent-Len", b"gth: 3\r\n\r\nabc")


class RawCaller:
    """A caller that writes bytes itself."""

    def __init__(self, context: Context) -> None:
        self.sock: socket.socket = context.entry.connect()
        context.add_cleanup(self.sock.close)

    def send(self, data: bytes) -> None:
        try:
            self.sock.sendall(data)
        except OSError:
            pass  # The entry may refuse and close before everything was sent.

    def read_answer(self) -> CallerAnswer:
        data = b""
        while b"\r\n\r\n" not in data or data.startswith(b"HTTP/1.1 100"):
            data = data.removeprefix(b"HTTP/1.1 100 Continue\r\n\r\n")
            data += self._receive()
        head, _, body = data.partition(b"\r\n\r\n")
        status, *lines = head.decode().split("\r\n")
        headers = {name.lower(): value for name, _, value in (li.partition(": ") for li in lines)}
        while len(body) < int(headers["content-length"]):
            body += self._receive()
        return CallerAnswer(int(status.split()[1]), headers, body)

    def _receive(self) -> bytes:
        data = self.sock.recv(65_536)
        assert data, "the connection ended early"
        return data


class Crowd:
    """Requests of many callers at the same time."""

    def __init__(self, context: Context, threads: int) -> None:
        self._entry = context.entry
        self._executor = ThreadPoolExecutor(threads)
        context.add_cleanup(self._executor.shutdown)

    def request(self, method: str, target: str) -> "Future[CallerAnswer]":
        return self._executor.submit(self._entry.request, method, target)


def chunk(body: bytes) -> bytes:
    return b"".join(
        b"%x\r\n%b\r\n" % (len(piece), piece)
        for piece in [body[n : n + 999] for n in range(0, len(body), 999)] + [b""]
    )


@given(
    "an entry with limits urgent {urgent:d}, careful {careful:d} and deferrable {deferrable:d} "
    'whose dispatchers are "{scripts}"'
)
def start_limited(
    context: Context, urgent: int, careful: int, deferrable: int, scripts: str
) -> None:
    limits = {"urgent": urgent, "careful": careful, "deferrable": deferrable}
    start_entry(context, scripts.split(", "), **limits).configure()


@given('an entry for {count:d} connections whose dispatchers are "{scripts}"')
def start_for_connections(context: Context, count: int, scripts: str) -> None:
    start_entry(context, scripts.split(", "), max_connections=count).configure()


@given("the entry waits {timeout:d} s for a whole request")
def set_read_timeout(context: Context, timeout: int) -> None:
    context.entry.entry.wait_for_requests(timeout)


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


@then("the bytes are answered with status {status:d} and code {code:d}")
def check_refusal(context: Context, status: int, code: int) -> None:
    answer = context.caller.read_answer()
    assert (answer.status, answer.code) == (status, code), answer
    assert answer.headers["x-request-id"] and b'"family": "not run"' in answer.body, answer


@then("nothing was dispatched")
def check_nothing_dispatched(context: Context) -> None:
    assert context.entry.dispatchers[0].requests == []


@then("the entry still answers others")
def check_answers(context: Context) -> None:
    assert context.entry.request("GET", "/k/other").code == 100


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


@then("the dispatcher got the body")
def check_body(context: Context) -> None:
    assert context.entry.dispatchers[0].requests[-1].body == context.body


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


@when("{count:d} callers send requests of rank deferrable")
def send_flood(context: Context, count: int) -> None:
    context.crowd = Crowd(context, count + 1)
    context.flood = [context.crowd.request("GET", f"/report/{n}") for n in range(count)]


@then("{count:d} of them are answered with code {code:d}")
def check_flood(context: Context, count: int, code: int) -> None:
    wait_until(lambda: sum(fut.done() for fut in context.flood) == count, "refusals")
    assert {fut.result().code for fut in context.flood if fut.done()} == {code}


@then("a request of rank urgent reaches the dispatcher")
def check_urgent(context: Context) -> None:
    dispatcher = context.entry.dispatchers[0]
    urgent = context.crowd.request("GET", "/wait/u1")
    wait_until(lambda: any(r.rank == "urgent" for r in dispatcher.requests), "urgent request")
    dispatcher.release.set()
    assert urgent.result(PATIENCE_S).code == 100


@when('the workers are busy and requests arrive in the order "{names}"')
def queue_requests(context: Context, names: str) -> None:
    server = context.entry.entry._server
    waiting = RankedQueue()
    for name in names.split():
        conn = CallerConnection(server, context.entry.connect(), None)
        conn.request_line = _REQUEST_LINES[name]
        conn.priority = server.handler.priority_of(conn.request_line)
        waiting.put(conn)
        context.add_cleanup(conn.close)
    waiting.put(object())
    context.waiting = waiting


@then('the workers take them in the order "{names}"')
def check_order(context: Context, names: str) -> None:
    taken = [context.waiting.get() for _ in range(context.waiting.qsize())]
    lines = [conn.request_line for conn in taken[:-1]]
    assert lines == [_REQUEST_LINES[name] for name in names.split()], lines
    assert not isinstance(taken[-1], CallerConnection)


@when("{count:d} callers connect and stay")
def connect_many(context: Context, count: int) -> None:
    context.callers = [RawCaller(context) for _ in range(count)]
    for caller in context.callers:
        caller.send(b"GET /k/a1 HTTP/1.1\r\n\r\n")
        assert caller.read_answer().code == 100


@then("one more caller is refused with status {status:d}")
def check_refused(context: Context, status: int) -> None:
    assert RawCaller(context).read_answer().status == status


@then("a caller that stayed is still answered")
def check_stayed(context: Context) -> None:
    context.callers[0].send(b"GET /k/a1 HTTP/1.1\r\n\r\n")
    assert context.callers[0].read_answer().code == 100


@when("a caller sends a request and hangs up")
def hang_up(context: Context) -> None:
    caller = RawCaller(context)
    caller.send(b"GET /wait/a1 HTTP/1.1\r\nX-Request-Id: gone-1\r\n\r\n")
    dispatcher = context.entry.dispatchers[0]
    wait_until(lambda: bool(dispatcher.requests), "request")
    caller.sock.close()


@then("the dispatcher is asked to cancel it")
def check_cancelled(context: Context) -> None:
    dispatcher = context.entry.dispatchers[0]
    wait_until(lambda: dispatcher.cancelled == ["gone-1"], "cancellation")
    assert context.entry.metrics.counter_value("foxtailshunt_entry_hangups_total") == 1


@when("a caller waits for an answer and the entry is stopped")
def stop_meanwhile(context: Context) -> None:
    subject = context.entry
    context.waiting = Crowd(context, 1).request("GET", "/wait/a1")
    wait_until(lambda: bool(subject.dispatchers[0].requests), "request")
    context.stopping = threading.Thread(target=subject.entry.stop)
    context.stopping.start()
    wait_until(lambda: not subject.entry.is_healthy, "announcement")


@then("the entry is unhealthy")
def check_unhealthy(context: Context) -> None:
    assert not context.entry.entry.is_healthy


@then('the caller gets the whole answer and "Connection: close"')
def check_not_cut(context: Context) -> None:
    context.entry.dispatchers[0].release.set()
    answer = context.waiting.result(PATIENCE_S)
    assert (answer.code, answer.body) == (100, b"\0whole:")
    assert answer.headers["connection"] == "close"


@then("nobody can connect any more")
def check_stopped(context: Context) -> None:
    context.stopping.join(PATIENCE_S)
    try:
        context.entry.connect()
    except ConnectionRefusedError:
        return
    raise AssertionError("the entry still listens")
