"""Steps for upstreams that fail only the requests of one zone."""

import random
import time
from dataclasses import replace

from behave import given, then, when
from behave.runner import Context
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.TSerialization import deserialize, serialize

from features.front_support import WAIT_TIMEOUT_S
from features.scripted_upstream import SenderSubject
from foxtailshunt.admission import Call
from foxtailshunt.assigning import CapacityEstimator
from foxtailshunt.errors import ResultCode
from foxtailshunt.fleet import FleetView, KeyRange, Member, OwnershipTable, Upstream
from foxtailshunt.node import apply_reply, build_reply
from foxtailshunt.protocol import (
    Endpoint,
    FollowReply,
    ProtocolServer,
    RelayReply,
    RelayRequest,
    UpstreamRecord,
)
from foxtailshunt.protocol.gen import Peer
from foxtailshunt.relay import Forwarder, UpstreamGroups, form_groups, sender_candidates
from foxtailshunt.telemetry import Metrics
from foxtailshunt.upstreams import LatencyReport

_SERVICE = "desk"
_REPORT_INTERVAL_S = 0.5
_REQUESTS_PER_REPORT = 4
_LATENCY_S = 0.2


class ZoneSimulation:
    """A leader and the senders of several upstreams, in virtual time."""

    def __init__(self, count: int, zones: list[str]) -> None:
        self.now = 1000.0
        self._rng = random.Random(2)
        self._zones = zones
        self.estimator = CapacityEstimator()
        self.estimator.begin_term(())
        self.upstreams = {
            f"u{number}": Upstream(f"u{number}", _SERVICE, ("h", 1), "a", 4, False, 0.0, 0)
            for number in range(count)
        }
        #: Share of failures by upstream and zone of the sender.
        self.failure_shares: dict[tuple[str, str], float] = {}
        #: Time and number of failed requests of each upstream's reports.
        self.failures: list[tuple[float, str, int]] = []
        #: Time and the upstreams that avoided a zone at that time.
        self.avoiding: list[tuple[float, set[str]]] = []
        self.has_been_failing: set[str] = set()
        self.accepting: set[str] = set()

    def run(self, seconds: float) -> None:
        for _report in range(int(seconds / _REPORT_INTERVAL_S)):
            self.now += _REPORT_INTERVAL_S
            for name in self.upstreams:
                self._report(name)
            self._decide()

    def _report(self, name: str) -> None:
        zone = self._sender_zone(name)
        share = self.failure_shares.get((name, zone), 0.0)
        count = _REQUESTS_PER_REPORT
        failed = sum(self._rng.random() < share for _ in range(count))
        self.failures.append((self.now, name, failed))
        answered = count - failed
        work_s = answered * _LATENCY_S
        report = LatencyReport(name, work_s, work_s, answered, failed)
        self.estimator.observe(report, zone, self.now)

    def _sender_zone(self, name: str) -> str:
        upstream = self.upstreams[name]
        members = [Member(f"n-{zone}", "boot", zone, ("h", 1)) for zone in self._zones]
        return sender_candidates(members, upstream.zone, upstream.avoided_zones)[0].zone

    def _decide(self) -> None:
        self.upstreams = self.estimator.with_estimates(self.upstreams, self._zones, self.now)
        avoiding = {name for name, item in self.upstreams.items() if item.avoided_zones}
        self.avoiding.append((self.now, avoiding))
        found = self.estimator.capacities(_SERVICE, self.upstreams.values(), self.now)
        self.accepting = {name for name, item in found.items() if item.accepts_keys}
        self.has_been_failing |= {name for name, item in found.items() if not item.accepts_keys}


class RelayTarget:
    """A node that records the requests that other nodes forward to it."""

    def __init__(self) -> None:
        self.requests: list[RelayRequest] = []
        self.server = ProtocolServer(Peer, self, ("127.0.0.1", 0), lambda: None)
        self.server.start()

    @property
    def address(self) -> tuple[str, int]:
        return self.server._listener.getsockname()

    def relay(self, req: RelayRequest) -> RelayReply:
        self.requests.append(req)
        return RelayReply(outcome=int(ResultCode.OK), arrived=True)


def _subject(context: Context) -> ZoneSimulation:
    return context.zone_simulation


def _fail(context: Context, numbers: str, zones: str, seconds: float) -> None:
    subject = _subject(context)
    for number in numbers.split():
        for zone in zones.split():
            subject.failure_shares[(f"u{number}", zone)] = 1.0
    subject.run(seconds)


@given("{count:d} upstreams in zone a, and nodes in the zones {zones}")
def _(context: Context, count: int, zones: str) -> None:
    context.zone_simulation = ZoneSimulation(count, zones.split())


@when("upstream {numbers} fails all requests from zone {zones} for {seconds:d} s")
@when("upstream {numbers} fails all requests from zones {zones} for {seconds:d} s")
@when("upstreams {numbers} fail all requests from zone {zones} for {seconds:d} s")
def _(context: Context, numbers: str, zones: str, seconds: int) -> None:
    _fail(context, numbers, zones, seconds)


