"""Steps for retry budgets that share the reserve of the fleet, with a simulated clock."""

from behave import given, then, when
from behave.runner import Context

from foxtailshunt.admission import RetryBudget
from foxtailshunt.fleet import FleetSize, FleetView, Member

_SERVICE = "desk"


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
        self._ratio, self._reserve = ratio, reserve
        self.knowledge = SizeSubject(nodes)
        self.budgets: list[RetryBudget] = []
        self.grow(nodes)
        self.retries = 0

    def grow(self, nodes: int) -> None:
        self.knowledge.set_members(nodes)
        size = self.knowledge.size
        while len(self.budgets) < nodes:
            self.budgets.append(RetryBudget(self._ratio, self._reserve, size.nodes))

    def serve(self, requests: int) -> None:
        for number in range(requests):
            budget = self.budgets[number % len(self.budgets)]
            budget.record_first_attempt(_SERVICE)
            while budget.try_acquire(_SERVICE):
                self.retries += 1


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
