"""Steps for the limit on requests to cold upstreams."""

import itertools
import re
import threading
import time

from behave import given, then, when
from behave.runner import Context

from features.cold_support import ColdFleetModel
from features.node_support import CallerAnswer, NodeFleet
from features.pool_support import PoolSimulation, SimulatedRequest
from foxtailshunt.admission import Call, QueueEntry, QueueEntryState
from foxtailshunt.routing import KEY_COUNT
from foxtailshunt.upstreams import ColdBound

_SEED = 3
_RUN_S = 5.0
_STEP_S = 0.005
#: How long callers go on after an upstream has joined, in seconds.
_COLD_RUN_S = 3.0
#: Step between the keys of two requests; odd, so that all keys get requests.
_KEY_STEP = 4093


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
                    pool.finish(entry, False, simulation.now)


@then("upstream 0 has got at most {limit:d} requests in any second")
def _(context: Context, limit: int) -> None:
    assert context.assigned
    for first in context.assigned:
        in_second = [at for at in context.assigned if first <= at < first + 1.0]
        assert len(in_second) <= limit, in_second


# A fleet of real nodes.


class JoiningScenario:
    """Nodes whose callers send all the time while an upstream joins."""

    def __init__(self, fleet: NodeFleet, nodes: int, keyed: bool, rate: int, warmup_s: int) -> None:
        self.fleet = fleet
        self._keyed = keyed
        self._keys = itertools.count()
        routes = {"look": {"service": "counter", "route_type": "safe", "max_attempts": 1}}
        limits = {"warmup": f"{warmup_s}s", "warmup_per_s": rate}
        fleet.configure(routes, {"counter": keyed}, {"counter": limits})
        fleet.add_owner("c0", "counter", keyed=keyed, slots=4)
        for number in range(nodes):
            fleet.add_node(f"n{number}")
        for node in fleet.nodes.values():
            fleet.wait_until(
                lambda name=node.name: self._request(name).status == 200,
                f"{node.name} serves requests",
            )
        fleet.wait_until(self._is_warm, "the first upstream is warm")
        self.answers: list[CallerAnswer] = []
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._send, args=(name,), daemon=True)
            for name in fleet.nodes
            for _caller in range(4)
        ]

    def _is_warm(self) -> bool:
        # A cold upstream with this limit cannot serve so many requests in a row in so short a time.
        started = time.monotonic()
        answers = [self._request("n0").status for _number in range(8)]
        return answers == [200] * 8 and time.monotonic() - started < 1.0

    def run(self) -> None:
        for thread in self._threads:
            thread.start()
        self.joined_at = time.monotonic()
        self.joined = self.fleet.add_owner("c1", "counter", keyed=self._keyed, slots=4)
        self.fleet.wait_until(lambda: len(self.joined.arrival_times) >= 5, "c1 gets requests")
        end = self.joined_at + _COLD_RUN_S
        self.fleet.wait_until(lambda: time.monotonic() > end, "callers have sent for some seconds")
        self._stopping.set()
        for thread in self._threads:
            thread.join(30)

    def _send(self, name: str) -> None:
        while not self._stopping.is_set():
            self.answers.append(self._request(name))

    def _request(self, name: str) -> CallerAnswer:
        key = next(self._keys) * _KEY_STEP % KEY_COUNT
        return self.fleet.request(name, "/look/x", key=key)


@given(
    "{nodes:d} nodes in front of a service {kind:w} keys whose upstreams take {rate:d} requests "
    "per second while cold for {seconds:d} s"
)
def _(context: Context, nodes: int, kind: str, rate: int, seconds: int) -> None:
    context.fleet_subject = NodeFleet()
    context.joining = JoiningScenario(context.fleet_subject, nodes, kind == "with", rate, seconds)


@when("callers send requests to both nodes all the time and another upstream joins")
def _(context: Context) -> None:
    context.joining.run()


@then("the new upstream gets requests, at most {limit:d} in any second of its first {seconds:d} s")
def _(context: Context, limit: int, seconds: int) -> None:
    times = context.joining.joined.arrival_times
    # Its warm-up is longer than this, and begins when a node sees its entry.
    cold = [at for at in times if at < context.joining.joined_at + seconds]
    for first in cold:
        in_second = [at for at in cold if first <= at < first + 1.0]
        assert len(in_second) <= limit, (limit, in_second)


@then("no caller has got an unknown result")
def _(context: Context) -> None:
    statuses = {item.status for item in context.joining.answers}
    assert statuses <= {200, 429, 503}, statuses
