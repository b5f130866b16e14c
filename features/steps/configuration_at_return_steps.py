"""Steps for configurations that are written while the store returns from a copy."""

import json
import random
from collections.abc import Iterator
from functools import lru_cache
from itertools import permutations
from types import SimpleNamespace

from behave import given, then, when
from behave.runner import Context

from features.front_support import make_document
from features.grant_support._network import NetworkStoreClient
from foxtailshunt.assigning import MemberRegistry
from foxtailshunt.config import (
    CONFIG_KEY,
    ConfigRecord,
    config_record_from_json,
    config_record_to_json,
    decode_config_record,
)
from foxtailshunt.fleet import FleetView, Member, StoreCallSpacing, Versions
from foxtailshunt.node import (
    ConfigurationApplier,
    ConfigurationFormat,
    ConfigurationWatch,
    PeerService,
    apply_reply,
    build_reply,
)
from foxtailshunt.node._messages import to_member_message, to_versions_message
from foxtailshunt.operator import ConfigApplier
from foxtailshunt.platform import HistoryLostError, StoreEraChangedError, decode_evacuation
from foxtailshunt.protocol import FollowRequest
from foxtailshunt.routing import FrontLimits, RouteTable
from foxtailshunt.timing import MonotonicClock
from standins.metadata import MetadataStore

#: Version in force when the store returns, and the one in the copy by what the next one shall be:
#: the operator's command counts on from the copy.
_IN_FORCE = 4
_COPIED = {"lower": 2, "equal": 3, "higher": 4, "lost ones": 2}
#: Reads after the return: the leader and the follower read the store, the fresh node starts and
#: reads it, and the follower and the fresh node poll the leader.
_READS = ("leader", "follower", "fresh", "follower polls", "fresh polls")


class LocalStoreClient(NetworkStoreClient):
    """Calls the stand-in for the store directly; watches do not wait."""

    def __init__(self, store: MetadataStore) -> None:
        exchange = lambda _target, _timeout_s, serve: serve()  # noqa: E731
        clock = SimpleNamespace(now=0.0, process=SimpleNamespace(name="node"))
        super().__init__(
            SimpleNamespace(store=store, exchange=exchange, time=clock, watch_faults={})
        )

    def watch(self, prefix: str, after: int, wait_s: float) -> tuple[list, int]:
        return super().watch(prefix, after, 0.0)


class OwnOperator:
    """Applies files with the operator's command."""

    fmt = ConfigurationFormat(CONFIG_KEY, CONFIG_KEY, lru_cache(decode_config_record))

    def __init__(self, store: MetadataStore) -> None:
        self._applier = ConfigApplier(LocalStoreClient(store), MonotonicClock())

    def write(self, number: int) -> None:
        document = make_document()
        document["services"][0]["connections"] = number
        self._applier.apply(json.dumps(document), None)

    def number_of(self, value: bytes) -> int:
        record = config_record_from_json(value)
        return json.loads(record.document)["services"][0]["connections"]


class PlatformOperator:
    """Writes versions that increase."""

    fmt = ConfigurationFormat(
        "op/",
        "op/config",
        lambda value: RouteTable(int(value), None, {}, FrontLimits()),
        decode_evacuation,
    )

    def __init__(self, store: MetadataStore) -> None:
        self._store = store

    def write(self, number: int) -> None:
        self._store.put("op/config", str(number).encode())

    def number_of(self, value: bytes) -> int:
        return int(value)


