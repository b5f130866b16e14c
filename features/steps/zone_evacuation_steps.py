"""Steps for the evacuation of zones, without a network except for scripted upstreams."""

import random
import re
import threading
import time
from types import SimpleNamespace
from typing import Any

import eliot
from behave import given, then, when
from behave.runner import Context

from features.forwarder_support import RecordingForwarder, RefusingSender
from foxtailshunt.admission import Call
from foxtailshunt.assigning import plan_moves
from foxtailshunt.fleet import FleetView, Member, StoreCallSpacing, Upstream
from foxtailshunt.node import (
    ConfigurationApplier,
    ConfigurationFormat,
    ConfigurationWatch,
    EvacuationEntries,
    PeerService,
    apply_reply,
    build_reply,
)
from foxtailshunt.node._messages import to_member_message, to_versions_message
from foxtailshunt.platform import StoreChange, StoreError, StoreItem, decode_evacuation
from foxtailshunt.protocol import FollowReply, FollowRequest
from foxtailshunt.relay import UpstreamGroups
from foxtailshunt.telemetry import Metrics
from foxtailshunt.timing import MonotonicClock

_PREFIX = "op/evacuate/"
_LONG_VALUE = "[" * 100_000
_WAIT_S = 30.0


def _item(key: str, value: str = "{}") -> StoreItem:
    return StoreItem(key, value.encode(), 1, 0)


def _zones(text: str) -> frozenset[str]:
    return frozenset() if text == "none" else frozenset(text.split(", "))


class EvacuationSubject:
    """A node that reads entries of the store."""

    def __init__(self) -> None:
        self.view = FleetView(MonotonicClock().now)
        self.entries = EvacuationEntries(decode_evacuation, self.view)
        self.logged: list[dict[str, Any]] = []

    def read(self, text: str) -> None:
        """Read ``list ZONE at REVISION``, ``written ...``, ``removed ...``, or nothing."""
        if text == "nothing":
            return
        kind, zone, revision = re.fullmatch(r"(\w+)(?: ([\w-]+))? at (\d+)", text).groups()
        key = f"{_PREFIX}{zone}"
        if kind == "list":
            self.entries.replace([_item(key)] if zone else [], int(revision))
        else:
            item = _item(key) if kind == "written" else None
            self.entries.change([StoreChange(key, item)], int(revision))


def _subject(context: Context) -> EvacuationSubject:
    return context.evacuation


@given("the entry {key} with {value}")
def _(context: Context, key: str, value: str) -> None:
    context.evacuation = EvacuationSubject()
    context.entries = [_item(key, value)]


@given("a node that has read no entry")
def _(context: Context) -> None:
    context.evacuation = EvacuationSubject()


@when("the entry {key} is written with {value} and read 3 times")
def _(context: Context, key: str, value: str) -> None:
    subject = _subject(context)
    text = {"-": "", "[*100000": _LONG_VALUE}.get(value, value)
    items = [*context.entries, _item(key, text)]
    eliot.add_destinations(subject.logged.append)
    try:
        for revision in range(1, 4):
            subject.entries.replace(items, revision)
    finally:
        eliot.remove_destination(subject.logged.append)


@when("it reads {first} and then a new term begins")
def _(context: Context, first: str) -> None:
    _subject(context).read(first)
    assert _subject(context).view.begin_term(7)


@when("it reads {first} and then {second}")
def _(context: Context, first: str, second: str) -> None:
    _subject(context).read(first)
    _subject(context).read(second)


@then("the evacuated zones are {zones}")
def _(context: Context, zones: str) -> None:
    assert _subject(context).view.evacuated_zones == _zones(zones)


@then("{count:d} line of the log names the malformed entry")
def _(context: Context, count: int) -> None:
    lines = [
        line for line in _subject(context).logged if line["message_type"] == "evacuation.unreadable"
    ]
    assert len(lines) == count and all(len(str(line)) <= 400 for line in lines), lines


