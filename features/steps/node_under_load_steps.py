"""Steps that break a fleet of nodes under callers who compare what they are told with what ran."""

import threading
import time

from behave import given, then, when
from behave.runner import Context

from features.node_support import CallerAnswer, NodeFleet
from standins.keyowner import KeyOwner, Manner
from standins.metadata import StoreFault

_SERVICE = "desk"
_PROMISES = (408, 421, 429, 503)
_KEYS = 65_536
_PAUSE_S = 0.01
_CALLERS_PER_NODE = 2
_TROUBLE_S = 1.0


class LoadSubject:
    """A fleet and callers who send requests that must not repeat through ready nodes."""

    def __init__(self, nodes: int, upstreams: int) -> None:
        self.fleet = NodeFleet()
        self.lost: KeyOwner | None = None
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
        self._answers: list[CallerAnswer] = []
        self._stopping = threading.Event()
        self._callers = [
            threading.Thread(target=self._call, args=(name, number), daemon=True)
            for number in range(_CALLERS_PER_NODE)
            for name in self.fleet.nodes
        ]
        for caller in self._callers:
            caller.start()
        self.wait_for_answers(20)

    def _call(self, node: str, number: int) -> None:
        place = number
        while not self._stopping.wait(_PAUSE_S):
            # The balancer, too, sends nothing to a node that is not ready.
            if not self.fleet.nodes[node].is_ready():
                continue
            place += 1
            key = place * 7919 % _KEYS
            answer = self.fleet.request(node, f"/hold/{place}", key, "POST", b"body")
            with self._lock:
                self._answers.append(answer)

    def good(self) -> int:
        with self._lock:
            return sum(answer.status == 200 for answer in self._answers)

    def wait_for_answers(self, count: int) -> None:
        wanted = self.good() + count
        self.fleet.wait_until(lambda: self.good() >= wanted, "callers are answered")

    def answers(self) -> list[CallerAnswer]:
        """End the callers and return all that they were told."""
        self._stopping.set()
        for caller in self._callers:
            caller.join(30)
            assert not caller.is_alive(), "a caller still waits"
        return self._answers

    def living(self) -> list[KeyOwner]:
        return [owner for owner in self.fleet.owners.values() if owner is not self.lost]


def _subject(context: Context) -> LoadSubject:
    return context.load


@given(
    "{nodes:d} nodes in front of {upstreams:d} upstreams, and callers at every node that is ready"
)
def _(context: Context, nodes: int, upstreams: int) -> None:
    context.load = LoadSubject(nodes, upstreams)
    context.fleet_subject = context.load.fleet


@when("every node is stopped and started again, one after the other")
def _(context: Context) -> None:
    fleet = _subject(context).fleet
    for node in fleet.nodes.values():
        node.process.terminate()
        assert node.process.wait(20) == 0, node.name
        node.process.start()
        fleet.wait_until(node.is_ready, f"{node.name} is ready again")


@when("an upstream announces its end and stops once it holds no key")
def _(context: Context) -> None:
    subject = _subject(context)
    leaving = subject.fleet.owners["u0"]
    leaving.leave()
    subject.fleet.wait_until(lambda: leaving.grants.held_count() == 0, "it holds nothing")
    subject.wait_for_answers(20)
    leaving.stop()
    subject.fleet.store.remove("servers/u0")


@when("the leading node is killed and started again")
def _(context: Context) -> None:
    fleet = _subject(context).fleet
    leader = fleet.nodes[fleet.leader() or "n0"]
    leader.process.kill()
    leader.process.start()
    fleet.wait_until(leader.is_ready, "the killed node is ready again")


@when("an upstream crashes and its entry is removed")
def _(context: Context) -> None:
    subject = _subject(context)
    subject.lost = subject.fleet.owners["u0"]
    subject.lost.crash()
    subject.fleet.store.remove("servers/u0")


@when("the store is silent while upstreams lose answers, refuse and double answers in turn")
def _(context: Context) -> None:
    subject = _subject(context)
    subject.fleet.server.fault = StoreFault("silent")
    manners = (Manner.LOSES_ANSWERS, Manner.SHEDS, Manner.DOUBLES, Manner.CUTS)
    for owner, manner in zip(subject.fleet.owners.values(), manners, strict=True):
        owner.manner = manner
        time.sleep(_TROUBLE_S)
        owner.manner = Manner.WELL
    subject.fleet.server.fault = StoreFault.NONE


@then("all keys are held by the living upstreams again")
def _(context: Context) -> None:
    subject = _subject(context)
    subject.fleet.wait_until(
        lambda: sum(owner.grants.held_count() for owner in subject.living()) == _KEYS,
        "all keys are held",
    )


@then("the callers were answered in the meantime")
def _(context: Context) -> None:
    _subject(context).wait_for_answers(40)


@then("no caller's request was cut")
def _(context: Context) -> None:
    cut = [answer for answer in _subject(context).answers() if answer.status in (0, 502, 504)]
    assert not cut, cut[:5]


@then("every answer tells the truth")
def _(context: Context) -> None:
    subject = _subject(context)
    for answer in subject.answers():
        ran = subject.fleet.runs(answer.request_id)
        assert ran <= 1, answer
        if answer.status in _PROMISES:
            assert ran == 0, answer
            assert float(answer.headers["retry-after"]) > 0, answer
        if answer.status == 200:
            assert ran == 1, answer
            assert answer.headers["attempt-id"] == answer.request_id, answer
            assert " ran POST /hold/" in answer.body, answer
    overlaps = subject.fleet.overlaps()
    assert not overlaps, "\n".join(overlaps[:10])
