"""Steps for requests through a real node."""

import socket
import threading
import time

from behave import given, then, when
from behave.runner import Context

from features.node_support import CallerAnswer, NodeFleet
from standins.keyowner import Manner

_DESK, _COUNTER = "desk", "counter"
_RUNS = {"once": (1, 1), "never": (0, 0), "at most 2 times": (1, 2)}


class RequestSubject:
    """A node with two upstreams, and the callers of a scenario."""

    def __init__(self) -> None:
        self.fleet = NodeFleet()
        self.routes = {
            "hold": {"service": _DESK, "route_type": "unsafe", "timeout": "8000ms"},
            "look": {"service": _DESK, "route_type": "safe", "timeout": "8000ms"},
            "issue": {"service": _COUNTER, "route_type": "unsafe", "timeout": "8000ms"},
        }
        self.services = {_DESK: True, _COUNTER: False}
        self.fleet.configure(self.routes, self.services)
        self.desk = self.fleet.add_owner("d0", _DESK)
        self.counter = self.fleet.add_owner("c0", _COUNTER, keyed=False)
        self.fleet.add_node("n0")
        self.fleet.wait_until_serving()
        self.waiting: list[threading.Thread] = []
        self.answers: list[CallerAnswer] = []

    def send(self, path: str, **options: object) -> CallerAnswer:
        answer = self.fleet.request("n0", path, **options)
        self.answers.append(answer)
        return answer

    def send_aside(self, path: str) -> None:
        thread = threading.Thread(target=self.send, args=(path,), daemon=True)
        thread.start()
        self.waiting.append(thread)

    def join(self) -> None:
        for thread in self.waiting:
            thread.join(20)


def _subject(context: Context) -> RequestSubject:
    return context.requests


@given('a node in front of an upstream "desk" with keys and an upstream "counter" without')
def _(context: Context) -> None:
    context.requests = RequestSubject()
    context.fleet_subject = context.requests.fleet


@given("the upstream {manner}")
def _(context: Context, manner: str) -> None:
    _subject(context).desk.manner = Manner(manner)
    _subject(context).counter.manner = Manner(manner)


@given("a request takes {work:d} ms at the upstream")
def _(context: Context, work: int) -> None:
    _subject(context).desk.work_s = work / 1000


@given("{count:d} callers were answered")
def _(context: Context, count: int) -> None:
    subject = _subject(context)
    for _caller in range(count):
        subject.send_aside("/look/before")
    subject.join()
    assert all(answer.status == 200 for answer in subject.answers), subject.answers


@given("{count:d} callers wait for the upstream")
def _(context: Context, count: int) -> None:
    subject = _subject(context)
    for _caller in range(count):
        subject.send_aside("/look/wait")
    wanted = min(count, subject.desk.slots)
    subject.fleet.wait_until(lambda: subject.desk.most_at_work >= wanted, "callers wait")
    node = subject.fleet.nodes["n0"]
    subject.fleet.wait_until(
        lambda: node.dump()["waiting"] + node.dump()["running"] >= count, "all are queued"
    )


@when("a caller sends {kind} request")
def _(context: Context, kind: str) -> None:
    path = "/hold/x" if kind == "an unsafe" else "/look/x"
    method = "POST" if kind == "an unsafe" else "GET"
    context.answer = _subject(context).send(path, key=7, method=method)


@when("{count:d} callers send a request one after the other")
def _(context: Context, count: int) -> None:
    for number in range(count):
        _subject(context).send(f"/look/{number}", key=number)


@when("a caller sends a request that it waits {deadline:d} ms for")
def _(context: Context, deadline: int) -> None:
    context.asked_at = time.monotonic()
    context.answer = _subject(context).send("/hold/x", method="POST", deadline_ms=deadline)
    context.answered_after_s = time.monotonic() - context.asked_at
    context.deadline_s = deadline / 1000


@when("a caller leaves while its request waits")
def _(context: Context) -> None:
    subject = _subject(context)
    context.left_id = "leaving-caller-1"
    sock = socket.create_connection(subject.fleet.nodes["n0"].callers)
    sock.sendall(
        f"GET /look/left HTTP/1.1\r\nHost: callers.example\r\nAttempt-Id: {context.left_id}\r\n"
        "Deadline-Ms: 8000\r\nShard-Key: 0\r\n\r\n".encode()
    )
    node = subject.fleet.nodes["n0"]
    subject.fleet.wait_until(lambda: node.dump()["waiting"] >= 1, "the request waits")
    sock.close()
    subject.join()


