"""Steps for the evacuation of a zone with real nodes."""

import itertools
import json
import threading
import time
from typing import Any

from behave import given, then, when
from behave.runner import Context

from features.node_support import CallerAnswer, NodeFleet
from foxtailshunt.cli._operator_text import to_text
from foxtailshunt.fleet import FleetView, KeyRange, Member, OwnershipTable, Upstream
from foxtailshunt.node._dump import describe_node
from foxtailshunt.operator import DumpClient, EvacuationStatus, collect_status
from foxtailshunt.routing import KEY_COUNT

_SERVICE = "desk"
_ENTRY = "op/evacuate/zone-b"
#: Step between the keys of two requests; odd, so that all keys get requests.
_KEY_STEP = 4093
_CALLERS = 4
#: How long the upstreams of an evacuated zone are watched for requests, in seconds.
_WATCHED_S = 1.5
_DUMP_TIMEOUT_S = 5.0


class DumpedNodes:
    """Returns the dumps of two nodes by their operator address, in place of a client."""

    def __init__(self) -> None:
        views = [FleetView(lambda: 0.0) for _number in range(2)]
        upstreams = {
            name: Upstream(name, _SERVICE, ("127.0.0.1", 1), zone, 2, False, 0.0, 0)
            for name, zone in (("a1", "zone-a"), ("b1", "zone-b"))
        }
        members = tuple(
            Member(f"n{number}", "boot", "zone-a", ("127.0.0.1", 1), False, ("127.0.0.1", number))
            for number in (1, 2)
        )
        ranges = (
            KeyRange(_SERVICE, 0, 299, "b1", 1),
            KeyRange(_SERVICE, 300, 499, "a1", 2, giver="b1", moving=True),
            KeyRange(_SERVICE, 500, KEY_COUNT - 1, "a1", 1),
        )
        for view in views:
            view.begin_term(1)
            view.update_upstreams(1, 1, upstreams, 0.0)
            view.update_members(1, 1, members)
            view.update_ownership(1, 1, OwnershipTable(ranges))
        views[0].update_evacuations(1, frozenset({"zone-b"}))
        self._dumps = {
            member.operator_address: describe_node(member.instance_id, False, False, view, (0, 0))
            for member, view in zip(members, views, strict=True)
        }
        self.addresses = list(self._dumps)

    def read(self, address: tuple[str, int]) -> dict[str, Any]:
        return json.loads(json.dumps(self._dumps[address]))


@given(
    "dumps of 2 nodes, of which one knows of the evacuation of zone-b, "
    "with 300 keys left there and 200 on the way"
)
def _(context: Context) -> None:
    context.dumped_nodes = DumpedNodes()


@when("the operator asks for the status")
def _(context: Context) -> None:
    nodes = context.dumped_nodes
    context.status_text = to_text(collect_status(nodes.addresses, nodes))


@then('it shows "{line}"')
def _(context: Context, line: str) -> None:
    found = [item.strip() for item in context.status_text.splitlines()]
    assert line in found, context.status_text


