"""Steps for requests through a node process."""

import socket
import threading
import time

from behave import given, then, when
from behave.runner import Context

from features.node_support import CallerAnswer, NodeFleet
from standins.keyowner import Manner

_DESK, _COUNTER = "desk", "counter"
_EXECUTION_BOUNDS = {"once": (1, 1), "never": (0, 0), "at most 2 times": (1, 2)}


class RequestScenario:
    """A node with two upstreams, and the callers' requests and responses."""

    def __init__(self, fleet: NodeFleet) -> None:
        self.fleet = fleet
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
        self.threads: list[threading.Thread] = []
        self.responses: list[CallerAnswer] = []

    def send(self, path: str, **options: object) -> CallerAnswer:
        response = self.fleet.request("n0", path, **options)
        self.responses.append(response)
        return response

    def send_in_background(self, path: str) -> None:
        thread = threading.Thread(target=self.send, args=(path,), daemon=True)
        thread.start()
        self.threads.append(thread)

    def join(self) -> None:
        for thread in self.threads:
            thread.join(20)


def _scenario(context: Context) -> RequestScenario:
    return context.requests


@given('a node in front of an upstream "desk" with keys and an upstream "counter" without')
def _(context: Context) -> None:
    context.fleet_subject = NodeFleet()
    context.requests = RequestScenario(context.fleet_subject)


@given("the upstream {manner}")
def _(context: Context, manner: str) -> None:
    _scenario(context).desk.manner = Manner(manner)
    _scenario(context).counter.manner = Manner(manner)


@given("a request takes {work:d} ms at the upstream")
def _(context: Context, work: int) -> None:
    _scenario(context).desk.work_s = work / 1000


@given("{count:d} callers have received responses")
def _(context: Context, count: int) -> None:
    scenario = _scenario(context)
    for _caller in range(count):
        scenario.send_in_background("/look/before")
    scenario.join()
    assert all(response.status == 200 for response in scenario.responses), scenario.responses


@given("{count:d} callers wait for the upstream")
def _(context: Context, count: int) -> None:
    scenario = _scenario(context)
    for _caller in range(count):
        scenario.send_in_background("/look/wait")
    wanted = min(count, scenario.desk.slots)
    scenario.fleet.wait_until(
        lambda: scenario.desk.max_in_flight >= wanted, "the callers are waiting"
    )
    node = scenario.fleet.nodes["n0"]
    scenario.fleet.wait_until(
        lambda: node.dump()["waiting"] + node.dump()["running"] >= count,
        "all requests are queued or in flight",
    )


@when("a caller sends {kind} request")
def _(context: Context, kind: str) -> None:
    path = "/hold/x" if kind == "an unsafe" else "/look/x"
    method = "POST" if kind == "an unsafe" else "GET"
    context.answer = _scenario(context).send(path, key=7, method=method)


@when("{count:d} callers send one request each in sequence")
def _(context: Context, count: int) -> None:
    for number in range(count):
        _scenario(context).send(f"/look/{number}", key=number)


@when("a caller sends a request with a deadline of {deadline:d} ms")
def _(context: Context, deadline: int) -> None:
    context.started_at = time.monotonic()
    context.answer = _scenario(context).send("/hold/x", method="POST", deadline_ms=deadline)
    context.elapsed_s = time.monotonic() - context.started_at
    context.deadline_s = deadline / 1000


@when("a caller disconnects while its request is queued")
def _(context: Context) -> None:
    scenario = _scenario(context)
    context.attempt_id = "leaving-caller-1"
    sock = socket.create_connection(scenario.fleet.nodes["n0"].callers)
    sock.sendall(
        f"GET /look/left HTTP/1.1\r\nHost: callers.example\r\nAttempt-Id: {context.attempt_id}\r\n"
        "Deadline-Ms: 8000\r\nShard-Key: 0\r\n\r\n".encode()
    )
    node = scenario.fleet.nodes["n0"]
    scenario.fleet.wait_until(lambda: node.dump()["waiting"] >= 1, "the request is queued")
    sock.close()
    scenario.join()


@when("the node is stopped gracefully while {count:d} callers wait")
def _(context: Context, count: int) -> None:
    scenario = _scenario(context)
    for _caller in range(count):
        scenario.send_in_background("/hold/stop")
    scenario.fleet.wait_until(
        lambda: scenario.desk.max_in_flight >= count, "the requests are in flight"
    )
    scenario.fleet.nodes["n0"].process.terminate()
    scenario.join()


