"""Steps for requests that arrive at a node that is stopping."""

import threading
import time
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor

from behave import given, then, when
from behave.runner import Context

from features.front_support import WAIT_TIMEOUT_S, wait_until
from features.node_support import CallerAnswer, NodeFleet
from features.scripted_upstream import ScriptedUpstream, SenderSubject, answer, header
from foxtailshunt.errors import ResultCode
from foxtailshunt.front import _front_server
from foxtailshunt.relay import Outcome, StopSchedule

_LONG_DEADLINE_MS = 14_000
_MAX_RETRY_AFTER_S = 0.2
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


@given("a node whose upstream takes 1 s for a request and has 2 slots")
def start_node(context: Context) -> None:
    fleet = NodeFleet()
    context.fleet_subject = fleet
    route = {"service": "press", "timeout": "14000ms", "aim": "3000ms", "max_attempts": 1}
    fleet.configure(
        {
            "desk": {"service": "desk"},
            "print": route | {"route_type": "unsafe"},
            "look": route | {"route_type": "safe"},
        },
        {"desk": True, "press": False},
    )
    fleet.add_owner("d0", "desk")
    fleet.add_owner("p0", "press", keyed=False, work_s=1.0, slots=2)
    fleet.add_node("n0")
    fleet.wait_until_serving()
    # Lets the node learn how long the requests take.
    paths = ["/print/x", "/look/x"] * 3
    assert all(early.status == 200 for early in _send_all(fleet, paths))


def _send_all(fleet: NodeFleet, paths: list[str]) -> list[CallerAnswer]:
    def send(path: str) -> CallerAnswer:
        method = "POST" if path.startswith("/print") else "GET"
        return fleet.request("n0", path, method=method, deadline_ms=_LONG_DEADLINE_MS)

    with ThreadPoolExecutor(len(paths)) as executor:
        return list(executor.map(send, paths))