@when("all upstreams fail {percent:d} % of their requests for {seconds:d} s")
def _(context: Context, percent: int, seconds: int) -> None:
    subject = _subject(context)
    for name in subject.upstreams:
        for zone in "ab":
            subject.failure_shares[(name, zone)] = percent / 100
    subject.run(seconds)


@when("upstream {number:d} serves all requests for {seconds:d} s")
def _(context: Context, number: int, seconds: int) -> None:
    _subject(context).failure_shares.clear()
    _subject(context).run(seconds)


@when("upstream {number:d} restarts in the simulation of zones")
def _(context: Context, number: int) -> None:
    upstreams = _subject(context).upstreams
    upstreams[f"u{number}"] = replace(upstreams[f"u{number}"], started_ms=1)


@then("upstream {number:d} accepts keys")
def _(context: Context, number: int) -> None:
    assert f"u{number}" in _subject(context).accepting


@then("upstream {number:d} avoids zone {zone}")
def _(context: Context, number: int, zone: str) -> None:
    assert _subject(context).upstreams[f"u{number}"].avoided_zones == (zone,)


@then("upstream {number:d} avoids no zone")
def _(context: Context, number: int) -> None:
    assert not _subject(context).upstreams[f"u{number}"].avoided_zones


@then("in the last {seconds:d} s upstream {number:d} has served all of its requests")
def _(context: Context, seconds: int, number: int) -> None:
    subject = _subject(context)
    failed = [
        (at, failed)
        for at, name, failed in subject.failures
        if name == f"u{number}" and failed and at > subject.now - seconds
    ]
    assert not failed, failed


@then("upstream {number:d} has been considered serving all the time")
def _(context: Context, number: int) -> None:
    assert f"u{number}" not in _subject(context).has_been_failing


@then("upstream {number:d} is considered failing")
def _(context: Context, number: int) -> None:
    assert f"u{number}" in _subject(context).has_been_failing


@then("upstream {number:d} has avoided a zone for at most {seconds:d} s")
def _(context: Context, number: int, seconds: int) -> None:
    times = [at for at, names in _subject(context).avoiding if f"u{number}" in names]
    assert 0 < len(times) * _REPORT_INTERVAL_S <= seconds, times


@then("upstream {number:d} has failed at most {most:d} requests of all zones")
def _(context: Context, number: int, most: int) -> None:
    failed = sum(count for _, name, count in _subject(context).failures if name == f"u{number}")
    assert 0 < failed <= most, failed


@then("no upstream has avoided a zone")
def _(context: Context) -> None:
    assert not any(names for _, names in _subject(context).avoiding)


@then("at most {most:d} upstreams have avoided a zone at a time")
def _(context: Context, most: int) -> None:
    largest = max(len(names) for _, names in _subject(context).avoiding)
    assert 0 < largest <= most, largest


@given("nodes n1 and n2 in zone a, n3 in zone b and n4 in zone c")
def _(context: Context) -> None:
    zones = {"n1": "a", "n2": "a", "n3": "b", "n4": "c"}
    context.members = tuple(Member(name, "b", zone, ("h", 1)) for name, zone in zones.items())


@then("{nodes} may send to an upstream in zone {zone} that avoids {avoided}")
def _(context: Context, nodes: str, zone: str, avoided: str) -> None:
    avoided_zones = () if avoided == "nothing" else tuple(avoided.split())
    found = sender_candidates(context.members, zone, avoided_zones)
    assert [member.instance_id for member in found] == nodes.split(), found


@given(
    "a service without keys with {count:d} upstreams in zone a, the first of which avoids zone a"
)
def _(context: Context, count: int) -> None:
    context.upstreams = [
        Upstream(f"u{number}", "counter", ("h", 1), "a", 2, False, 0.0, number)
        for number in range(count)
    ]
    context.upstreams[0] = replace(context.upstreams[0], avoided_zones=("a",))


@then("the first upstream has a group of its own, whose senders are not in zone a")
def _(context: Context) -> None:
    context.groups = form_groups("counter", context.upstreams, context.members)
    own = [group for group in context.groups if context.upstreams[0] in group.upstreams]
    assert len(own) == 1 and own[0].upstreams == (context.upstreams[0],), own
    assert own[0].senders and all(item.zone != "a" for item in own[0].senders), own
    names = [group.name for group in context.groups]
    assert len(set(names)) == len(names), names


@then("the others have the groups that they would have without the first one")
def _(context: Context) -> None:
    others = [group for group in context.groups if context.upstreams[0] not in group.upstreams]
    found = [item for group in others for item in group.upstreams]
    assert sorted(item.upstream_id for item in found) == sorted(
        item.upstream_id for item in context.upstreams[1:]
    )
    # The number of groups of a service follows from all of its upstreams.
    if len(context.upstreams) < 12:
        assert others == list(form_groups("counter", context.upstreams[1:], context.members))


