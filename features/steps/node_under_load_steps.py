"""Steps that cause failures in a fleet under load and compare responses with what upstreams ran."""

import threading
import time

from behave import given, then, when
from behave.runner import Context

from features.node_support import CallerAnswer, NodeFleet
from standins.keyowner import KeyOwner, Manner
from standins.metadata import StoreFault

_SERVICE = "desk"
_NOT_RUN_STATUSES = (408, 421, 429, 503)
_KEY_COUNT = 65_536
_REQUEST_INTERVAL_S = 0.01
_CALLERS_PER_NODE = 2
_FAULT_DURATION_S = 1.0


class LoadSubject:
    """A fleet under the load of callers, who send non-idempotent requests to ready nodes."""

    def __init__(self, fleet: NodeFleet, nodes: int, upstreams: int) -> None:
        self.fleet = fleet
        self.crashed: KeyOwner | None = None
        self.fleet.configure(
            {"hold": {"service": _SERVICE, "route_type": "unsafe", "timeout": "8000ms"}},
            {_SERVICE: True},
        )
        for number in range(upstreams):
            self.fleet.add_owner(f"u{number}", _SERVICE)
        for number in range(nodes):
            self.fleet.add_node(f"n{number}")
        self.fleet.wait_until_serving()
        self._lock = threading.Lock()
        self._responses: list[CallerAnswer] = []
        self._stopping = threading.Event()
        self._callers = [
            threading.Thread(target=self._call, args=(name, number), daemon=True)
            for number in range(_CALLERS_PER_NODE)
            for name in self.fleet.nodes
        ]
        for caller in self._callers:
            caller.start()
        self.wait_for_responses(20)

    def _call(self, node: str, number: int) -> None:
        request_number = number
        while not self._stopping.wait(_REQUEST_INTERVAL_S):
            # As the load balancer does, skip nodes that are not ready.
            if not self.fleet.nodes[node].is_ready():
                continue
            request_number += 1
            key = request_number * 7919 % _KEY_COUNT
            response = self.fleet.request(node, f"/hold/{request_number}", key, "POST", b"body")
            with self._lock:
                self._responses.append(response)

    def success_count(self) -> int:
        with self._lock:
            return sum(response.status == 200 for response in self._responses)

    def wait_for_responses(self, count: int) -> None:
        target_count = self.success_count() + count
        self.fleet.wait_until(lambda: self.success_count() >= target_count, "successful responses")

    def stop_and_collect(self) -> list[CallerAnswer]:
        """Stop the callers and return all responses that they got."""
        self._stopping.set()
        for caller in self._callers:
            caller.join(30)
            assert not caller.is_alive(), "a caller still waits for a response"
        return self._responses

    def remaining(self) -> list[KeyOwner]:
        return [owner for owner in self.fleet.owners.values() if owner is not self.crashed]


def _subject(context: Context) -> LoadSubject:
    return context.load


@given(
    "{nodes:d} nodes in front of {upstreams:d} upstreams, and callers at every node that is ready"
)
def _(context: Context, nodes: int, upstreams: int) -> None:
    context.fleet_subject = NodeFleet()
    context.load = LoadSubject(context.fleet_subject, nodes, upstreams)


@when("every node is stopped and started again, one after the other")
def _(context: Context) -> None:
    fleet = _subject(context).fleet
    for node in fleet.nodes.values():
        node.process.terminate()
        assert node.process.wait(20) == 0, node.name
        node.process.start()
        fleet.wait_until(node.is_ready, f"{node.name} is ready again")


@when("an upstream announces that it is leaving and stops once it holds no key")
def _(context: Context) -> None:
    subject = _subject(context)
    leaving = subject.fleet.owners["u0"]
    leaving.leave()
    subject.fleet.wait_until(
        lambda: leaving.grants.held_count() == 0, "the leaving upstream holds no key"
    )
    subject.wait_for_responses(20)
    leaving.stop()
    subject.fleet.store.remove("servers/u0")


@when("the leader is killed and started again")
def _(context: Context) -> None:
    fleet = _subject(context).fleet
    leader = fleet.nodes[fleet.leader() or "n0"]
    leader.process.kill()
    leader.process.start()
    fleet.wait_until(leader.is_ready, "the killed node is ready again")


@when("an upstream crashes and its registration is removed")
def _(context: Context) -> None:
    subject = _subject(context)
    subject.crashed = subject.fleet.owners["u0"]
    subject.crashed.crash()
    subject.fleet.store.remove("servers/u0")


@when("the store does not respond while upstreams drop, refuse, duplicate and truncate in turn")
def _(context: Context) -> None:
    subject = _subject(context)
    subject.fleet.server.fault = StoreFault("silent")
    manners = (Manner.LOSES_RESPONSES, Manner.SHEDS_LOAD, Manner.EXTRA_RESPONSE, Manner.TRUNCATES)
    for owner, manner in zip(subject.fleet.owners.values(), manners, strict=True):
        owner.manner = manner
        time.sleep(_FAULT_DURATION_S)
        owner.manner = Manner.NORMAL
    subject.fleet.server.fault = StoreFault.NONE


@then("all keys are held by the remaining upstreams again")
def _(context: Context) -> None:
    subject = _subject(context)
    subject.fleet.wait_until(
        lambda: sum(owner.grants.held_count() for owner in subject.remaining()) == _KEY_COUNT,
        "all keys are held",
    )


@then("the callers keep getting successful responses")
def _(context: Context) -> None:
    _subject(context).wait_for_responses(40)


@then("no request failed with a lost connection or an exceeded deadline")
def _(context: Context) -> None:
    failed = [
        response
        for response in _subject(context).stop_and_collect()
        if response.status in (0, 502, 504)
    ]
    assert not failed, failed[:5]


@then("every response agrees with what the upstreams ran")
def _(context: Context) -> None:
    subject = _subject(context)
    for response in subject.stop_and_collect():
        run_count = subject.fleet.runs(response.request_id)
        assert run_count <= 1, response
        if response.status in _NOT_RUN_STATUSES:
            assert run_count == 0, response
            assert float(response.headers["retry-after"]) > 0, response
        if response.status == 200:
            assert run_count == 1, response
            assert response.headers["attempt-id"] == response.request_id, response
            assert " ran POST /hold/" in response.body, response
    overlaps = subject.fleet.overlaps()
    assert not overlaps, "\n".join(overlaps[:10])