@when("the node is asked to stop, and callers send {count:d} long requests 1 s later")
def stop_and_send(context: Context, count: int) -> None:
    fleet = context.fleet_subject
    node = fleet.nodes["n0"]
    node.process.terminate()
    fleet.wait_until(lambda: not node.is_ready(), "the node is not ready")
    time.sleep(1.0)
    context.late_answers = _send_all(fleet, ["/print/late", "/look/late"] * (count // 2))
    print(sorted(late.status for late in context.late_answers))


@then("every request got a response")
def check_all_answered(context: Context) -> None:
    answers = context.late_answers
    cut = [late for late in answers if late.status == 0]
    ran = sum(context.fleet_subject.runs(late.request_id) for late in cut)
    assert not cut, f"{len(cut)} of {len(answers)} requests were cut, {ran} of them ran"
    assert {late.status for late in answers} >= {200, 503}, answers


@then("every refused request was not run, and can be sent again at once")
def check_refused(context: Context) -> None:
    for late in context.late_answers:
        if late.status == 503:
            assert context.fleet_subject.runs(late.request_id) == 0, late
            assert float(late.headers["retry-after"]) <= _MAX_RETRY_AFTER_S, late


@then("no request ran more than once")
def check_runs(context: Context) -> None:
    runs = [context.fleet_subject.runs(late.request_id) for late in context.late_answers]
    assert max(runs) == 1, runs


@then("the node has ended with code 0")
def check_ended(context: Context) -> None:
    process = context.fleet_subject.nodes["n0"].process
    context.fleet_subject.wait_until(lambda: not process.running, "the node has ended")
    assert process.exit_code == 0, process.exit_code


@given("a node that was asked to stop and exits at {exits_at:f} s")
def begin_to_stop(context: Context, exits_at: float) -> None:
    context.schedule = StopSchedule()
    context.schedule.begin(exits_at)


@when(
    "at {now:f} s a request has the deadline {deadline:f} s, a mean latency of {latency:f} s, "
    "and is {kind}"
)
def decide(context: Context, now: float, deadline: float, latency: float, kind: str) -> None:
    context.may_run = context.schedule.may_run(deadline, latency, now, kind == "idempotent")
    context.limit = context.schedule.limit(deadline)


@then("the request is refused")
def check_not_sent(context: Context) -> None:
    assert not context.may_run


@then("the request is sent until {deadline:f} s")
def check_sent(context: Context, deadline: float) -> None:
    assert context.may_run
    assert abs(context.limit - deadline) < 1e-6, context.limit


@then(
    "the response to a request with the deadline {deadline:f} s is awaited after {after:f} s "
    "and before {before:f} s"
)
def check_awaited_between(context: Context, deadline: float, after: float, before: float) -> None:
    assert after < context.schedule.response_deadline(deadline) < before


@then("the response to a request with the deadline {deadline:f} s is awaited until {end:f} s")
def check_awaited_until(context: Context, deadline: float, end: float) -> None:
    assert context.schedule.response_deadline(deadline) == end


@when("its node is about to exit")
def exit_soon(context: Context) -> None:
    context.subject = getattr(context, "stopping_sender", None) or context.front
    context.subject.stop_schedule.begin(time.monotonic())


@when("its node exits in 10 s and a caller sends a request with a deadline of 20 s")
def send_while_stopping(context: Context) -> None:
    context.front.stop_schedule.begin(time.monotonic() + 10.0)
    context.response = context.front.request("GET", "/wait/a1", {"X-Request-Id": "order-1"})


@then("the upstream's deadline is that of the stopping node")
def check_call_deadline(context: Context) -> None:
    deadlines = [call.deadline for call in context.front.upstreams.calls]
    assert deadlines == [context.front.stop_schedule.limit(float("inf"))], deadlines


class _GatedUpstream:
    """An upstream that answers when it is told to, behind a sender with one slot for it."""

    def __init__(self, context: Context) -> None:
        self.gate = threading.Event()
        self.server = ScriptedUpstream(self._answer, closes=False)
        self.sender = SenderSubject({"u1": self.server}, slots=1)
        self.executor = ThreadPoolExecutor()
        context.stopping_sender = self.sender
        context.add_cleanup(self.server.close)
        context.add_cleanup(self.executor.shutdown)
        context.add_cleanup(self.gate.set)

    def _answer(self, head: bytes, number: int, total: int) -> Iterator[bytes]:
        self.gate.wait(WAIT_TIMEOUT_S)
        yield answer(head)

    def send(self, request_id: str) -> Future[Outcome]:
        return self.executor.submit(self.sender.send, request_id, 30.0)


@given("a sender with a running and a queued request, both with 30 s left")
def start_sender(context: Context) -> None:
    context.gated = gated = _GatedUpstream(context)
    context.running = gated.send("r1")
    wait_until(lambda: len(gated.server.requests) == 1, "the first request runs")
    context.queued = gated.send("r2")
    wait_until(lambda: gated.sender.load() == (1, 1), "the second request is queued")


@then("the queued request is refused as stopping and was not sent")
def check_queued(context: Context) -> None:
    outcome = context.queued.result(WAIT_TIMEOUT_S)
    assert (outcome.code, outcome.arrived) == (ResultCode.STOPPING, False), outcome
    assert len(context.gated.server.requests) == 1


@then("the running request gets its upstream's response")
def check_running(context: Context) -> None:
    assert not context.running.done()
    context.gated.gate.set()
    assert context.running.result(WAIT_TIMEOUT_S).code is ResultCode.OK


@given("a sender whose node exits in 10 s")
def start_stopping_sender(context: Context) -> None:
    context.gated = _GatedUpstream(context)
    context.gated.gate.set()
    context.gated.sender.stop_schedule.begin(time.monotonic() + 10.0)


@when("a request with 30 s left is sent")
def send_to_stopping_sender(context: Context) -> None:
    assert context.gated.send("r1").result(WAIT_TIMEOUT_S).code is ResultCode.OK


@then("the upstream was told a deadline of less than 9.8 s")
def check_told_deadline(context: Context) -> None:
    told_ms = int(header(context.gated.server.requests[0], b"deadline-ms") or b"0")
    assert 0 < told_ms < 9_800, told_ms