class FleetEvacuation:
    """Nodes and upstreams in two zones, with callers that send all the time."""

    def __init__(self, fleet: NodeFleet, nodes: int, rate: int, warmup_s: int) -> None:
        self.fleet = fleet
        routes = {"look": {"service": _SERVICE, "route_type": "safe", "max_attempts": 1}}
        limits = {"warmup": f"{warmup_s}s", "warmup_per_s": rate}
        fleet.configure(routes, {_SERVICE: True}, {_SERVICE: limits})
        self.near = [fleet.add_owner(f"a{n}", _SERVICE, "zone-a", slots=4) for n in range(2)]
        self.evacuated = [fleet.add_owner(f"b{n}", _SERVICE, "zone-b", slots=4) for n in range(2)]
        for number in range(nodes):
            fleet.add_node(f"n{number}")
        fleet.wait_until_serving()
        self.answers: list[CallerAnswer] = []
        self.ended_at = 0.0
        self._keys = itertools.count()
        self._stopping = threading.Event()

    def start_callers(self) -> None:
        for name in self.fleet.nodes:
            for _caller in range(_CALLERS):
                threading.Thread(target=self._send, args=(name,), daemon=True).start()
        self.fleet.wait_until(
            lambda: all(item.arrivals for item in (*self.near, *self.evacuated)),
            "all upstreams get requests",
        )

    def stop(self) -> None:
        self._stopping.set()

    def arrivals(self) -> list[int]:
        return [item.arrivals for item in self.evacuated]

    def status(self) -> tuple[EvacuationStatus, ...]:
        addresses = [node.operator for node in self.fleet.nodes.values()]
        return collect_status(addresses, DumpClient(_DUMP_TIMEOUT_S)).evacuations

    def _send(self, name: str) -> None:
        while not self._stopping.is_set():
            key = next(self._keys) * _KEY_STEP % KEY_COUNT
            self.answers.append(self.fleet.request(name, "/look/x", key=key))


def _subject(context: Context) -> FleetEvacuation:
    return context.fleet_evacuation


@given(
    "{nodes:d} nodes and a service with keys with upstreams in zone-a and zone-b, "
    "which take {rate:d} requests per second while cold for {seconds:d} s"
)
def _(context: Context, nodes: int, rate: int, seconds: int) -> None:
    context.fleet_subject = NodeFleet()
    context.fleet_evacuation = FleetEvacuation(context.fleet_subject, nodes, rate, seconds)
    context.add_cleanup(context.fleet_evacuation.stop)


@when("callers send requests to both nodes all the time")
def _(context: Context) -> None:
    _subject(context).start_callers()


@when("the operator asks for the evacuation of zone-b")
def _(context: Context) -> None:
    _subject(context).fleet.store.put(_ENTRY, b"{}")


@then(
    "the upstreams of zone-b get no more requests and hold no keys, "
    "and no caller gets an unknown result"
)
def _(context: Context) -> None:
    subject = _subject(context)
    subject.fleet.wait_until(
        lambda: all(item.grants.held_count() == 0 for item in subject.evacuated),
        "the keys have moved",
    )
    before = subject.arrivals()
    time.sleep(_WATCHED_S)
    assert subject.arrivals() == before, (subject.arrivals(), before)
    assert sum(item.grants.held_count() for item in subject.near) == KEY_COUNT
    statuses = {item.status for item in subject.answers}
    assert statuses <= {200, 429, 503}, statuses
    assert not subject.fleet.overlaps(), subject.fleet.overlaps()


@then("their keys were handed over")
def _(context: Context) -> None:
    logs = [
        line
        for node in _subject(context).fleet.nodes.values()
        for line in node.process.log().splitlines()
        if "keys.moved" in line and '"giver":"b' in line.replace(": ", ":")
    ]
    assert logs and all('"warm":true' in line.replace(": ", ":") for line in logs), logs


@then("the status shows the evacuation of zone-b with 0 keys left, known to all nodes")
def _(context: Context) -> None:
    assert _subject(context).status() == (EvacuationStatus("zone-b", 0, ()),)


@when("the operator ends the evacuation")
def _(context: Context) -> None:
    subject = _subject(context)
    for item in subject.evacuated:
        item.arrival_times.clear()
    subject.ended_at = time.monotonic()
    subject.fleet.store.remove(_ENTRY)


@then(
    "the upstreams of zone-b get requests again, at most {limit:d} in any second of the next "
    "{seconds:d} s"
)
def _(context: Context, limit: int, seconds: int) -> None:
    subject = _subject(context)
    subject.fleet.wait_until(
        lambda: all(item.arrival_times for item in subject.evacuated), "requests arrive again"
    )
    assert subject.status() == ()
    for item in subject.evacuated:
        cold = [at for at in item.arrival_times if at < subject.ended_at + seconds]
        for first in cold:
            in_second = [at for at in cold if first <= at < first + 1.0]
            assert len(in_second) <= limit, (limit, in_second)
