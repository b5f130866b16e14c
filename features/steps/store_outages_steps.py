"""Steps for the calls of a fleet to a store that is unavailable."""

import bisect
import queue
import random

from behave import given, then, when
from behave.runner import Context

from features.scripted_upstream import ScriptedUpstream
from foxtailshunt.assigning import CapacityEstimator, DemandTracker, Leadership
from foxtailshunt.errors import DocumentError
from foxtailshunt.fleet import FleetView, Member, StoreCallSpacing
from foxtailshunt.node import (
    ConfigurationApplier,
    ConfigurationFormat,
    ConfigurationWatch,
    DemandCollector,
    Follower,
)
from foxtailshunt.platform import StoreClient
from foxtailshunt.routing import RouteTable
from foxtailshunt.timing import MonotonicClock
from foxtailshunt.upstreams import LatencyEstimator

_WAIT_TIMEOUT_S = 20.0
_REFUSAL = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\n{}"


def _view(nodes: int) -> FleetView:
    view = FleetView(MonotonicClock().now)
    members = tuple(
        Member(f"n{number}", "boot", "zone", ("127.0.0.1", 1)) for number in range(nodes)
    )
    view.begin_term(1)
    view.update_members(1, 1, members)
    return view


class RetrySimulation:
    """Nodes that retry a call in virtual time until an outage ends.

    :param nodes: number of nodes.
    """

    def __init__(self, nodes: int) -> None:
        self._nodes = nodes
        self._spread = StoreCallSpacing(_view(nodes), random.Random(3))
        #: Times of the retries of each node, in seconds.
        self.retries: list[list[float]] = []

    def run(self, least_s: float, outage_s: float) -> None:
        for _node in range(self._nodes):
            times: list[float] = []
            at = self._spread.delay_s(least_s)
            while at < outage_s:
                times.append(at)
                at += self._spread.delay_s(least_s)
            self.retries.append(times)


class RecordingSpread(StoreCallSpacing):
    """Records the shortest delays for which delays are requested."""

    def __init__(self, view: FleetView) -> None:
        super().__init__(view, random.Random(3))
        self.requested: queue.SimpleQueue[float] = queue.SimpleQueue()

    def delay_s(self, least_s: float) -> float:
        self.requested.put(least_s)
        return super().delay_s(least_s)


def _decode(document: bytes) -> RouteTable:
    raise DocumentError("the store returns no document")


@given("a fleet of {nodes:d} nodes whose calls to the store fail from second 0 on")
def _(context: Context, nodes: int) -> None:
    context.simulation = RetrySimulation(nodes)


@when("calls that are retried after at least {least:f} s are retried for {outage:d} s")
def _(context: Context, least: float, outage: int) -> None:
    context.simulation.run(least, outage)


@then("there are at most {most:d} retries, and at most {window:d} in any 0.5 s after the first 2 s")
def _(context: Context, most: int, window: int) -> None:
    times = sorted(at for node in context.simulation.retries for at in node)
    assert len(times) <= most, len(times)
    late = [at for at in times if at > 2]
    for index, start in enumerate(late):
        found = bisect.bisect_left(late, start + 0.5) - index
        assert found <= window, (start, found)


@then("each node has retried every {least:f} s")
def _(context: Context, least: float) -> None:
    for times in context.simulation.retries:
        gaps = [after - before for before, after in zip([0.0, *times], times, strict=False)]
        assert gaps, "no retries"
        assert all(abs(gap - least) < 1e-6 for gap in gaps), gaps


@given("a node of a fleet of {nodes:d} nodes whose store refuses all calls")
def _(context: Context, nodes: int) -> None:
    context.store = ScriptedUpstream(lambda *_: [_REFUSAL], closes=False)
    context.add_cleanup(context.store.close)
    context.view = _view(nodes)
    context.spread = RecordingSpread(context.view)


@when("the node has started")
def _(context: Context) -> None:
    now = MonotonicClock().now
    view, spread = context.view, context.spread
    store = StoreClient(context.store.address)
    me = view.members[0]
    leadership = Leadership(me, store, now, 1.0, spread)
    applier = ConfigurationApplier(ConfigurationFormat("config", "config", _decode), view)
    watch = ConfigurationWatch(store, applier, spread, lambda: False)
    follower = Follower(
        me,
        view,
        leadership,
        applier,
        store,
        DemandCollector(),
        LatencyEstimator(),
        DemandTracker(),
        CapacityEstimator(),
        now,
        spread,
        (),
    )
    for part in (leadership, watch, follower):
        part.start()
    context.add_cleanup(leadership.resign)
    context.add_cleanup(watch.stop)
    context.add_cleanup(follower.stop)


@then(
    "its elections, configuration and list of upstreams are retried after at least {elections:f}, "
    "{configuration:f} and {upstreams:f} s"
)
def _(context: Context, elections: float, configuration: float, upstreams: float) -> None:
    expected = {elections, configuration, upstreams}
    requested: set[float] = set()
    while requested != expected:
        requested.add(context.spread.requested.get(timeout=_WAIT_TIMEOUT_S))
        assert requested <= expected, requested
