"""Steps for the leader's estimates of capacity and the moves of keys that follow from them."""

import math
import random
from dataclasses import replace

from behave import given, then, when
from behave.runner import Context

from foxtailshunt.assigning import Candidate, CapacityEstimator, Move, plan_moves, split_evenly
from foxtailshunt.fleet import KeyRange, OwnershipTable, Upstream
from foxtailshunt.node import (
    from_pace_message,
    from_upstreams_message,
    to_pace_message,
    to_upstreams_message,
)
from foxtailshunt.protocol import UpstreamPace
from foxtailshunt.upstreams import LatencyEstimator, LatencyReport, RequestResult, RouteLatency

_SERVICE = "desk"
_SLOTS = 4
_KEY_INTERVAL, _KEY_COUNT = 64, 65_536
_REPORT_INTERVAL_S = 0.5
_MAX_MOVES = 5
_ROUTE_LATENCIES_S = {"catalogue": 0.322, "statement": 0.524}
_MEAN_LATENCY_S = sum(_ROUTE_LATENCIES_S.values()) / len(_ROUTE_LATENCIES_S)
_NOISE_S, _NOISE_SHARE, _NOISE_FACTOR = 0.4, 0.2, 3.0
_LONG_SHARE, _LONG_FACTOR = 0.03, 7.0


class LeaderSimulation:
    """A leader, and upstreams that each have a sender of their own, in virtual time.

    Each sender knows only the latencies of its own upstream. Demand is even and constant.

    :param base_ratios: latency of each upstream relative to the average.
    :param utilization: share of the capacity of all upstreams that the demand takes.
    """

    def __init__(self, base_ratios: list[float], utilization: float) -> None:
        self.now = 1000.0
        self.started_at = self.now
        self._rng = random.Random(3)
        names = [f"u{number}" for number in range(len(base_ratios))]
        self.base_ratios = dict(zip(names, base_ratios, strict=True))
        self.failure_shares = dict.fromkeys(names, 0.0)
        self.has_noise = False
        self.upstreams = [
            Upstream(name, _SERVICE, ("h", 1), "zone", _SLOTS, False, 0.0, 0) for name in names
        ]
        self.senders = {name: LatencyEstimator(lambda: self.now) for name in names}
        self.estimator = CapacityEstimator()
        self.estimator.begin_term(())
        self.ranges = split_evenly(_SERVICE, [Candidate(name, 1.0) for name in names], 1)
        capacity = sum(_SLOTS / ratio for ratio in base_ratios)
        keys = range(0, _KEY_COUNT, _KEY_INTERVAL)
        self.demand = dict.fromkeys(keys, utilization * capacity / len(keys))
        #: Time and the share of all keys with demand of each move.
        self.moves: list[tuple[float, Move, float]] = []

    def run(self, seconds: float) -> None:
        for _report in range(int(seconds / _REPORT_INTERVAL_S)):
            self._serve()
            self.now += _REPORT_INTERVAL_S
            self.estimator.record_poll(self.now)
            for sender in self.senders.values():
                for report in sender.drain_reports():
                    received = from_pace_message(to_pace_message(report))
                    self.estimator.observe(received, "zone", self.now)
            self._plan()

    def load(self) -> dict[str, float]:
        """Return the demand for the keys of each upstream, in slots."""
        load = dict.fromkeys(self.base_ratios, 0.0)
        table = OwnershipTable(self.ranges)
        for key, amount in self.demand.items():
            load[table.find(_SERVICE, key).owner] += amount
        return load

    def utilization(self) -> dict[str, float]:
        return {
            name: amount * self.base_ratios[name] / _SLOTS for name, amount in self.load().items()
        }

    def share_of_keys(self, name: str) -> float:
        return self.load()[name] / sum(self.demand.values())

    def _serve(self) -> None:
        for name, amount in self.load().items():
            count = amount * _REPORT_INTERVAL_S / _MEAN_LATENCY_S
            count = int(count) + (self._rng.random() < count % 1)
            # Slowdowns last 0.4 s, so that the requests of one interval mostly share one.
            is_slow = self.has_noise and self._rng.random() < _NOISE_SHARE
            for _request in range(count):
                self._serve_one(name, is_slow)

    def _serve_one(self, name: str, is_slow: bool) -> None:
        sender = self.senders[name]
        if self._rng.random() < self.failure_shares[name]:
            sender.record_failure(name, RequestResult.ERROR)
            return
        route = self._rng.choice(list(_ROUTE_LATENCIES_S))
        factor = _NOISE_FACTOR if is_slow else 1.0
        if self.has_noise and self._rng.random() < _LONG_SHARE:
            factor *= _LONG_FACTOR
        elapsed_s = _ROUTE_LATENCIES_S[route] * self.base_ratios[name] * factor
        sender.record_response(route, name, elapsed_s)

    def change_leader(self) -> None:
        """Let another node lead, which knows what the previous leader published."""
        published = {item.upstream_id: item for item in self.upstreams}
        published = self.estimator.with_estimates(published, ["zone"], self.now)
        received = from_upstreams_message(
            to_upstreams_message(published.values(), lambda item: item.warmup_s)
        )
        self.estimator = CapacityEstimator()
        self.estimator.begin_term(received.values())
        self.started_at = self.now
        self.moves.clear()

    def _plan(self) -> None:
        capacities = self.estimator.capacities(_SERVICE, self.upstreams, self.now)
        candidates = [
            Candidate(name, item.work, accepts_keys=item.accepts_keys)
            for name, item in capacities.items()
        ]
        limit = _MAX_MOVES if self.estimator.is_settled(self.now) else 0
        for move in plan_moves(self.ranges, self.demand, candidates, limit):
            keys = len([key for key in self.demand if move.first <= key <= move.last])
            self.moves.append((self.now, move, keys / len(self.demand)))
            self.ranges.remove(move.keys)
            moved = KeyRange(_SERVICE, move.first, move.last, move.new_owner, 1)
            self.ranges.append(moved)
            if move.first > move.keys.first:
                self.ranges.append(replace(move.keys, last=move.first - 1))
            if move.last < move.keys.last:
                self.ranges.append(replace(move.keys, first=move.last + 1))

    def moved_share(self, since_s: float = 0.0) -> float:
        """Return the sum of the shares of keys that moved, from some time after the start."""
        return sum(share for at, _, share in self.moves if at > self.started_at + since_s)