class FailingStore:
    """A store that the scenario lets fail."""

    def __init__(self) -> None:
        self.items = [_item(f"{_PREFIX}zone-b")]
        self.revision = 5
        self.fails = False
        self.failed_calls = 0
        self._changed = threading.Condition()

    def list_items(self, prefix: str, stale: bool, timeout_s: float) -> tuple[list, int]:
        self._check()
        return list(self.items), self.revision

    def watch(self, prefix: str, after: int, wait_s: float) -> tuple[list[StoreChange], int]:
        with self._changed:
            self._changed.wait_for(lambda: self.fails or self.revision > after, wait_s)
        self._check()
        return [], after

    def set_failing(self, fails: bool) -> None:
        with self._changed:
            self.fails = fails
            self._changed.notify_all()

    def _check(self) -> None:
        if self.fails:
            self.failed_calls += 1
            raise StoreError("refused", False)


@given("a node that watches the store, in which zone-b is evacuated")
def _(context: Context) -> None:
    context.evacuation = EvacuationSubject()
    context.store = FailingStore()
    view = _subject(context).view
    fmt = ConfigurationFormat("op/", "op/config", lambda _document: None, decode_evacuation)
    applier = ConfigurationApplier(fmt, view)
    spacing = StoreCallSpacing(view, random.Random(1))
    watch = ConfigurationWatch(context.store, applier, spacing, lambda: False)
    watch.start()
    context.add_cleanup(context.store.set_failing, True)
    context.add_cleanup(watch.stop)
    _wait_until(lambda: view.evacuated_zones == {"zone-b"})


@when("the store fails, the entry is removed, and the store works again")
def _(context: Context) -> None:
    store, view = context.store, _subject(context).view
    store.set_failing(True)
    store.items, store.revision = [], 6
    _wait_until(lambda: store.failed_calls >= 2)
    context.while_failing = view.evacuated_zones
    store.set_failing(False)


@then("zone-b was evacuated until the store worked again, and is not afterwards")
def _(context: Context) -> None:
    assert context.while_failing == {"zone-b"}
    _wait_until(lambda: not _subject(context).view.evacuated_zones)


def _wait_until(condition: Any) -> None:
    deadline = time.monotonic() + _WAIT_S
    while not condition():
        assert time.monotonic() < deadline, "timed out"
        time.sleep(0.01)


# Between nodes.


@given("a leader that read {leader} and a follower that read {follower}")
def _(context: Context, leader: str, follower: str) -> None:
    context.leader, context.evacuation = EvacuationSubject(), EvacuationSubject()
    context.leader.read(leader)
    context.evacuation.read(follower)


@when("the follower polls the leader, whose build {build} evacuations")
def _(context: Context, build: str) -> None:
    known = _subject(context).view.versions
    reply = build_reply(context.leader.view, known, True, True)
    if build != "knows":
        reply.evacuated_zones = reply.versions.evacuations = None
    apply_reply(_subject(context).view, reply, known)


@then("the follower's evacuated zones are {zones}")
def _(context: Context, zones: str) -> None:
    assert _subject(context).view.evacuated_zones == _zones(zones)


@when("the follower has polled once and polls the leader again for 300 ms")
def _(context: Context) -> None:
    leader = context.leader.view
    service = PeerService(
        leader, None, None, SimpleNamespace(term=None), None, None, None, time.monotonic, None
    )
    context.elapsed_s = 0.0
    for wait_ms in (0, 300):
        known = _subject(context).view.versions
        member = Member("n1", "boot", "zone-a", ("127.0.0.1", 1))
        req = FollowRequest(to_member_message(member), to_versions_message(known), wait_ms, [], [])
        started = time.monotonic()
        reply: FollowReply = service.follow(req)
        context.elapsed_s = time.monotonic() - started
        apply_reply(_subject(context).view, reply, known)


@then("the leader has answered after at least 250 ms")
def _(context: Context) -> None:
    assert context.elapsed_s >= 0.25, context.elapsed_s


