"""Steps for services without keys on fleets with many nodes and upstreams."""

from collections import Counter
from dataclasses import replace

from behave import given, then, when
from behave.runner import Context

from features.node_support import CallerAnswer, NodeFleet
from features.relay_support import RelaySimulation
from foxtailshunt.operator import LogLine, read_log_lines, trace_request
from foxtailshunt.relay import form_groups

_SERVICE = "counter"
#: Nodes become ready when the keys of a service have owners.
_KEYED_SERVICE = "desk"


class LargeService:
    """Several nodes in front of one service without keys."""

    def __init__(self, fleet: NodeFleet, node_count: int, upstream_count: int) -> None:
        self.fleet = fleet
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
    context.fleet_subject = NodeFleet()
    context.large_service = LargeService(context.fleet_subject, nodes, upstreams)


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


@given(
    "{nodes:d} nodes in {zones:d} zones with links of {rate:d} messages per second, "
    "and {upstreams:d} upstreams in each zone"
)
def _(context: Context, nodes: int, zones: int, rate: int, upstreams: int) -> None:
    names = [f"zone-{number}" for number in range(zones)]
    context.relays = RelaySimulation(names, nodes // zones, upstreams, 0.11, rate)


@given("the link of one sending node is 10 times slower")
def _(context: Context) -> None:
    context.relays.slow_senders.add(context.relays.groups[0].senders[0].instance_id)


@when("{rate:d} requests per second arrive for {seconds:d} s, evenly from all zones")
def _(context: Context, rate: int, seconds: int) -> None:
    zones = context.relays.zones
    context.relays.run(dict.fromkeys(zones, rate / len(zones)), seconds)


@when("{rate:d} requests per second arrive for {seconds:d} s, 7 in 10 of them from one zone")
def _(context: Context, rate: int, seconds: int) -> None:
    first, *others = context.relays.zones
    rates = {first: 0.7 * rate} | dict.fromkeys(others, 0.3 * rate / len(others))
    context.relays.run(rates, seconds)


@then("at least {percent:d} of 100 are answered within their latency objective of 400 ms")
def _(context: Context, percent: int) -> None:
    share = context.relays.share_in_time()
    assert share >= percent / 100, share


class GroupSubject:
    """Upstream groups before and after changes of the fleet."""

    def __init__(self, zones: int, upstreams: int, nodes: int) -> None:
        names = [f"zone-{number}" for number in range(zones)]
        simulation = RelaySimulation(names, nodes, upstreams, 0.1, 1000.0)
        self.members, self.upstreams = simulation.members, simulation.upstreams
        self.before = self.groups = simulation.groups

    def form_again(self) -> None:
        self.before = self.groups
        self.groups = form_groups("counter", self.upstreams, self.members)


@given("{zones:d} zones with {upstreams:d} upstreams and {nodes:d} nodes each")
def _(context: Context, zones: int, upstreams: int, nodes: int) -> None:
    context.groups = GroupSubject(zones, upstreams, nodes)


@then("there are {count:d} groups with as many sending nodes as possible in their zones")
def _(context: Context, count: int) -> None:
    groups = context.groups.groups
    assert len(groups) == count, groups
    senders = [group.senders[0] for group in groups]
    groups_by_zone = Counter(group.zone for group in groups)
    nodes_by_zone = Counter(member.zone for member in context.groups.members)
    nodes_by_zone[None] = 1
    distinct = sum(min(found, nodes_by_zone[zone]) for zone, found in groups_by_zone.items())
    assert len({sender.instance_id for sender in senders}) == distinct, senders
    for group, sender in zip(groups, senders, strict=True):
        zones = {item.zone for item in group.upstreams}
        assert group.zone is None or zones == {group.zone} == {sender.zone}, group


@then("each upstream is in one group")
def _(context: Context) -> None:
    grouped = sorted(
        item.upstream_id for group in context.groups.groups for item in group.upstreams
    )
    assert grouped == sorted(item.upstream_id for item in context.groups.upstreams)


@then("each group has {least:d} to {most:d} upstreams")
def _(context: Context, least: int, most: int) -> None:
    sizes = [len(group.upstreams) for group in context.groups.groups]
    assert least <= min(sizes) and max(sizes) <= most, sizes


@when("a sending node leaves")
def _(context: Context) -> None:
    subject = context.groups
    leaving = subject.groups[0].senders[0]
    subject.members = [member for member in subject.members if member != leaving]
    subject.form_again()


@then("its group has another sending node and at most 1 other group changes")
def _(context: Context) -> None:
    subject = context.groups
    changed = [
        before.name
        for before, after in zip(subject.before, subject.groups, strict=True)
        if before.senders[0] != after.senders[0]
    ]
    assert subject.groups[0].name in changed, changed
    assert len(changed) <= 2, changed


@when("an upstream joins the service")
def _(context: Context) -> None:
    subject = context.groups
    newest = replace(subject.upstreams[0], upstream_id="new", started_ms=1)
    subject.upstreams = [*subject.upstreams, newest]
    subject.form_again()


@then("each group but that of the new upstream has the same upstreams as before")
def _(context: Context) -> None:
    subject = context.groups
    before = {group.name: group.upstreams for group in subject.before}
    after = {group.name: group.upstreams for group in subject.groups}
    assert before.keys() == after.keys()
    changed = [name for name, upstreams in after.items() if upstreams != before[name]]
    assert len(changed) == 1, changed
