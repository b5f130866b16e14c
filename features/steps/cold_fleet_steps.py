"""Steps for an upstream that joins a fleet of real nodes during traffic."""

import itertools
import threading
import time

from behave import given, then, when
from behave.runner import Context

from features.node_support import CallerAnswer, NodeFleet
from foxtailshunt.routing import KEY_COUNT

#: Step between the keys of two requests; odd, so that all keys get requests.
_KEY_STEP = 4093
#: How long callers go on after an upstream has joined, in seconds.
_COLD_RUN_S = 3.0


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