class ReadingNode:
    """A node that reads the store; records the numbers of the operator's writes in force."""

    def __init__(self, store: MetadataStore, operator: OwnOperator | PlatformOperator) -> None:
        self.view = FleetView(lambda: 0.0)
        self.numbers: list[int] = []
        self._operator = operator
        self._applier = ConfigurationApplier(operator.fmt, self.view)
        spacing = StoreCallSpacing(self.view, random.Random(1))
        client = LocalStoreClient(store)
        self._watch = ConfigurationWatch(client, self._applier, spacing, lambda: True)
        self._revision: int | None = None

    def read(self) -> None:
        """List the store, or read the changes since the last read of its era."""
        try:
            if self._revision is None:
                self._revision = self._watch._read_current()
            else:
                self._revision = self._watch._watch_once(self._revision)
        except (HistoryLostError, StoreEraChangedError):
            self._revision = None
            self.read()
            return
        self._record()

    def poll(self, leader: "ReadingNode") -> None:
        """Adopt the configuration of the leader if it is later."""
        reply = build_reply(leader.view, self.view.versions, True, True)
        if reply.configuration is not None:
            self._applier.apply(reply.configuration, "peer")
        apply_reply(self.view, reply, self.view.versions)
        self._record()

    def _record(self) -> None:
        if self.view.document:
            self.numbers.append(self._operator.number_of(self.view.document))


class ReturnSubject:
    """A store that returns from a copy, the operator and three nodes.

    :param store: an empty store.
    :param operator: the operator's class.
    :param copied: version in the copy.
    """

    def __init__(self, store: MetadataStore, operator: type, copied: int) -> None:
        self.store = store
        self.operator = operator(store)
        self.nodes = {name: ReadingNode(self.store, self.operator) for name in _READS[:2]}
        self.written = 0
        for version in range(1, _IN_FORCE + 1):
            self.write()
            if version == copied:
                self.copy = self.store.take_copy()
            self.read_all()

    def write(self) -> None:
        self.written += 1
        self.operator.write(self.written)

    def return_store(self) -> None:
        self.store.return_from(self.copy)
        self.nodes.pop("fresh", None)

    def do(self, event: str) -> None:
        name, _, polls = event.partition(" ")
        if name == "fresh" and name not in self.nodes:
            self.nodes[name] = ReadingNode(self.store, self.operator)
        if polls:
            self.nodes[name].poll(self.nodes["leader"])
        else:
            self.nodes[name].read()

    def settle(self) -> None:
        for event in _READS:
            self.do(event)

    def read_all(self) -> None:
        for node in self.nodes.values():
            node.read()

    def faults(self, names: tuple[str, ...] = _READS[:3]) -> list[str]:
        found = []
        for name in names:
            numbers = self.nodes[name].numbers
            if numbers[-1] != self.written:
                found.append(f"{name}: write {numbers[-1]} in force, not {self.written}")
            if numbers != sorted(numbers):
                found.append(f"{name} went back: {numbers}")
        return found


def _orders(moment: str) -> Iterator[list[str]]:
    """Return the orders of the reads and of the operator's writes."""
    for order in permutations(_READS):
        if order.index("fresh polls") < order.index("fresh"):
            continue
        reads = list(order)
        if moment == "before a node lists":
            yield ["write", *reads]
        elif moment == "after each node listed":
            yield [*reads, "write"]
        elif moment == "in both":
            yield ["write", *reads, "write"]
        elif moment == "twice after that":
            yield [*reads, "write", *reads, "write"]
        else:
            for place in range(len(reads) + 1):
                yield [*reads[:place], "write", *reads[place:]]


@given("a store of era {era:d} and a leader, a follower and a fresh node without a network")
def _(context: Context, era: int) -> None:
    context.era = era


@given("the operator's format is {fmt}, and the next version after the return is {version}")
def _(context: Context, fmt: str, version: str) -> None:
    context.version = version
    operator = OwnOperator if fmt == "own" else PlatformOperator
    store = MetadataStore()
    empty = store.take_copy()

    def start() -> ReturnSubject:
        store.return_from(empty)
        store.era = context.era
        return ReturnSubject(store, operator, _COPIED[version])

    context.start = start


@when("the store returns, and the operator writes {moment}, in every order of the nodes' reads")
def _(context: Context, moment: str) -> None:
    context.faults = []
    for order in _orders(moment):
        subject = context.start()
        # The store may return again from the same copy.
        for _ in range(2):
            subject.return_store()
            lost = iter(range(_COPIED[context.version] + 1, _IN_FORCE + 1))
            for event in order:
                if event != "write":
                    subject.do(event)
                elif context.version == "lost ones":
                    subject.operator.write(next(lost))
                else:
                    subject.write()
            subject.settle()
            context.faults += [f"{order}: {fault}" for fault in subject.faults()]


