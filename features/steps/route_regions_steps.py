"""Steps for routes that allow some regions only."""

import json
import time
from dataclasses import replace

from behave import given, then, when
from behave.runner import Context
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.TSerialization import deserialize, serialize

from features.forwarder_support import RecordingForwarder, RefusingSender
from features.node_support import NodeFleet
from features.pool_support import PoolSimulation, SimulatedRequest
from foxtailshunt.admission import Call
from foxtailshunt.fleet import FleetView, Member, Upstream
from foxtailshunt.platform import decode_configuration
from foxtailshunt.protocol import RelayRequest
from foxtailshunt.relay import UpstreamGroups, to_call
from foxtailshunt.relay._messages import to_relay_request
from foxtailshunt.routing import Regions, RequestLine
from foxtailshunt.telemetry import Metrics

_ZONE_REGIONS = {"eu-1": "eu", "eu-2": "eu", "us-1": "us"}
_CONFIGURATION = {
    "version": "r7",
    "routes": {
        "look": {
            "host": "shop.example",
            "prefix": "/look/",
            "route_type": "safe",
            "timeout": "1000ms",
            "aim": "500ms",
            "priority": 1,
            "max_attempts": 2,
            "service": "one",
            "allowed_regions": "REGIONS",
        }
    },
    "services": {},
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 1000,
        "header_timeout": "3000ms",
        "idle_timeout": "15s",
    },
}


def _names(text: str) -> frozenset[str] | None:
    if text in ("anything", "any zone", "any"):
        return None
    return frozenset() if text in ("nothing", "none") else frozenset(text.split(", "))


def _call(number: int, allowed: frozenset[str] | None, owner: str | None = None) -> Call:
    deadline = time.monotonic() + 30.0
    return Call(
        f"r{number}", "desk" if owner else "counter", 7 if owner else None, owner, "PUT", "/", (),
        b"body", deadline, deadline, 0, "look", allowed_zones=allowed,
    )  # fmt: skip


@given("a node in zone {zone} of {region}, and zones eu-1 and eu-2 of eu, us-1 of us")
def _(context: Context, zone: str, region: str) -> None:
    context.regions = Regions(zone, None if region == "no region" else region, _ZONE_REGIONS)


@when("a route allows {allowed}")
def _(context: Context, allowed: str) -> None:
    context.allowed_zones = context.regions.allowed_zones(_names(allowed))


@then("its requests may reach upstreams in {zones}")
def _(context: Context, zones: str) -> None:
    assert context.allowed_zones == _names(zones), context.allowed_zones


@then("its bodies may be relayed to nodes in {zones}")
def _(context: Context, zones: str) -> None:
    found = context.regions.relay_zones(context.allowed_zones)
    assert found == _names(zones), found


@when("a configuration is decoded whose route allows {value}")
def _(context: Context, value: str) -> None:
    document = json.dumps(_CONFIGURATION).replace('"REGIONS"', value)
    context.routes = decode_configuration(document.encode())


@then("the route allows the regions {regions}")
def _(context: Context, regions: str) -> None:
    match = context.routes.match(RequestLine("GET", "shop.example", "/look/x"))
    assert match.route.allowed_regions == _names(regions), match.route


# A pool of slots.


def _pool(context: Context) -> PoolSimulation:
    return context.pool_simulation


@given("upstream 0 is in zone {first} and upstream 1 in zone {second}")
def _(context: Context, first: str, second: str) -> None:
    simulation = _pool(context)
    simulation.upstreams = [
        replace(item, zone=zone)
        for item, zone in zip(simulation.upstreams, (first, second), strict=True)
    ]
    simulation.pool.set_upstreams(simulation.upstreams)


@when("{count:d} requests arrive that may use zone {zone} and {others:d} that may use all zones")
def _(context: Context, count: int, zone: str, others: int) -> None:
    simulation = _pool(context)

    def submit(name: str, zones: frozenset[str] | None) -> SimulatedRequest:
        request = simulation.submit(name, 1, 0.5, 3.0, allowed_zones=zones)
        simulation.assign_slots()
        return request

    context.restricted, context.others = [], []
    for number in range(max(count, others)):
        if number < count:
            context.restricted.append(submit(f"r{number}", frozenset({zone})))
        if number < others:
            context.others.append(submit(f"o{number}", None))
    simulation.advance(4.0)


@then("the restricted ones are served by upstream {number:d}")
def _(context: Context, number: int) -> None:
    assert all(item.upstream == f"u{number}" and item.ended_at for item in context.restricted)


@then("at least {least:d} of the others are served by upstream {number:d}")
def _(context: Context, least: int, number: int) -> None:
    served = [item for item in context.others if item.upstream == f"u{number}" and item.ended_at]
    assert len(served) >= least, len(served)


@then("the restricted ones are refused on arrival")
def _(context: Context) -> None:
    for request in context.restricted:
        assert request.refusal is not None and request.refused_at == request.submitted_at, request


# Forwarding.


