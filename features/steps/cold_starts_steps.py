"""Steps for the limit on requests to cold upstreams."""

import re
from collections.abc import Iterable
from dataclasses import replace

from behave import given, then, when
from behave.runner import Context

from features.cold_support import SERVICE, ColdFleetModel, cold_service, upstream
from features.pool_support import PoolSimulation, SimulatedRequest
from foxtailshunt.admission import Call, QueueEntry, QueueEntryState
from foxtailshunt.fleet import FleetView, Member, rank_by_rendezvous
from foxtailshunt.relay import UpstreamGroups, UpstreamSenders
from foxtailshunt.routing import FrontLimits, HostRoutes, RouteTable
from foxtailshunt.upstreams import ColdBound, RequestResult

_SEED = 3
_RUN_S = 5.0
_STEP_S = 0.005


@given("{count:d} nodes in front of a cold upstream that sustains {rate:g} requests per second")
def _(context: Context, count: int, rate: float) -> None:
    context.cold_nodes, context.cold_rate = count, rate
    context.cold_fleet = ColdFleetModel(count, rate, ColdBound(), _SEED)


@given("a bound of {ratio:g} times its rate and {reserve:d} requests")
def _(context: Context, ratio: float, reserve: int) -> None:
    bound = ColdBound(ratio, float(reserve))
    context.cold_fleet = ColdFleetModel(context.cold_nodes, context.cold_rate, bound, _SEED)


@when("no node is its sender for 5 s")
def _(context: Context) -> None:
    context.cold_fleet.run(_RUN_S)


@when("node 0 is its sender for 5 s")
def _(context: Context) -> None:
    context.cold_fleet.set_senders(0)
    context.cold_fleet.run(_RUN_S)


@when("the sender changes from node 0 to node 1 after {seconds:g} s")
def _(context: Context, seconds: float) -> None:
    context.cold_fleet.set_senders(0)
    context.cold_fleet.run(seconds)
    context.cold_fleet.set_senders(1)
    context.cold_fleet.run(_RUN_S - seconds)


@when("the sender changes every {seconds:g} s")
def _(context: Context, seconds: float) -> None:
    for number in range(int(_RUN_S / seconds)):
        context.cold_fleet.set_senders(number % context.cold_nodes)
        context.cold_fleet.run(seconds)


@when("node 0 is its sender and restarts every {seconds:g} s")
def _(context: Context, seconds: float) -> None:
    _run_with_restarts(context.cold_fleet, (0,), 0, seconds)


@when("nodes {numbers} believe to be its sender for 5 s")
def _(context: Context, numbers: str) -> None:
    context.cold_fleet.set_senders(*(int(number) for number in re.findall(r"\d", numbers)))
    context.cold_fleet.run(_RUN_S)


@when("nodes 0 and 1 believe to be its sender and node 1 restarts every {seconds:g} s")
def _(context: Context, seconds: float) -> None:
    _run_with_restarts(context.cold_fleet, (0, 1), 1, seconds)


@when("node 0 is displaced by node 1 and learns of it {seconds:g} s later")
def _(context: Context, seconds: float) -> None:
    _displace(context.cold_fleet, (1,), seconds)


@when("nodes 1 and 2 displace node 0 at once and it stops {seconds:g} s later")
def _(context: Context, seconds: float) -> None:
    _displace(context.cold_fleet, (1, 2), seconds)


def _run_with_restarts(
    fleet: ColdFleetModel, senders: tuple[int, ...], number: int, seconds: float
) -> None:
    fleet.set_senders(*senders)
    for _round in range(int(_RUN_S / seconds)):
        fleet.run(seconds)
        fleet.restart(number)


def _displace(fleet: ColdFleetModel, senders: tuple[int, ...], seconds: float) -> None:
    fleet.set_senders(0)
    fleet.run(1.3)
    fleet.set_senders(0, *senders)
    fleet.run(seconds)
    fleet.set_senders(senders[0])
    fleet.run(_RUN_S - 1.3 - seconds)


@then("the upstream has got at most {limit:d} requests in any second")
def _(context: Context, limit: int) -> None:
    most = context.cold_fleet.most_in_a_second()
    assert most <= limit, most


@then("it has got at least {least:d} requests in some second")
def _(context: Context, least: int) -> None:
    most = context.cold_fleet.most_in_a_second()
    assert most >= least, most


# Which node is the sender.


class SenderRoles:
    """Nodes with the same view, each of which determines whether it is the sender."""

    def __init__(self, count: int, keyed: bool) -> None:
        self.now = 1000.0
        self.leader: str | None = None
        self.target = upstream()
        self._service = replace(cold_service(5.0, 3.0), keyed=keyed)
        self.members = [Member(f"n{n}", "boot", "zone-a", ("h", 1)) for n in range(count)]
        self.views = {item.instance_id: self._new_view() for item in self.members}
        self.roles = {
            item.instance_id: UpstreamSenders(
                self.views[item.instance_id],
                UpstreamGroups(self.views[item.instance_id]),
                item,
                lambda name=item.instance_id: self.leader == name,
            )
            for item in self.members
        }

    def _new_view(self) -> FleetView:
        view = FleetView(lambda: self.now)
        view.begin_term(1)
        routes = RouteTable(1, HostRoutes(()), {SERVICE: self._service}, FrontLimits())
        view.update_routes(routes, b"")
        view.update_upstreams(1, 1, {self.target.upstream_id: self.target}, 0.0)
        view.update_members(1, 1, tuple(self.members))
        return view

    def poll(self, age_s: float, names: Iterable[str]) -> None:
        for name in names:
            self.views[name].record_leader_poll(self.now - age_s)

    def preferred(self) -> str:
        subject = self.target.upstream_id if self._service.keyed else SERVICE
        return rank_by_rendezvous(subject, self.members)[0].instance_id

    def set_leaving(self, name: str) -> None:
        members = tuple(replace(item, leaving=item.instance_id == name) for item in self.members)
        for view in self.views.values():
            view.update_members(1, 2, members)


