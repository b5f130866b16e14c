"""Steps for services without keys on fleets with many nodes and upstreams."""

from behave import given, then, when
from behave.runner import Context

from features.node_support import CallerAnswer, NodeFleet
from foxtailshunt.operator import LogLine, read_log_lines, trace_request

_SERVICE = "counter"
#: Nodes become ready when the keys of a service have owners.
_KEYED_SERVICE = "desk"


class LargeService:
    """Several nodes in front of one service without keys."""

    def __init__(self, node_count: int, upstream_count: int) -> None:
        self.fleet = NodeFleet()
        route = {"service": _SERVICE, "route_type": "unsafe", "timeout": "8000ms"}
        self.fleet.configure({"issue": route}, {_SERVICE: False, _KEYED_SERVICE: True})
        self.fleet.add_owner("k0", _KEYED_SERVICE)
        for number in range(upstream_count):
            self.fleet.add_owner(f"c{number}", _SERVICE, keyed=False)
        for number in range(node_count):
            self.fleet.add_node(f"n{number}")
        self.fleet.wait_until_serving()
        for node in self.fleet.nodes.values():
            self.fleet.wait_until(
                lambda node=node: len(node.dump()["members"]) == node_count, "all nodes are known"
            )
        self.answers: dict[str, list[CallerAnswer]] = {name: [] for name in self.fleet.nodes}

    def send_to_each_node(self) -> None:
        for name, answers in self.answers.items():
            answer = self.fleet.request(name, "/issue/x", method="POST", body=b"x")
            assert answer.status == 200, answer
            answers.append(answer)

    def trace(self, request_id: str) -> tuple[LogLine, ...]:
        text = "".join(node.process.log() for node in self.fleet.nodes.values())
        return trace_request(read_log_lines(text.splitlines()), request_id).lines

    def metric(self, node: str, name: str) -> float:
        """Return the sum of a metric's series at a node."""
        lines = self.fleet.nodes[node].metrics().splitlines()
        lines = [line for line in lines if line.startswith(name)]
        return sum(float(line.rpartition(" ")[2]) for line in lines)


@given("{nodes:d} nodes in front of a service without keys that has {upstreams:d} upstreams")
def _(context: Context, nodes: int, upstreams: int) -> None:
    context.large_service = LargeService(nodes, upstreams)
    context.fleet_subject = context.large_service.fleet


@when("a caller sends a request to each node")
def _(context: Context) -> None:
    context.large_service.send_to_each_node()


@then(
    "the traces of the forwarded requests name the sending node, its queue and the upstream's time"
)
def _(context: Context) -> None:
    subject = context.large_service
    context.forwarding_nodes = []
    for name, answers in subject.answers.items():
        request_id = answers[0].request_id
        subject.fleet.wait_until(
            lambda request_id=request_id: any(
                line.event == "request.answered" for line in subject.trace(request_id)
            ),
            "the node has logged its answer",
        )
        lines = subject.trace(request_id)
        answered = next(line for line in lines if line.event == "request.answered")
        sender = answered.fields["sender"]
        if sender == name:
            continue
        context.forwarding_nodes.append(name)
        subject.fleet.wait_until(
            lambda request_id=request_id: len(subject.trace(request_id)) == 2,
            "the sending node has logged the request",
        )
        relayed = next(
            line for line in subject.trace(request_id) if line.event == "request.relayed"
        )
        assert relayed.instance == sender, relayed
        for field in ("queued_ms", "upstream_ms"):
            assert relayed.fields[field] == answered.fields[field], (relayed, answered)
    assert context.forwarding_nodes


@then("the nodes that forwarded them measured the time between the nodes")
def _(context: Context) -> None:
    subject = context.large_service
    for name in context.forwarding_nodes:
        assert subject.metric(name, "foxtailshunt_relay_overhead_seconds_count") == 1, name


@when("{count:d} callers send a request to each node")
def _(context: Context, count: int) -> None:
    for _caller in range(count):
        context.large_service.send_to_each_node()


@then("each request is answered")
def _(context: Context) -> None:
    answers = [answer for each in context.large_service.answers.values() for answer in each]
    assert all(answer.status == 200 for answer in answers), answers


@then("no node has sent more than half of them")
def _(context: Context) -> None:
    subject = context.large_service
    name = 'foxtailshunt_upstream_seconds_count{service="counter"}'
    counts = {node: subject.metric(node, name) for node in subject.fleet.nodes}
    assert sum(counts.values()) == sum(map(len, subject.answers.values())), counts
    assert max(counts.values()) <= sum(counts.values()) / 2, counts