# Requests.


@given("{name:w} is in {zone}")
def _(context: Context, name: str, zone: str) -> None:
    context.leaving_subject.sender.set_zone(name, zone)


@when("zone-b is evacuated")
def _(context: Context) -> None:
    context.leaving_subject.sender.evacuate("zone-b")


@when("zone-b and zone-a are evacuated")
def _(context: Context) -> None:
    context.leaving_subject.sender.evacuate("zone-a", "zone-b")


@when("no zone is evacuated")
def _(context: Context) -> None:
    context.leaving_subject.sender.evacuate()


@when("{count:d} requests are sent that u1 has failed before")
def _(context: Context, count: int) -> None:
    for number in range(count):
        context.leaving_subject.sender.send(f"s{number}", _WAIT_S, frozenset({"u1"}))


@then("the held request was answered")
def _(context: Context) -> None:
    context.leaving_subject.wait_for_load(0, 0)


@given("a forwarder in front of a service with {count:d} upstreams in each of zone-a and zone-b")
def _(context: Context, count: int) -> None:
    view = FleetView(time.monotonic)
    view.begin_term(1)
    zones = ("zone-a", "zone-b")
    members = [Member(f"n-{zone}-{n}", "b", zone, ("h", 1)) for zone in zones for n in range(5)]
    view.update_members(1, 1, tuple(members))
    upstreams = [
        Upstream(f"{zone}-{number}", "counter", ("h", 1), zone, 2, False, 0.0, 0)
        for zone in zones
        for number in range(count)
    ]
    view.update_upstreams(1, 1, {item.upstream_id: item for item in upstreams}, 0.0)
    me = Member("me", "boot", "zone-c", ("h", 1))
    context.forwarder_view = view
    context.forwarder = RecordingForwarder(
        me, view, UpstreamGroups(view), RefusingSender(), Metrics()
    )


@when("zone-b is evacuated for the forwarder and it forwards {count:d} requests")
def _(context: Context, count: int) -> None:
    context.forwarder_view.update_evacuations(1, frozenset({"zone-b"}))
    deadline = time.monotonic() + 30.0
    for number in range(count):
        call = Call(
            f"r{number}", "counter", None, None, "GET", "/", (), b"", deadline, deadline, 0, "look"
        )
        context.forwarder.execute(call, None)


@then("all of them went to senders of groups in zone-a")
def _(context: Context) -> None:
    assert {member.zone for member in context.forwarder.tried} == {"zone-a"}


# Keys.


@given("upstreams 2, 5 and 6 are in an evacuated zone")
def _(context: Context) -> None:
    subject = context.placement_by_load
    context.evacuated_owners = frozenset(("u2", "u5", "u6"))
    subject.candidates = [
        item for item in subject.candidates if item.upstream_id not in context.evacuated_owners
    ]


def _plan(context: Context, limit: int) -> None:
    subject = context.placement_by_load
    moves = plan_moves(
        subject.ranges, subject.demand, subject.candidates, 0, context.evacuated_owners, limit
    )
    for move in moves:
        subject._apply(move)
    subject.moves += moves


@when("moves are planned with at most {limit:d} evacuations")
def _(context: Context, limit: int) -> None:
    _plan(context, limit)


@when("moves are planned {times:d} times with at most {limit:d} evacuations")
def _(context: Context, times: int, limit: int) -> None:
    for _time in range(times):
        _plan(context, limit)


@then("{count:d} ranges have moved, that of key {key:d} among them")
def _(context: Context, count: int, key: int) -> None:
    moves = context.placement_by_load.moves
    assert len(moves) == count, moves
    assert any(move.first <= key <= move.last for move in moves), moves


@then("upstreams 2, 5 and 6 own no keys")
def _(context: Context) -> None:
    owners = {item.owner for item in context.placement_by_load.ranges}
    assert not owners & context.evacuated_owners, owners
