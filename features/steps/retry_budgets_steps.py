"""Steps for retry budgets that share the reserve of the fleet, with a simulated clock."""

import random
from bisect import bisect_left

from behave import given, then, when
from behave.runner import Context

from foxtailshunt.admission import RetryBudget
from foxtailshunt.fleet import FleetSize, FleetView, Member

_SERVICE = "desk"
_WINDOW_S = 10.0
_STEP_S = 0.1


def _members(count: int) -> tuple[Member, ...]:
    return tuple(
        Member(f"n{number}", "boot", "zone", ("127.0.0.1", number + 1)) for number in range(count)
    )


class SizeSubject:
    """The view of a node, with a simulated clock."""

    def __init__(self, members: int) -> None:
        self.now = 0.0
        self.view = FleetView(lambda: self.now)
        self.view.begin_term(1)
        self._version = 0
        self.set_members(members)
        self.size = FleetSize(self.view, lambda: self.now)
        self.size.observe()

    def set_members(self, count: int) -> None:
        self._version += 1
        self.view.update_members(1, self._version, _members(count))

    def pass_time(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + 0.5)
            self.size.observe()


class FleetSubject:
    """The retry budgets of all nodes of a fleet."""

    def __init__(self, nodes: int, ratio: float, reserve: float) -> None:
        self.ratio, self.reserve = ratio, reserve
        self.knowledge = SizeSubject(nodes)
        self.budgets: list[RetryBudget] = []
        self.grow(nodes)
        self.retries = 0

    def grow(self, nodes: int) -> None:
        self.knowledge.set_members(nodes)
        size = self.knowledge.size
        while len(self.budgets) < nodes:
            budget = RetryBudget(self.ratio, self.reserve, size.nodes, self._read_clock)
            self.budgets.append(budget)

    def _read_clock(self) -> float:
        return self.knowledge.now

    def serve(self, requests: int) -> None:
        for number in range(requests):
            budget = self.budgets[number % len(self.budgets)]
            budget.record_first_attempt(_SERVICE)
            while budget.try_acquire(_SERVICE):
                self.retries += 1

    def serve_evenly(self, requests_per_s: int, duration_s: int) -> None:
        for _second in range(duration_s):
            for budget in self.budgets:
                for _request in range(requests_per_s):
                    budget.record_first_attempt(_SERVICE)
            self.knowledge.pass_time(1.0)


class BurstLoad:
    """Requests in bursts and pauses of random lengths, of which every one is to be sent again.

    :param fleet: the fleet.
    :param seed: seed of the random numbers.
    """

    def __init__(self, fleet: FleetSubject, seed: int) -> None:
        self._fleet = fleet
        self._rng = random.Random(seed)
        self.requests_at: list[float] = []
        self.retries_at: list[float] = []

    def play(self, duration_s: float) -> None:
        while self._fleet.knowledge.now < duration_s:
            is_failing = self._rng.random() < 0.5
            requests = self._rng.choice((0, 1, len(self._fleet.budgets)))
            for _step in range(round(self._rng.uniform(0.5, 8.0) / _STEP_S)):
                self._play_step(requests, is_failing)

    def _play_step(self, requests: int, is_failing: bool) -> None:
        now = self._fleet.knowledge.now
        for budget in self._rng.choices(self._fleet.budgets, k=requests):
            budget.record_first_attempt(_SERVICE)
            self.requests_at.append(now)
        for budget in self._fleet.budgets if is_failing else ():
            while budget.try_acquire(_SERVICE):
                self.retries_at.append(now)
        self._fleet.knowledge.pass_time(_STEP_S)

    def excess(self, ratio: float, reserve: float) -> float:
        """Return by how many retries the worst window exceeds what the fleet may send."""
        return max(
            _count(self.retries_at, start) - ratio * self._allowed_by(start) - reserve
            for start in self.retries_at
        )

    def _allowed_by(self, start: float) -> int:
        starts = (start, start - _WINDOW_S, start - _WINDOW_S / 2)
        return max(_count(self.requests_at, other) for other in starts)


