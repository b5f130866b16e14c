"""Steps for requests that a caller sends before earlier ones of its connection were answered."""

import random
import socket
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from behave.runner import Context

from features.front_support import WAIT_TIMEOUT_S, FrontSubject, wait_until
from features.raw_caller import PipeliningCaller
from foxtailshunt.admission import Call
from foxtailshunt.errors import ResultCode
from foxtailshunt.network import caller_disconnected
from foxtailshunt.relay import Outcome

_GET = "GET /k/{0} HTTP/1.1\r\nX-Request-Id: {0}\r\n\r\n"
_PAY = "POST /k/{0}/pay HTTP/1.1\r\nX-Request-Id: {0}\r\nContent-Length: 0\r\n\r\n"
_PUT = "PUT /k/{0} HTTP/1.1\r\nX-Request-Id: {0}\r\nContent-Length: {1}\r\n\r\n"
_MALFORMED = "GET /k/bad HTTP/1.1\r\nnonsense\r\n\r\n"
#: Time for a request to arrive that must not arrive, in seconds.
_SETTLE_S = 0.3


class HeldUpstreams:
    """Upstreams that respond to each request when the scenario releases it."""

    def __init__(self, respond: Callable[[Call], bytes] | None = None) -> None:
        self._lock = threading.Lock()
        self._respond = respond
        self._released: dict[str, threading.Event] = {}
        self._all_released = threading.Event()
        self.arrived: list[str] = []
        self.in_progress: set[str] = set()
        self.cancelled: set[str] = set()

    def execute(self, call: Call, caller: socket.socket | None) -> Outcome:
        with self._lock:
            self.arrived.append(call.request_id)
            self.in_progress.add(call.request_id)
            released = self._released.setdefault(call.request_id, threading.Event())
        try:
            if self._respond is not None:
                body = self._respond(call)
                return Outcome(ResultCode.OK, "ok", 200, (), body, upstream_id="u1")
            while not released.wait(0.01) and not self._all_released.is_set():
                if caller_disconnected(caller):
                    self.cancelled.add(call.request_id)
                    return Outcome(ResultCode.CANCELLED, "the caller disconnected")
            body = f"answer to {call.request_id}".encode()
            return Outcome(ResultCode.OK, "ok", 200, (), body, upstream_id="u1")
        finally:
            with self._lock:
                self.in_progress.discard(call.request_id)

    def release(self, request_id: str) -> None:
        with self._lock:
            event = self._released.setdefault(request_id, threading.Event())
        event.set()
        wait_until(lambda: request_id not in self.in_progress, f"end of {request_id}")

    def release_all(self) -> None:
        self._all_released.set()


def _start(context: Context, upstreams: HeldUpstreams) -> None:
    context.upstreams = upstreams
    context.front = FrontSubject(["ok"], max_body_bytes=100_000)
    context.front.execute = upstreams.execute
    context.front.configure()
    context.add_cleanup(context.front.stop)
    context.add_cleanup(upstreams.release_all)
    context.pipeliner = PipeliningCaller(context.front)
    context.add_cleanup(context.pipeliner.sock.close)


@given("a front server whose upstreams hold requests until they are released")
def start_holding(context: Context) -> None:
    _start(context, HeldUpstreams())


@given("a front server whose upstreams respond at once with {size:d} bytes")
def start_with_large_responses(context: Context, size: int) -> None:
    _start(context, HeldUpstreams(lambda call: b"a" * size))


@when("a caller sends {count:d} idempotent requests at once")
def send_requests(context: Context, count: int) -> None:
    context.sent = count
    context.pipeliner.send("".join(_GET.format(n + 1) for n in range(count)))


@when("a caller sends {count:d} idempotent requests with a body of {size:d} bytes at once")
def send_bodies(context: Context, count: int, size: int) -> None:
    context.sent = count
    text = "".join(_PUT.format(n + 1, size) + "a" * size for n in range(count))
    # The front server stops reading at its limit, so that sending blocks.
    thread = threading.Thread(target=context.pipeliner.send, args=(text,), daemon=True)
    thread.start()