@given("a node in zone a that forwards requests to a node in zone b")
def _(context: Context) -> None:
    context.target = RelayTarget()
    context.add_cleanup(lambda: context.target.server.stop(WAIT_TIMEOUT_S))
    context.view = FleetView(time.monotonic)
    context.view.begin_term(1)
    context.me = Member("me", "boot", "a", ("127.0.0.1", 1))
    other = Member("other", "boot", "b", context.target.address)
    context.view.update_members(1, 1, (context.me, other))


@given("the owner of the key is in zone a and avoids zone a")
def _(context: Context) -> None:
    owner = Upstream("u1", _SERVICE, ("127.0.0.1", 2), "a", 2, False, 0.0, 0, ("a",))
    context.view.update_upstreams(1, 1, {"u1": owner}, 0.0)
    context.view.update_ownership(1, 1, OwnershipTable([KeyRange(_SERVICE, 0, 9, "u1", 1)]))


@when("a request for the key is executed")
def _(context: Context) -> None:
    groups = UpstreamGroups(context.view)
    sender = SenderSubject({})._sender
    forwarder = Forwarder(context.me, context.view, groups, sender, Metrics())
    context.add_cleanup(forwarder.close)
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    call = Call(
        "r1", _SERVICE, 7, "u1", "GET", "/", (), b"", deadline, deadline, 0, "route"
    )  # fmt: skip
    context.outcome = forwarder.execute(call, None)


@then("the node in zone b has got it")
def _(context: Context) -> None:
    assert [req.request_id for req in context.target.requests] == ["r1"], context.outcome
    assert context.outcome.sender == "other", context.outcome


def _zones(text: str) -> tuple[str, ...]:
    return () if text == "none" else tuple(text.split())


@given("a leader whose upstream avoids the zones {zones}")
def _(context: Context, zones: str) -> None:
    context.leader = FleetView(lambda: 100.0)
    context.leader.begin_term(1)
    upstream = Upstream("u1", _SERVICE, ("h", 1), "a", 2, False, 0.0, 0, _zones(zones))
    context.leader.update_upstreams(1, 1, {"u1": upstream}, 0.0)


@when("a follower polls it")
def _(context: Context) -> None:
    context.follower = FleetView(lambda: 100.0)
    known = context.follower.versions
    factory = TCompactProtocolAcceleratedFactory()
    sent = serialize(build_reply(context.leader, known, True, True), factory)
    apply_reply(context.follower, deserialize(FollowReply(), sent, factory), known)


@then("the follower knows that the upstream avoids the zones {zones}")
def _(context: Context, zones: str) -> None:
    assert context.follower.upstreams["u1"].avoided_zones == _zones(zones)


@given("a message with an upstream as leaders of earlier builds send it")
def _(context: Context) -> None:
    context.leader = FleetView(lambda: 100.0)
    context.leader.begin_term(1)
    context.leader.update_upstreams(1, 1, {}, 0.0)
    reply = build_reply(context.leader, FleetView(lambda: 100.0).versions, True, True)
    record = UpstreamRecord("u1", _SERVICE, Endpoint("h", 1), "a", 2, False, 0, 0)
    assert record.avoided_zones is None
    reply.upstreams, reply.upstream_changes = [record], None
    context.follower = FleetView(lambda: 100.0)
    apply_reply(context.follower, reply, context.follower.versions)


@then("the upstream in it avoids no zone")
def _(context: Context) -> None:
    assert context.follower.upstreams["u1"].avoided_zones == ()


@given("a node that knows an upstream that avoids zone a and has a capacity ratio of 0.5")
def _(context: Context) -> None:
    context.now = 100.0
    context.follower = FleetView(lambda: context.now)
    context.follower.begin_term(1)
    context.registered = Upstream("u1", _SERVICE, ("h", 1), "a", 2, False, 0.0, 0)
    known = replace(context.registered, avoided_zones=("a",), capacity_ratio=0.5)
    context.follower.update_upstreams(1, 1, {"u1": known}, 0.0)


def _read_from_store(context: Context, upstream: Upstream) -> None:
    context.now += 2.0
    context.follower.update_upstreams_from_store({"u1": upstream}, context.now)


@when("it reads the upstream from the store")
def _(context: Context) -> None:
    _read_from_store(context, replace(context.registered, slots=3))


@when("it reads the next run of the upstream from the store")
def _(context: Context) -> None:
    _read_from_store(context, replace(context.registered, started_ms=7))


@then("the upstream avoids zone a and has a capacity ratio of 0.5")
def _(context: Context) -> None:
    found = context.follower.upstreams["u1"]
    assert (found.slots, found.avoided_zones, found.capacity_ratio) == (3, ("a",), 0.5), found


@then("the upstream has no estimates")
def _(context: Context) -> None:
    found = context.follower.upstreams["u1"]
    assert (found.started_ms, found.avoided_zones, found.capacity_ratio) == (7, (), 1.0), found