def _subject(context: Context) -> LeaderSimulation:
    return context.leader_simulation


@given("{count:d} upstreams of equal speed with a utilization of {utilization:g}")
def _(context: Context, count: int, utilization: float) -> None:
    context.leader_simulation = LeaderSimulation([1.0] * count, utilization)


@given("{count:d} upstreams with base latency ratios of 0.6 to 1.6 and a utilization of {value:g}")
def _(context: Context, count: int, value: float) -> None:
    rng = random.Random(9)
    ratios = [math.exp(rng.uniform(math.log(0.6), math.log(1.6))) for _number in range(count)]
    context.leader_simulation = LeaderSimulation(ratios, value)


@given("slowdowns and long requests at all of them")
def _(context: Context) -> None:
    _subject(context).has_noise = True


@given("upstream {number:d} fails {percent:g} % of its requests at the leader")
@when("upstream {number:d} fails {percent:g} % of its requests at the leader")
def _(context: Context, number: int, percent: float) -> None:
    _subject(context).failure_shares[f"u{number}"] = percent / 100


@given("all of them fail {percent:g} % of their requests")
def _(context: Context, percent: float) -> None:
    subject = _subject(context)
    subject.failure_shares = dict.fromkeys(subject.failure_shares, percent / 100)


@given("the leader has led for {seconds:g} s")
@when("the leader leads for {seconds:g} s")
@when("the leader leads for {seconds:g} s more")
def _(context: Context, seconds: float) -> None:
    _subject(context).run(seconds)


@when("another node becomes the leader")
def _(context: Context) -> None:
    _subject(context).change_leader()


@then("no keys have moved to balance the load")
def _(context: Context) -> None:
    assert not _subject(context).moves, _subject(context).moves


@then("keys have moved to balance the load")
def _(context: Context) -> None:
    assert _subject(context).moves


@then("at most {percent:g} % of the keys have moved")
def _(context: Context, percent: float) -> None:
    moved = _subject(context).moved_share()
    assert moved <= percent / 100, moved


@then("after the first {seconds:d} s at most {percent:g} % of the keys have moved")
def _(context: Context, seconds: int, percent: float) -> None:
    moved = _subject(context).moved_share(seconds)
    assert moved <= percent / 100, moved


@then("the busiest upstream has a true utilization of at most {most:g}")
def _(context: Context, most: float) -> None:
    utilization = _subject(context).utilization()
    assert max(utilization.values()) <= most, utilization


@then("the busiest upstream has a true utilization of at least {least:g}")
def _(context: Context, least: float) -> None:
    utilization = _subject(context).utilization()
    assert max(utilization.values()) >= least, utilization


@then("upstream {number:d} has at most {percent:g} % of the keys that have demand")
def _(context: Context, number: int, percent: float) -> None:
    share = _subject(context).share_of_keys(f"u{number}")
    assert share <= percent / 100, share


@then("upstream {number:d} has at least {percent:g} % of the keys that have demand")
def _(context: Context, number: int, percent: float) -> None:
    share = _subject(context).share_of_keys(f"u{number}")
    assert share >= percent / 100, share


@given("an estimator of 3 upstreams to which nodes of an earlier build report")
def _(context: Context) -> None:
    context.earlier = CapacityEstimator()


@when("they report for 10 s that one upstream takes twice the average time")
def _(context: Context) -> None:
    for number in range(20):
        for name, ratio in (("u0", 2.0), ("u1", 1.0), ("u2", 1.0)):
            message = UpstreamPace(
                upstream_id=name, taken_ms=ratio * 700, expected_ms=700, answered=7, failed=0
            )
            context.earlier.observe(from_pace_message(message), "zone", 100.0 + number / 2)


@then("its capacity is between 0.4 and 0.7 of that of the others")
def _(context: Context) -> None:
    upstreams = [
        Upstream(f"u{number}", _SERVICE, ("h", 1), "zone", _SLOTS, False, 0.0, 0)
        for number in range(3)
    ]
    found = context.earlier.capacities(_SERVICE, upstreams, 110.0)
    assert 0.4 <= found["u0"].work / found["u1"].work <= 0.7, found


@given("a report with refused and unanswered requests and latencies of 2 routes")
def _(context: Context) -> None:
    latencies = (RouteLatency("stock", 3, -2.0), RouteLatency("order", 1, -1.5))
    context.report = LatencyReport("u1", 0.7, 0.6, 4, 5, 2, 3, latencies)


@then("a message to the leader and back keeps it")
def _(context: Context) -> None:
    received = from_pace_message(to_pace_message(context.report))
    assert received.latencies[0].route == "stock", received
    for sent, got in zip(context.report.latencies, received.latencies, strict=True):
        assert abs(sent.mean_log_s - got.mean_log_s) < 1e-9, received
    assert replace(received, latencies=()) == replace(context.report, latencies=()), received