@when("a caller sends an idempotent request and another one when the first is at the upstream")
def send_second_later(context: Context) -> None:
    context.pipeliner.send(_GET.format(1))
    wait_until(lambda: context.upstreams.in_progress == {"1"}, "first request")
    time.sleep(_SETTLE_S)
    context.pipeliner.send(_GET.format(2))


@when("a caller sends an idempotent request, one that is not and an idempotent one at once")
def send_mixed(context: Context) -> None:
    context.pipeliner.send(_GET.format(1) + _PAY.format(2) + _GET.format(3))


@when("a caller sends a request that is not idempotent, another request, and disconnects")
def send_and_disconnect(context: Context) -> None:
    context.pipeliner.send(_PAY.format(1))
    wait_until(lambda: context.upstreams.in_progress == {"1"}, "first request")
    context.pipeliner.send(_GET.format(2))
    context.pipeliner.sock.close()


@when("a caller sends an idempotent request, a malformed one and an idempotent one at once")
def send_malformed(context: Context) -> None:
    context.pipeliner.send(_GET.format(1) + _MALFORMED + _GET.format(3))


@when("a caller asks to close the connection after request 1 and sends 2 more requests")
def send_behind_close(context: Context) -> None:
    closing = _GET.format(1).replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n")
    context.pipeliner.send(closing + _GET.format(2) + _PAY.format(3))


@when("the front server begins to drain")
def drain(context: Context) -> None:
    context.front.server.drain()


@when("the upstreams release the requests in the order {ids}")
def release(context: Context, ids: str) -> None:
    for request_id in ids.split(", "):
        context.upstreams.release(request_id)


@when("the upstreams release all requests")
def release_all(context: Context) -> None:
    context.upstreams.release_all()


@then("{count:d} requests are at the upstreams at the same time")
def check_in_progress(context: Context, count: int) -> None:
    wait_until(lambda: len(context.upstreams.in_progress) == count, f"{count} requests")


@then("{count:d} requests are at the upstreams at the same time, and no more")
def check_limit(context: Context, count: int) -> None:
    check_in_progress(context, count)
    time.sleep(_SETTLE_S)
    assert len(context.upstreams.in_progress) == count, context.upstreams.in_progress


@then("only request {request_id} is at the upstreams")
def check_only(context: Context, request_id: str) -> None:
    wait_until(lambda: request_id in context.upstreams.in_progress, f"request {request_id}")
    time.sleep(_SETTLE_S)
    assert context.upstreams.in_progress == {request_id}, context.upstreams.in_progress


@then("the caller receives the responses in the order {ids}")
def check_order(context: Context, ids: str) -> None:
    context.responses = [context.pipeliner.read_response() for _ in ids.split(", ")]
    bodies = [body.decode() for _, _, body in context.responses]
    assert bodies == [f"answer to {request_id}" for request_id in ids.split(", ")], bodies


@then("the caller receives the responses of all {count:d} requests in their order")
def check_all(context: Context, count: int) -> None:
    check_order(context, ", ".join(str(n + 1) for n in range(count)))


@then("the request in progress is cancelled")
def check_cancelled(context: Context) -> None:
    wait_until(lambda: context.upstreams.cancelled == {"1"}, "cancellation")


@then("no other request of the caller reaches the upstreams")
def check_no_other(context: Context) -> None:
    time.sleep(_SETTLE_S)
    assert context.upstreams.arrived == ["1"], context.upstreams.arrived


@then('the caller receives the response to request 1, then status 400 with "Connection: close"')
def check_malformed(context: Context) -> None:
    assert context.pipeliner.read_response()[2] == b"answer to 1"
    status, headers, _ = context.pipeliner.read_response()
    assert (status, headers["connection"]) == (400, "close")


@then('the caller receives the response to request 1 with "Connection: close"')
def check_closing(context: Context) -> None:
    _, headers, body = context.pipeliner.read_response()
    assert (body, headers["connection"]) == (b"answer to 1", "close")


