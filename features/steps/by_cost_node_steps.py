"""Steps for a node with the policy by-cost."""

from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from behave.runner import Context

from features.node_support import CallerAnswer, NodeFleet


class ByCostNode:
    """A node process with the policy by-cost in front of one upstream."""

    def __init__(self, context: Context) -> None:
        self.fleet = NodeFleet()
        context.add_cleanup(self.fleet.close)
        routes = {"issue": {"service": "counter"}, "look": {"service": "desk"}}
        self.fleet.configure(routes, {"counter": False, "desk": True})
        # A node is ready only when it knows the owners of keys.
        self.fleet.add_owner("d0", "desk")
        self.fleet.add_owner("c0", "counter", keyed=False).work_s = 0.05
        self.node = self.fleet.add_node("n0", overload_policy="by-cost")
        self.fleet.wait_until_serving()
        self.answers: list[CallerAnswer] = []

    def send(self, count: int) -> None:
        with ThreadPoolExecutor(count) as executor:
            paths = [f"/issue/{number}" for number in range(count)]
            self.answers = list(executor.map(lambda path: self.fleet.request("n0", path), paths))


@given("a node with the overload policy by-cost in front of an upstream without keys")
def _(context: Context) -> None:
    context.by_cost_node = ByCostNode(context)


@when("{count:d} callers send a request at once")
def _(context: Context, count: int) -> None:
    context.by_cost_node.send(count)


@then("each of them gets a response, or a refusal as not run with a Retry-After time")
def _(context: Context) -> None:
    for item in context.by_cost_node.answers:
        refused = item.status == 503 and float(item.headers["retry-after"]) > 0
        assert item.status == 200 or (refused and item.headers["x-result-code"] == "203"), item


@then("some of them get a response")
def _(context: Context) -> None:
    assert any(item.status == 200 for item in context.by_cost_node.answers)


@then("the node's metrics count the decisions, and its log names the policy")
def _(context: Context) -> None:
    node, fleet = context.by_cost_node.node, context.by_cost_node.fleet
    metrics = node.metrics()
    assert 'foxtailshunt_admission_total{decision="admitted",rank="0"}' in metrics, metrics
    assert "foxtailshunt_expected_wait_seconds" in metrics, metrics
    fleet.wait_until(lambda: '"overload_policy":"by-cost"' in node.process.log(), "it is logged")