@given("{count:d} nodes in zone-a with the same view, and a cold upstream there {kind:w} keys")
def _(context: Context, count: int, kind: str) -> None:
    context.roles = SenderRoles(count, kind == "with")


@when("all have polled the leader {age:g} s ago")
def _(context: Context, age: float) -> None:
    context.roles.poll(age, context.roles.views)


@when("no node has polled the leader")
def _(context: Context) -> None:
    context.roles.poll(0.0, ())


@when("only the others have polled the leader {age:g} s ago")
def _(context: Context, age: float) -> None:
    context.roles.poll(age, context.roles.views.keys() - {context.roles.preferred()})


@when("the preferred one leads and no node has polled")
def _(context: Context) -> None:
    context.roles.leader = context.roles.preferred()


@when("the preferred one is leaving and all have polled {age:g} s ago")
def _(context: Context, age: float) -> None:
    context.roles.set_leaving(context.roles.preferred())
    context.roles.poll(age, context.roles.views)


@then("{count:d} of the nodes count as its sender")
def _(context: Context, count: int) -> None:
    roles = context.roles
    senders = [name for name, role in roles.roles.items() if role.is_sender(roles.target)]
    assert len(senders) == count, senders


# A pool of slots.


def _pool(context: Context) -> PoolSimulation:
    return context.pool_simulation


@given(
    "upstream {number:d} is cold for {seconds:d} s, takes {rate:d} requests per second, "
    "and this node {role} its sender"
)
def _(context: Context, number: int, seconds: int, rate: int, role: str) -> None:
    simulation = _pool(context)
    context.warm_at = simulation.now + seconds
    simulation.set_cold(number, float(seconds), float(rate), role == "is")


@given("a second pool of the same upstream")
def _(context: Context) -> None:
    context.second_pool = _pool(context).new_pool()
    context.second_pool.set_upstreams(_pool(context).upstreams)


def _admitted(context: Context) -> list[SimulatedRequest]:
    """Let all requests end, and return those that were not refused on arrival."""
    _pool(context).advance(6.0)
    return [
        item
        for item in _pool(context).requests
        if item.refusal is None or item.refused_at > item.submitted_at
    ]


@then("all admitted requests are served before their deadline")
def _(context: Context) -> None:
    for request in _admitted(context):
        assert request.ended_at is not None and request.ended_at <= request.deadline, request


@then("between {least:d} and {most:d} requests are admitted")
def _(context: Context, least: int, most: int) -> None:
    admitted = len(_admitted(context))
    assert least <= admitted <= most, admitted


@then("upstream 0 has started at most {limit:d} of them in any second before it is warm")
def _(context: Context, limit: int) -> None:
    started = sorted(
        item.started_at
        for item in _admitted(context)
        if item.upstream == "u0" and item.started_at < context.warm_at
    )
    for first in started:
        in_second = [at for at in started if first <= at < first + 1.0]
        assert len(in_second) <= limit, in_second


@then("the others are refused on arrival with a Retry-After time")
def _(context: Context) -> None:
    refused = [item for item in _pool(context).requests if item.ended_at is None]
    assert refused, "no request was refused"
    for request in refused:
        assert request.refused_at == request.submitted_at, request
        assert request.refusal is not None and request.refusal.retry_after_s > 0, request


@then("at least {least:d} of them are served by upstream {number:d}")
def _(context: Context, least: int, number: int) -> None:
    served = [item for item in _admitted(context) if item.upstream == f"u{number}"]
    assert len(served) >= least, len(served)


@when("requests arrive at both pools for {seconds:d} s")
def _(context: Context, seconds: int) -> None:
    simulation = _pool(context)
    context.assigned = []
    end = simulation.now + seconds
    while simulation.now < end:
        simulation.now += _STEP_S
        for pool in (simulation.pool, context.second_pool):
            call = Call(
                "r", "desk", None, None, "GET", "/", (), b"", simulation.now + 2.0,
                simulation.now + 2.0, 0, "route",
            )  # fmt: skip
            pool.enqueue(QueueEntry(call, lambda: None, simulation.now), simulation.now)
            for entry in pool.assign(simulation.now):
                if entry.state is QueueEntryState.ASSIGNED:
                    context.assigned.append(simulation.now)
                    pool.finish(entry, RequestResult.SERVED, simulation.now)


@then("upstream 0 has got at most {limit:d} requests in any second")
def _(context: Context, limit: int) -> None:
    assert context.assigned
    for first in context.assigned:
        in_second = [at for at in context.assigned if first <= at < first + 1.0]
        assert len(in_second) <= limit, in_second
