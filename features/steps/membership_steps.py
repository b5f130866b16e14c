"""Steps for the registry of members and for what spreads between processes."""

import re

from assigner_support import (
    ManualClock,
    SyncNode,
    make_cfg_document,
    make_member,
    random_address,
    wait_until,
)
from behave import given, then, when
from behave.runner import Context

from foxtailshunt.membership import MemberRegistry, SyncAgent, View
from foxtailshunt.ownership import Address, Fence, Table, table_to_json
from foxtailshunt.protocol import FenceMessage, UpstreamReport
from foxtailshunt.telemetry import Metrics

_CFG_DOCUMENT = make_cfg_document({"u1": "wanaka"})


class RegistrySubject:
    """A registry on a clock that the test moves."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self._start = self.clock.time_s
        self.registry = MemberRegistry(self.clock, Metrics())

    def play(self, call: str) -> None:
        what, _, at = call.partition("@")
        self.clock.time_s = self._start + float(at)
        if what == "check":
            self.registry.remove_lost()
            return
        instance_id, boot_id = what.split(":")
        self.registry.note(make_member(instance_id, "dispatcher", boot_id=boot_id))

    def members(self) -> str:
        members = self.registry.members()
        return " ".join(f"{member.instance_id}:{member.boot_id}" for member in members)


class DispatcherSubject:
    """The membership parts of a dispatcher."""

    def __init__(self, seed: Address, cfg_version: int) -> None:
        self.reports: list[UpstreamReport] = []
        self.view = View(Metrics())
        self.view.accept_config(cfg_version, _CFG_DOCUMENT)
        member = make_member("d", "dispatcher")
        self.agent = SyncAgent(
            self.view, lambda: member, (seed,), lambda: self.reports, "wanaka", Metrics()
        )


class SpreadSubject:
    """Assigners by name, and a dispatcher."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self.nodes: dict[str, SyncNode] = {}

    def add(self, name: str, zone: str, seed: str | None) -> None:
        seeds = (self.nodes[seed].address,) if seed else ()
        node = SyncNode(name, zone, random_address(), seeds)
        node.start()
        self._context.add_cleanup(node.stop)
        self.nodes[name] = node

    def add_dispatcher(self, seed: str, cfg_version: int) -> None:
        self.dispatcher = DispatcherSubject(self.nodes[seed].address, cfg_version)
        self.dispatcher.agent.start()
        self._context.add_cleanup(self.dispatcher.agent.stop)

    def give(self, name: str, cfg_version: int, zone: str, fence: Fence) -> None:
        view = self.nodes[name].view
        view.accept_config(cfg_version, _CFG_DOCUMENT)
        view.accept_table(table_to_json(Table(zone, "0", fence, "t", 1, (), (), {}, ())))

    def has(self, view: View, cfg_version: int, zone: str, fence: Fence) -> bool:
        table = view.table(zone)
        return view.cfg_version == cfg_version and table is not None and table.fence == fence


def _fence(text: str) -> Fence:
    term, version = text.split(".")
    return Fence(int(term), int(version))


@given("a member registry")
def make_registry(context: Context) -> None:
    context.registry = RegistrySubject()


@when('the member registry hears the calls "{calls}"')
def play_calls(context: Context, calls: str) -> None:
    for call in calls.split():
        context.registry.play(call)


@then('the registered members are "{members}"')
def check_members(context: Context, members: str) -> None:
    assert context.registry.members() == members, context.registry.members()


@then('the registered members are ""')
def check_no_members(context: Context) -> None:
    assert context.registry.members() == "", context.registry.members()


@then("the registered members changed {count:d} times")
def check_version(context: Context, count: int) -> None:
    assert context.registry.registry.version == count, context.registry.registry.version


@given("syncing assigners {text}")
def start_assigners(context: Context, text: str) -> None:
    context.spread = SpreadSubject(context)
    for part in text.split(", "):
        words = re.split(r" in | that starts from ", part)
        context.spread.add(words[0], words[1], words[2] if len(words) > 2 else None)


@given("a syncing assigner {name} in {zone}")
def start_assigner(context: Context, name: str, zone: str) -> None:
    context.spread = SpreadSubject(context)
    context.spread.add(name, zone, None)


@given("a syncing dispatcher of wanaka with configuration {version:d} that starts from {seed}")
def start_dispatcher(context: Context, version: int, seed: str) -> None:
    context.spread.add_dispatcher(seed, version)


@when("assigner {name} is given configuration {version:d} and table {fence} of {zone}")
def give(context: Context, name: str, version: int, zone: str, fence: str) -> None:
    context.spread.give(name, version, zone, _fence(fence))


@given("the syncing dispatcher has heard of assigners a, b and c")
def wait_for_assigners(context: Context) -> None:
    expected = {node.address for node in context.spread.nodes.values()}
    agent = context.spread.dispatcher.agent
    wait_until(lambda: expected <= {peer.address for peer in agent.snapshots()})


@when("assigner {name} holds the lease")
def hold_lease(context: Context, name: str) -> None:
    context.spread.nodes[name].active = True


@when("assigners a and c stop")
def stop_nodes(context: Context) -> None:
    context.spread.nodes["a"].stop()
    context.spread.nodes["c"].stop()


@when("the syncing dispatcher reports an upstream and wakes")
def report(context: Context) -> None:
    fence = FenceMessage(1, 1)
    dispatcher = context.spread.dispatcher
    dispatcher.reports = [UpstreamReport("u1", fence, True, fence, True, False, 0.0, {}, 0, 0)]
    dispatcher.agent.wake()


@then("assigners a, b and c have configuration {version:d} and table {fence} of {zone}")
def check_spread(context: Context, version: int, zone: str, fence: str) -> None:
    spread = context.spread
    for name in "abc":
        view = spread.nodes[name].view
        wait_until(lambda view=view: spread.has(view, version, zone, _fence(fence)))


@then("assigner a has configuration {version:d}")
def check_cfg(context: Context, version: int) -> None:
    wait_until(lambda: context.spread.nodes["a"].view.cfg_version == version)


@then("the syncing dispatcher has configuration {version:d}")
def check_dispatcher_cfg(context: Context, version: int) -> None:
    wait_until(lambda: context.spread.dispatcher.view.cfg_version == version)


@then("the syncing dispatcher's active assigner is {name}")
def check_active(context: Context, name: str) -> None:
    address = context.spread.nodes[name].address
    wait_until(lambda: context.spread.dispatcher.agent.active_assigner == address)


@then("assigner {name} has the report")
def check_report(context: Context, name: str) -> None:
    node = context.spread.nodes[name]
    wait_until(lambda: any(report.upstream_id == "u1" for report in node.reports))
