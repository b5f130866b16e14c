"""Steps for the ownership of keys, with real nodes and simulated upstreams and store."""

import time

from behave import given, then, when
from behave.runner import Context

from features.node_support import NodeFleet
from standins.keyowner import KeyOwner, Manner
from standins.metadata import StoreFault

_SERVICE = "desk"
_ROUTE = "lookup"


class OwnershipSubject:
    """A fleet of nodes, and the upstream under test."""

    def __init__(self, fleet: NodeFleet) -> None:
        self.fleet = fleet
        self.upstream: KeyOwner | None = None
        self.fault_until = 0.0

    def others(self) -> list[KeyOwner]:
        return [owner for owner in self.fleet.owners.values() if owner is not self.upstream]

    def held_by_others(self) -> int:
        return sum(owner.grants.held_count() for owner in self.others())

    def request_keys(self, node: str, count: int) -> None:
        for index in range(count):
            key = index * 65_536 // count
            self.fleet.wait_until(lambda key=key: self._is_answered(node, key), f"key {key}")

    def _is_answered(self, node: str, key: int) -> bool:
        return self.fleet.request(node, f"/{_ROUTE}/x", key).status == 200


def _subject(context: Context) -> OwnershipSubject:
    return context.ownership


@given("a store of the platform and {count:d} upstreams of a keyed service")
def _(context: Context, count: int) -> None:
    fleet = NodeFleet()
    context.fleet_subject = fleet
    context.ownership = OwnershipSubject(fleet)
    fleet.configure(
        {_ROUTE: {"service": _SERVICE, "route_type": "safe", "timeout": "5000ms"}},
        {_SERVICE: True},
    )
    for number in range(count):
        fleet.add_owner(f"u{number}", _SERVICE)


@given("{count:d} nodes")
def _(context: Context, count: int) -> None:
    for number in range(count):
        _subject(context).fleet.add_node(f"n{number}")


@given("the nodes serve")
@when("the nodes serve")
def _(context: Context) -> None:
    _subject(context).fleet.wait_until_serving()


@when("the leader is killed")
def _(context: Context) -> None:
    fleet = _subject(context).fleet
    context.leader_before = fleet.leader()
    fleet.nodes[context.leader_before].process.kill()


@when("the leader is asked to stop")
def _(context: Context) -> None:
    fleet = _subject(context).fleet
    context.leader_before = fleet.leader()
    fleet.nodes[context.leader_before].process.terminate()


@then("the previous leader has exited by itself")
def _(context: Context) -> None:
    assert _subject(context).fleet.nodes[context.leader_before].process.wait(20) == 0


@when("the leader is frozen until another node leads")
def _(context: Context) -> None:
    fleet = _subject(context).fleet
    context.leader_before = fleet.leader()
    fleet.nodes[context.leader_before].process.freeze()
    fleet.wait_until(lambda: _other_leads(context), "another node leads")
    fleet.nodes[context.leader_before].process.resume()


def _other_leads(context: Context) -> bool:
    return _subject(context).fleet.leader() not in (None, context.leader_before)


@when("all nodes are killed and restarted")
def _(context: Context) -> None:
    nodes = _subject(context).fleet.nodes.values()
    for node in nodes:
        node.process.kill()
    for node in nodes:
        node.process.start()
    _subject(context).fleet.wait_until_serving()


@when("the store is {fault} for {seconds:d} seconds")
def _(context: Context, fault: str, seconds: int) -> None:
    subject = _subject(context)
    subject.fleet.server.fault = StoreFault(fault)
    subject.fault_until = time.monotonic() + seconds


@when("an upstream stops")
def _(context: Context) -> None:
    subject = _subject(context)
    subject.upstream = subject.fleet.owners["u0"]
    subject.upstream.stop()
    subject.fleet.store.remove("servers/u0")


@when("another upstream starts at the address of a crashed one")
def _(context: Context) -> None:
    subject = _subject(context)
    subject.upstream = subject.fleet.owners["u0"]
    _host, port = subject.upstream.address
    subject.upstream.crash()
    subject.fleet.add_owner("u8", _SERVICE, listen=("127.0.0.1", port))


def _crash_u0(subject: OwnershipSubject) -> KeyOwner:
    """End the process of an upstream, and keep its past grants for the checks."""
    old = subject.fleet.owners.pop("u0")
    old.crash()
    subject.fleet.owners["u0 before"] = old
    return old