@when("the node is asked to stop while {count:d} callers wait")
def _(context: Context, count: int) -> None:
    subject = _subject(context)
    for _caller in range(count):
        subject.send_aside("/hold/stop")
    subject.fleet.wait_until(lambda: subject.desk.most_at_work >= count, "the requests run")
    subject.fleet.nodes["n0"].process.terminate()
    subject.join()


@when("the operator adds a route and then writes the older configuration again")
def _(context: Context) -> None:
    subject = _subject(context)
    older = subject.fleet.store.read("op/config").value
    added = subject.routes | {"added": {"service": _DESK, "route_type": "safe"}}
    subject.fleet.configure(added, subject.services)
    subject.fleet.wait_until(lambda: subject.send("/added/x").status == 200, "the route is served")
    subject.fleet.store.put("op/config", older)


@when("other writers leave broken entries and a broken configuration")
def _(context: Context) -> None:
    store = _subject(context).fleet.store
    store.put("servers/text", b"\xff\xfe not json")
    store.put("servers/half", b'{"service": "desk", "zone": "zone-a"}')
    store.put("servers/odd", b'{"service": 4, "address": "x", "zone": [], "slots": "2"}')
    store.put("op/config", b'{"version": "r900", "routes": []}')


@given("another node that has no configuration")
def _(context: Context) -> None:
    fleet = _subject(context).fleet
    fleet.store.remove("op/config")
    # Its only peer would tell it the configuration.
    fleet.nodes["n0"].process.kill()
    node = fleet.add_node("n1")
    fleet.wait_until(lambda: _accepts(node.callers), "the node listens")


def _accepts(address: tuple[str, int]) -> bool:
    try:
        socket.create_connection(address, 1.0).close()
    except OSError:
        return False
    return True


@when("a caller asks that node")
def _(context: Context) -> None:
    context.answer = _subject(context).fleet.request("n1", "/look/x")


@then("it gets {status:d} and {body}")
def _(context: Context, status: int, body: str) -> None:
    answer = context.answer
    assert answer.status == status, answer
    if body.startswith("a time to return"):
        assert float(answer.headers["retry-after"]) > 0, answer
    elif body == "its whole answer":
        assert answer.body.startswith("d0 ran "), answer
        assert answer.headers["attempt-id"] == answer.request_id, answer
        assert answer.headers["response-seal"] == "seal", answer
    else:
        assert "retry-after" not in answer.headers, answer
        assert "response-seal" not in answer.headers, answer
    if body.endswith("before its time is half over"):
        assert context.answered_after_s < context.deadline_s / 2, context.answered_after_s


@then("the request has run {runs}")
def _(context: Context, runs: str) -> None:
    least, most = _RUNS[runs]
    ran = _subject(context).fleet.runs(context.answer.request_id)
    assert least <= ran <= most, ran


@then("each gets its whole answer")
@then("both get their whole answers")
def _(context: Context) -> None:
    answers = _subject(context).answers
    assert answers
    for answer in answers:
        assert answer.status == 200, answer
        assert answer.headers["attempt-id"] == answer.request_id, answer
        assert answer.body.startswith("d0 ran "), answer


@then("that request never runs")
def _(context: Context) -> None:
    subject = _subject(context)
    node = subject.fleet.nodes["n0"]
    subject.fleet.wait_until(
        lambda: node.dump()["waiting"] + node.dump()["running"] == 0, "nothing is left"
    )
    assert subject.fleet.runs(context.left_id) == 0


@then("the node ends by itself")
def _(context: Context) -> None:
    assert _subject(context).fleet.nodes["n0"].process.wait(20) == 0


@then("the added route is served")
@then("it is still served after a while")
def _(context: Context) -> None:
    time.sleep(0.3)
    answer = _subject(context).send("/added/x")
    assert answer.status == 200, answer


@then("{count:d} callers are answered")
def _(context: Context, count: int) -> None:
    for number in range(count):
        answer = _subject(context).send(f"/look/{number}", key=number)
        assert answer.status == 200, answer


@then("the log names each of them with its reason")
def _(context: Context) -> None:
    subject = _subject(context)
    log = subject.fleet.nodes["n0"].process.log
    for name in ("servers/text", "servers/half", "servers/odd", "configuration.unreadable"):
        subject.fleet.wait_until(lambda name=name: name in log(), f"the log names {name}")