@given("a forwarder in zone eu-1 and nodes in the zones eu-1, eu-2 and us-1")
def _(context: Context) -> None:
    view = FleetView(time.monotonic)
    view.begin_term(1)
    members = tuple(
        Member(f"n-{zone}-{number}", "boot", zone, ("h", 1))
        for zone in _ZONE_REGIONS
        for number in range(3)
    )
    view.update_members(1, 1, members)
    owner = Upstream("u1", "desk", ("h", 1), "us-1", 2, False, 0.0, 0)
    others = [
        Upstream(f"c-{zone}", "counter", ("h", 1), zone, 2, False, 0.0, 0) for zone in _ZONE_REGIONS
    ]
    view.update_upstreams(1, 1, {item.upstream_id: item for item in (owner, *others)}, 0.0)
    me = Member("me", "boot", "eu-1", ("h", 1))
    context.regional_view, context.regional_me = view, me


@when("it forwards {count:d} requests {kind:w} a key that may use {zones}")
def _(context: Context, count: int, kind: str, zones: str) -> None:
    context.tried = set()
    for number in range(count):
        # A new forwarder, and other members, so that the preferred senders differ.
        view, me = context.regional_view, context.regional_me
        members = tuple(
            replace(item, instance_id=f"{item.instance_id}-{number}") for item in view.members
        )
        view.update_members(1, 2 + number, members)
        forwarder = RecordingForwarder(
            me, view, UpstreamGroups(view), RefusingSender(), Metrics(),
            regions=Regions("eu-1", "eu", _ZONE_REGIONS),
        )  # fmt: skip
        forwarder.execute(_call(number, _names(zones), "u1" if kind == "with" else None), None)
        context.tried |= {member.zone for member in forwarder.tried}


@then("it has tried nodes in {zones} only")
def _(context: Context, zones: str) -> None:
    assert context.tried == _names(zones), context.tried


@then("a relayed request keeps its allowed zones, and one of an earlier build has none")
def _(context: Context) -> None:
    factory = TCompactProtocolAcceleratedFactory()
    for zones in (None, frozenset(), frozenset(("eu-1", "eu-2"))):
        sent = serialize(to_relay_request(_call(1, zones), "boot", 0.0), factory)
        received = to_call(deserialize(RelayRequest(), sent, factory), 0.0)
        assert received.allowed_zones == zones, received


# A real node.


class RegionScenario:
    """A node and upstreams in two regions."""

    def __init__(self, fleet: NodeFleet) -> None:
        self.fleet = fleet
        routes = {
            region: {"service": "counter", "allowed_regions": [region]}
            for region in ("eu", "us", "asia")
        }
        fleet.configure(routes | {"all": {"service": "counter"}}, {"counter": False})
        self.eu = fleet.add_owner("c0", "counter", "zone-a", keyed=False)
        self.us = fleet.add_owner("c1", "counter", "zone-b", keyed=False)
        fleet.add_node("n0", region="eu", zone_regions={"zone-a": "eu", "zone-b": "us"})
        # The table of keys is empty, so that readiness is not reached; requests show it instead.
        for region in ("eu", "us"):
            fleet.wait_until(
                lambda path=region: fleet.request("n0", f"/{path}/x").status == 200,
                f"requests for {region} are served",
            )


@given("a node in region eu with upstreams in the regions eu and us")
def _(context: Context) -> None:
    context.fleet_subject = NodeFleet()
    context.region_scenario = RegionScenario(context.fleet_subject)


@when(
    "callers send {eu:d} requests of a route for eu, {us:d} of one for us and {asia:d} of one "
    "for asia"
)
def _(context: Context, eu: int, us: int, asia: int) -> None:
    scenario = context.region_scenario
    context.before = scenario.eu.arrivals, scenario.us.arrivals
    context.regional_answers = {
        name: [scenario.fleet.request("n0", f"/{name}/x") for _number in range(count)]
        for name, count in (("eu", eu), ("us", us), ("asia", asia))
    }


@then("those for eu and us were answered by the upstream of their region")
def _(context: Context) -> None:
    scenario = context.region_scenario
    for name in ("eu", "us"):
        assert all(item.status == 200 for item in context.regional_answers[name])
    arrivals = scenario.eu.arrivals - context.before[0], scenario.us.arrivals - context.before[1]
    assert arrivals == (20, 20), arrivals


@then("those for asia were refused at once as not run")
def _(context: Context) -> None:
    for item in context.regional_answers["asia"]:
        assert item.status == 503 and "retry-after" in item.headers, item


@then("requests of a route for all regions reach both upstreams")
def _(context: Context) -> None:
    scenario = context.region_scenario
    before = scenario.eu.arrivals, scenario.us.arrivals
    scenario.fleet.wait_until(
        lambda: scenario.fleet.request("n0", "/all/x").status == 200
        and scenario.eu.arrivals > before[0]
        and scenario.us.arrivals > before[1],
        "both upstreams have got requests",
    )