@when("an upstream restarts with the same id and address")
def _(context: Context) -> None:
    subject = _subject(context)
    subject.upstream = old = _crash_u0(subject)
    subject.fleet.add_owner("u0", _SERVICE, listen=old.address)


@when("an upstream restarts with the same id at another address")
def _(context: Context) -> None:
    subject = _subject(context)
    subject.upstream = _crash_u0(subject)
    subject.fleet.add_owner("u0", _SERVICE)


@when("an upstream restarts with the same id and address, cut from the store")
def _(context: Context) -> None:
    subject = _subject(context)
    old = _crash_u0(subject)
    subject.upstream = subject.fleet.add_owner(
        "u0", _SERVICE, listen=old.address, born=old.born + 1000, is_cut_from_store=True
    )


@when("its path to the store heals as it is cut from the nodes")
def _(context: Context) -> None:
    upstream = _subject(context).upstream
    # Its grants stay in force until they expire, since the upstream itself is up.
    upstream.stop()
    upstream.is_cut_from_store = False
    upstream.register()


@when("an upstream announces that it is leaving")
def _(context: Context) -> None:
    subject = _subject(context)
    subject.upstream = subject.fleet.owners["u0"]
    subject.upstream.leave()


@when("an upstream responds to all requests with 500 at once")
def _(context: Context) -> None:
    subject = _subject(context)
    subject.upstream = subject.fleet.owners["u0"]
    subject.upstream.manner = Manner.FAILS_QUICKLY


@when("an upstream carries out orders without answering them")
def _(context: Context) -> None:
    subject = _subject(context)
    subject.upstream = subject.fleet.owners["u0"]
    subject.upstream.withholds_grant_responses = True


@when("an upstream joins")
def _(context: Context) -> None:
    subject = _subject(context)
    subject.upstream = subject.fleet.add_owner("u9", _SERVICE)


@then("another node leads")
def _(context: Context) -> None:
    _subject(context).fleet.wait_until(lambda: _other_leads(context), "another node leads")


@then("requests for {count:d} keys through each node are answered")
@then("requests for {count:d} keys through each node are answered by the others")
def _(context: Context, count: int) -> None:
    subject = _subject(context)
    for name in subject.fleet.nodes:
        subject.request_keys(name, count)


@then("requests for {count:d} keys through the other node are answered")
def _(context: Context, count: int) -> None:
    subject = _subject(context)
    for name in subject.fleet.nodes:
        if name != context.leader_before:
            subject.request_keys(name, count)


@then("requests for {count:d} keys through each node are answered while it is silent")
def _(context: Context, count: int) -> None:
    subject = _subject(context)
    while time.monotonic() < subject.fault_until:
        for name in subject.fleet.nodes:
            for index in range(count):
                answer = subject.fleet.request(name, f"/{_ROUTE}/x", index * 65_536 // count)
                assert answer.status == 200, answer
    subject.fleet.server.fault = StoreFault.NONE


@then("the live upstreams keep their keys while it is busy")
@then("the live upstreams keep their keys while it is silent")
def _(context: Context) -> None:
    subject = _subject(context)
    held = subject.held_by_others()
    while time.monotonic() < subject.fault_until:
        assert subject.held_by_others() >= held, "a key was lost during the outage"
        time.sleep(0.05)
    subject.fleet.server.fault = StoreFault.NONE


@then("the live upstreams eventually hold all keys")
@then("the other upstreams eventually hold all keys")
@then("all upstreams together eventually hold all keys")
def _(context: Context) -> None:
    subject = _subject(context)
    subject.fleet.wait_until(lambda: subject.held_by_others() == 65_536, "all keys are held")


@then("it eventually holds no keys")
def _(context: Context) -> None:
    subject = _subject(context)
    subject.fleet.wait_until(
        lambda: subject.upstream.grants.held_count() == 0 and subject.held_by_others() == 65_536,
        "the leaving upstream holds nothing",
    )


@then("it eventually holds keys")
def _(context: Context) -> None:
    subject = _subject(context)
    subject.fleet.wait_until(
        lambda: subject.upstream.grants.held_count() > 0, "the joined upstream holds keys"
    )


@then("the frozen node does not lead after it resumes")
def _(context: Context) -> None:
    fleet = _subject(context).fleet
    node = fleet.nodes[context.leader_before]
    fleet.wait_until(lambda: not node.dump()["leads"], "the frozen node is deposed")


@then("no key was ever held by two upstreams")
def _(context: Context) -> None:
    overlaps = _subject(context).fleet.overlaps()
    assert not overlaps, "\n".join(overlaps[:10])