@when("the operator adds a route and then writes the older configuration again")
def _(context: Context) -> None:
    scenario = _scenario(context)
    older = scenario.fleet.store.read("op/config").value
    added = scenario.routes | {"added": {"service": _DESK, "route_type": "safe"}}
    scenario.fleet.configure(added, scenario.services)
    scenario.fleet.wait_until(
        lambda: scenario.send("/added/x").status == 200, "the route is served"
    )
    scenario.fleet.store.put("op/config", older)


@when("malformed entries and a malformed configuration are written to the store")
def _(context: Context) -> None:
    store = _scenario(context).fleet.store
    store.put("servers/text", b"\xff\xfe not json")
    store.put("servers/half", b'{"service": "desk", "zone": "zone-a"}')
    store.put("servers/odd", b'{"service": 4, "address": "x", "zone": [], "slots": "2"}')
    store.put("op/config", b'{"version": "r900", "routes": []}')


@given("another node without a configuration")
def _(context: Context) -> None:
    fleet = _scenario(context).fleet
    fleet.store.remove("op/config")
    # Otherwise the other node would get the configuration from its only peer.
    fleet.nodes["n0"].process.kill()
    node = fleet.add_node("n1")
    fleet.wait_until(lambda: _accepts(node.callers), "the node listens")


def _accepts(address: tuple[str, int]) -> bool:
    try:
        socket.create_connection(address, 1.0).close()
    except OSError:
        return False
    return True


@when("a caller sends a request to that node")
def _(context: Context) -> None:
    context.answer = _scenario(context).fleet.request("n1", "/look/x")


@then("it gets {status:d} and {body}")
def _(context: Context, status: int, body: str) -> None:
    response = context.answer
    assert response.status == status, response
    if body.startswith("a Retry-After time"):
        assert float(response.headers["retry-after"]) > 0, response
    elif body == "the complete response":
        assert response.body.startswith("d0 ran "), response
        assert response.headers["attempt-id"] == response.request_id, response
        assert response.headers["response-seal"] == "seal", response
    else:
        assert "retry-after" not in response.headers, response
        assert "response-seal" not in response.headers, response
    if body.endswith("within half of its deadline"):
        assert context.elapsed_s < context.deadline_s / 2, context.elapsed_s


@then("the request was executed {runs}")
def _(context: Context, runs: str) -> None:
    least, most = _EXECUTION_BOUNDS[runs]
    executions = _scenario(context).fleet.runs(context.answer.request_id)
    assert least <= executions <= most, executions


@then("each gets its complete response")
@then("both get their complete responses")
def _(context: Context) -> None:
    responses = _scenario(context).responses
    assert responses
    for response in responses:
        assert response.status == 200, response
        assert response.headers["attempt-id"] == response.request_id, response
        assert response.body.startswith("d0 ran "), response


@then("that request is never executed")
def _(context: Context) -> None:
    scenario = _scenario(context)
    node = scenario.fleet.nodes["n0"]
    scenario.fleet.wait_until(
        lambda: node.dump()["waiting"] + node.dump()["running"] == 0,
        "no request is queued or in flight",
    )
    assert scenario.fleet.runs(context.attempt_id) == 0


@then("the node exits by itself")
def _(context: Context) -> None:
    assert _scenario(context).fleet.nodes["n0"].process.wait(20) == 0


@then("the added route is served")
@then("it is still served afterwards")
def _(context: Context) -> None:
    time.sleep(0.3)
    response = _scenario(context).send("/added/x")
    assert response.status == 200, response


@then("{count:d} callers receive responses")
def _(context: Context, count: int) -> None:
    for number in range(count):
        response = _scenario(context).send(f"/look/{number}", key=number)
        assert response.status == 200, response


@then("the log names each of them and the reason")
def _(context: Context) -> None:
    scenario = _scenario(context)
    log = scenario.fleet.nodes["n0"].process.log
    for name in ("servers/text", "servers/half", "servers/odd", "configuration.unreadable"):
        scenario.fleet.wait_until(lambda name=name: name in log(), f"the log names {name}")