@then('only the last response has "Connection: close"')
def check_last_closes(context: Context) -> None:
    closing = ["connection" in headers for _, headers, _ in context.responses]
    assert closing == [False] * (len(closing) - 1) + [True], closing


@then("the connection ends without a reset")
def check_end(context: Context) -> None:
    assert context.pipeliner.read_to_end() == b""


@when("a caller sends {count:d} idempotent requests and reads nothing")
def send_and_stall(context: Context, count: int) -> None:
    send_requests(context, count)
    time.sleep(_SETTLE_S)


@then("other callers are served meanwhile")
def check_others(context: Context) -> None:
    assert context.front.request("GET", "/k/other").status == 200


@then("at most {count:d} of the caller's requests have reached the upstreams")
def check_stalled(context: Context, count: int) -> None:
    time.sleep(_SETTLE_S)
    arrived = [request_id for request_id in context.upstreams.arrived if request_id.isdigit()]
    assert len(arrived) <= count, len(arrived)


class RandomTraffic:
    """Callers that send random requests in random pieces, and what they receive."""

    def __init__(self, context: Context, seed: int) -> None:
        self._rng = random.Random(seed)
        self._lock = threading.Lock()
        #: Requests in progress, and overlaps that are not allowed, by caller.
        self._running: dict[str, set[str]] = {}
        self.overlaps: list[str] = []
        _start(context, HeldUpstreams(self.respond))
        self._front = context.front

    def respond(self, call: Call) -> bytes:
        caller = call.request_id.split("-")[0]
        with self._lock:
            running = self._running.setdefault(caller, set())
            if running and (call.method == "POST" or any("pay" in other for other in running)):
                self.overlaps.append(f"{call.target} with {sorted(running)}")
            running.add(call.target)
            delay_s = self._rng.random() * 0.01
        time.sleep(delay_s)
        with self._lock:
            running.discard(call.target)
        return f"answer to {call.request_id}".encode()

    def run_caller(self, caller: int, count: int, seed: int) -> None:
        """Send requests in random pieces, and check that each response answers its request."""
        rng = random.Random(seed)
        ids = [f"{caller}-{n}" for n in range(count)]
        text = "".join(
            (
                _PAY.format(request_id)
                if rng.random() < 0.25
                else (
                    _PUT.format(request_id, 5) + "hello"
                    if rng.random() < 0.3
                    else _GET.format(request_id)
                )
            )
            for request_id in ids
        )
        pipeliner = PipeliningCaller(self._front)
        try:
            sender = threading.Thread(target=self._send_pieces, args=(pipeliner, text, rng))
            sender.start()
            for request_id in ids:
                status, headers, body = pipeliner.read_response()
                found = (status, headers["x-request-id"], body.decode())
                assert found == (200, request_id, f"answer to {request_id}"), found
            sender.join()
        finally:
            pipeliner.sock.close()

    def _send_pieces(self, pipeliner: PipeliningCaller, text: str, rng: random.Random) -> None:
        start = 0
        while start < len(text):
            end = start + rng.choice((1, 2, 7, 40, 200, 900))
            pipeliner.send(text[start:end])
            start = end
            if rng.random() < 0.2:
                time.sleep(rng.random() * 0.005)


@given("a front server whose upstreams respond after random times, seed {seed:d}")
def start_random(context: Context, seed: int) -> None:
    context.seed = seed
    context.traffic = RandomTraffic(context, seed)


@when("{callers:d} callers send {count:d} requests each, split at random places")
def run_callers(context: Context, callers: int, count: int) -> None:
    with ThreadPoolExecutor(callers) as executor:
        context.runs = [
            executor.submit(context.traffic.run_caller, n, count, context.seed * 100 + n)
            for n in range(callers)
        ]


@then("every caller receives the responses to its own requests in their order")
def check_runs(context: Context) -> None:
    for run in context.runs:
        run.result(WAIT_TIMEOUT_S)


@then("no request that is not idempotent overlapped with another of its connection")
def check_overlaps(context: Context) -> None:
    assert context.traffic.overlaps == [], context.traffic.overlaps