@then("each node has the last write in force, and none went back to an earlier one")
@then("the fresh node has the last write in force, and none went back to an earlier one")
def _(context: Context) -> None:
    found = context.faults
    assert not found, f"{len(found)} faults: " + "\n".join(found[:3])


@when("the store returns, the operator writes, and the fresh node lists and polls the leader")
def _(context: Context) -> None:
    subject = context.start()
    subject.return_store()
    subject.write()
    subject.do("fresh")
    subject.do("fresh polls")
    context.faults = subject.faults(("fresh",))


@when("the store returns, and the operator applies the content of the copy")
def _(context: Context) -> None:
    context.subject = context.start()
    context.subject.return_store()
    context.subject.operator.write(_COPIED[context.version])
    context.subject.settle()


@then("each node has the content of the copy in force")
def _(context: Context) -> None:
    found = {name: node.numbers[-1] for name, node in context.subject.nodes.items()}
    assert set(found.values()) == {_COPIED[context.version]}, found


@when("the operator applies the same content again")
def _(context: Context) -> None:
    context.revision = context.subject.store.revision
    context.subject.operator.write(_COPIED[context.version])


@then("the store has no new version")
def _(context: Context) -> None:
    assert context.subject.store.revision == context.revision


# Evacuations.

_EVACUATION_KEY, _OTHER_KEY = "op/evacuate/zone-b", "op/evacuate/zone-c"


@when("these events happen: {events}")
def _(context: Context, events: str) -> None:
    subject = context.subject = context.start()
    store, leader = subject.store, subject.nodes["leader"]
    actions = {
        "evacuate": lambda: store.put(_EVACUATION_KEY, b"{}"),
        "take back": lambda: store.remove(_EVACUATION_KEY),
        "evacuate c": lambda: store.put(_OTHER_KEY, b"{}"),
        "take back c": lambda: store.remove(_OTHER_KEY),
        "read": subject.read_all,
        "leader reads": leader.read,
        "follower polls": lambda: subject.nodes["follower"].poll(leader),
        "copy": lambda: setattr(subject, "copy", store.take_copy()),
        "return": subject.return_store,
        "compact": store.compact,
    }
    for event in events.split(", "):
        count, _, writes = event.partition(" ")
        if writes == "writes":
            for _ in range(int(count)):
                store.put("servers/u1", b"{}")
        else:
            actions[event]()


@then("the leader and the follower evacuate {zones}")
def _(context: Context, zones: str) -> None:
    expected = frozenset() if zones == "none" else frozenset({zones})
    found = {name: node.view.evacuated_zones for name, node in context.subject.nodes.items()}
    assert all(item == expected for item in found.values()), found


# Polls.


@given("a leader that has version {has:d} and a follower that knows version {knows:d}")
def _(context: Context, has: int, knows: int) -> None:
    context.view = FleetView(lambda: 0.0)
    record = ConfigRecord(has, "token", json.dumps(make_document()))
    document = config_record_to_json(record).encode()
    context.view.update_routes(decode_config_record(document), document)
    context.known = Versions(configuration=knows)


@when("the follower polls the leader for {wait_s:g} s")
def _(context: Context, wait_s: float) -> None:
    context.waited_s = []
    context.view.wait_for_change = lambda known, timeout_s: context.waited_s.append(
        timeout_s if known == context.view.versions else 0.0
    )
    leadership = SimpleNamespace(term=None, last_term=None)
    parts = [MemberRegistry(), None, None, lambda: 0.0, None]
    service = PeerService(context.view, None, None, leadership, *parts)
    member = to_member_message(Member("n1", "boot", "zone", ("127.0.0.1", 1)))
    known = to_versions_message(context.known)
    context.reply = service.follow(FollowRequest(member, known, round(wait_s * 1000), [], []))


@then("the leader did not send its configuration, and had waited for a change")
def _(context: Context) -> None:
    assert context.reply.configuration is None
    assert context.waited_s == [0.2], context.waited_s