def _count(times: list[float], start: float) -> int:
    """Return how many of some times are in the window that begins at a time."""
    return bisect_left(times, start + _WINDOW_S) - bisect_left(times, start)


@given(
    "{nodes:d} nodes that know of each other, "
    "which may retry {ratio:f} of the requests and {reserve:d} more"
)
def start_fleet(context: Context, nodes: int, ratio: float, reserve: int) -> None:
    context.retrying = FleetSubject(nodes, ratio, reserve)


@when("the fleet grows to {nodes:d} nodes")
def grow(context: Context, nodes: int) -> None:
    # Budgets that have been used hold the part of the reserve that they had before.
    for budget in context.retrying.budgets:
        budget.record_first_attempt(_SERVICE)
    context.retrying.grow(nodes)


@when(
    "callers send {requests:d} requests, and each node retries as many as its budget allows",
)
def serve(context: Context, requests: int) -> None:
    context.retrying.serve(requests)


@then("the fleet has sent at most {ratio:f} of {requests:d} retries and {reserve:d} more")
def check_most(context: Context, ratio: float, requests: int, reserve: int) -> None:
    context.allowed = ratio * requests + reserve
    assert context.retrying.retries <= context.allowed, (context.retrying.retries, context.allowed)


@when("callers send requests in bursts for {seconds:d} s, and all that may be are sent again")
def play_bursts(context: Context, seconds: int) -> None:
    # Seeds 1 to 5: different lengths of bursts, pauses and failures.
    context.loads = []
    for seed in range(1, 6):
        fleet = FleetSubject(
            len(context.retrying.budgets), context.retrying.ratio, context.retrying.reserve
        )
        load = BurstLoad(fleet, seed)
        load.play(seconds)
        context.loads.append(load)


@then(
    "in every window of 10 s the fleet has sent at most {ratio:f} of the requests and {reserve:d}"
)
def check_windows(context: Context, ratio: float, reserve: int) -> None:
    excesses = [load.excess(ratio, reserve) for load in context.loads]
    assert max(excesses) <= 0, excesses


@when("each node serves {requests:d} requests a second for {seconds:d} s without failures")
def serve_evenly(context: Context, requests: int, seconds: int) -> None:
    context.retrying.serve_evenly(requests, seconds)


@then("each node may retry {retries:d} requests that fail at once")
def check_saved(context: Context, retries: int) -> None:
    for budget in context.retrying.budgets:
        granted = sum(budget.try_acquire(_SERVICE) for _request in range(retries))
        assert granted == retries, granted


@then("it has sent at least half of them")
def check_least(context: Context) -> None:
    assert context.retrying.retries >= context.allowed / 2, context.retrying.retries


@given("a node that knows of {members:d} members")
def start_node(context: Context, members: int) -> None:
    context.size_subject = SizeSubject(members)


@when("nothing changes")
def change_nothing(context: Context) -> None:
    context.size_subject.pass_time(1.0)


@when("it gets a list of {members:d} member")
@when("it gets a list of {members:d} members")
def set_members(context: Context, members: int) -> None:
    context.size_subject.set_members(members)


@when("it gets a list of {members:d} members and {seconds:d} s go by")
def shrink(context: Context, members: int, seconds: int) -> None:
    context.size_subject.set_members(members)
    context.size_subject.pass_time(seconds)


@when("it is paused for {seconds:d} s and gets a list of {members:d} members")
def pause(context: Context, seconds: int, members: int) -> None:
    context.size_subject.now += seconds
    context.size_subject.set_members(members)


@then("it assumes {nodes:d} nodes")
def check_nodes(context: Context, nodes: int) -> None:
    assert context.size_subject.size.nodes() == nodes, context.size_subject.size.nodes()
