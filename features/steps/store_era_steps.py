"""Steps for the eras of the store, without a network except for stores on loopback addresses."""

import random
import re
from collections.abc import Iterator
from types import SimpleNamespace

from behave import given, then, when
from behave.runner import Context

from features.scripted_upstream import ScriptedUpstream
from foxtailshunt.assigning import (
    CopyStatements,
    LastTerm,
    LeaderProcess,
    Leadership,
    TableRecord,
    TableRecovery,
)
from foxtailshunt.fleet import (
    FleetView,
    KeyRange,
    Member,
    OwnershipTable,
    StoreCallSpacing,
    TableCopy,
    at_era,
    next_token,
)
from foxtailshunt.node import (
    ConfigurationApplier,
    ConfigurationFormat,
    ConfigurationWatch,
    EvacuationEntries,
    build_reply,
    reply_with_copy,
)
from foxtailshunt.platform import (
    StoreChange,
    StoreClient,
    StoreEraChangedError,
    StoreError,
    StoreItem,
    decode_evacuation,
)
from foxtailshunt.protocol import FollowRequest
from foxtailshunt.protocol import TableCopy as TableCopyMessage
from foxtailshunt.routing import FrontLimits, RouteTable
from standins.metadata import MetadataServer, MetadataStore

_KEY = "foxtailshunt/table"
_TIMEOUT_S = 5.0
_TERM = 7
_STORED = TableRecord(5, (KeyRange("desk", 0, 9, "u0", 5),), (LeaderProcess("n9", "b", 1.0),))


def _copy(text: str) -> TableCopy | None:
    """Return a copy such as ``last token 9 of era 2``, or None."""
    match = re.fullmatch(r"(?:lost )?(last )?token (\d+)(?: of era (\d))?", text)
    if match is None:
        return None
    final_before = int(match[3] or 1) if match[1] else 0
    return TableCopy(_TERM, (KeyRange("desk", 0, 9, "u1", int(match[2])),), final_before)


# The client.


@given("a client with a revision and a lease of era 0")
def _(context: Context) -> None:
    context.store = MetadataStore()
    server = MetadataServer(context.store)
    context.add_cleanup(server.stop)
    context.store.put(_KEY, b"table")
    context.client = StoreClient(server.address)
    context.item, context.revision = context.client.read_to_watch(_KEY, _TIMEOUT_S)
    context.lease, _ = context.client.open_lease(60.0, _TIMEOUT_S)


@when("the store returns from a copy and the client learns of it {how}")
def _(context: Context, how: str) -> None:
    context.store.return_from(context.store.take_copy())
    if how == "from another call":
        context.client.read(_KEY, _TIMEOUT_S)
    elif how == "from another node":
        context.client.observe_era(1)


@when("the client makes the call {call}")
def _(context: Context, call: str) -> None:
    client, lease = context.client, context.lease
    calls = {
        "watch": lambda: client.watch(_KEY, context.revision, 0.0),
        "commit": lambda: client.commit(
            {_KEY: context.item.revision}, [(_KEY, b"new", 0)], _TIMEOUT_S
        ),
        "commit by lease": lambda: client.commit({}, [(_KEY, b"new", lease)], _TIMEOUT_S),
        "renew lease": lambda: client.renew_lease(lease, _TIMEOUT_S),
        "end lease": lambda: client.end_lease(lease, _TIMEOUT_S),
    }
    context.error = None
    try:
        calls[call]()
    except StoreError as exc:
        context.error = exc


@then("the call fails since the era has changed")
@then("the second read fails since the era has changed")
def _(context: Context) -> None:
    assert isinstance(context.error, StoreEraChangedError), context.error


def _serve(context: Context, eras: list[bytes]) -> None:
    """Start a store that sends the given header lines, one element for each response."""

    def script(_head: bytes, _number: int, total: int) -> Iterator[bytes]:
        yield b"HTTP/1.1 404 Not Found\r\n" + eras[min(total, len(eras) - 1)]
        yield b"Content-Length: 2\r\n\r\n{}"

    server = ScriptedUpstream(script, False)
    context.add_cleanup(server.close)
    context.client = StoreClient(server.address)


@given("a store whose responses have the headers {headers}")
def _(context: Context, headers: str) -> None:
    lines = [] if headers == "none" else headers.split(", ")
    _serve(context, ["".join(f"{line}\r\n" for line in lines).encode()])


@given("a store that answers with era 1 first and with era 0 later")
def _(context: Context) -> None:
    _serve(context, [b"Store-Era: 1\r\n", b"Store-Era: 0\r\n"])


@when("the client reads a key")
@when("the client reads a key twice")
def _(context: Context) -> None:
    context.error = None
    try:
        context.client.read(_KEY, _TIMEOUT_S)
        if context.client.era == 1:
            context.client.read(_KEY, _TIMEOUT_S)
    except StoreError as exc:
        context.error = exc


@then("the read {outcome} and the client knows era {era:d}")
def _(context: Context, outcome: str, era: int) -> None:
    assert (context.error is None) == (outcome == "succeeds"), context.error
    assert context.client.era == era, context.client.era


# Terms and tokens.


@then("the term of revision {revision:d} in era {era:d} is {term:d}")
def _(_context: Context, revision: int, era: int, term: int) -> None:
    assert at_era(era, revision) == term, at_era(era, revision)


@then("after token {highest:d} the next one in era {era:d} is {token:d}")
def _(_context: Context, highest: int, era: int, token: int) -> None:
    assert next_token(era, highest) == token, next_token(era, highest)


# The table of an earlier era.


@given("a stored table of era 0 with token 5, and grants that expire at second {end:g}")
def _(context: Context, end: float) -> None:
    context.expire_at = end


@given("the new leader of era 1 holds {own} and a member holds {other}")
def _(context: Context, own: str, other: str) -> None:
    context.own, context.other = _copy(own), _copy(other)
    context.is_lost = other.startswith("lost")


@then("at second {moment:g} the leader continues from {table}")
def _(context: Context, moment: float, table: str) -> None:
    statements, other = CopyStatements(), context.other
    if other is not None:
        member = Member("n1", "boot", "zone", ("127.0.0.1", 1))
        statements.observe(member, other.position, other.final_before, moment)
    recovery = TableRecovery(
        1,
        lambda: context.own,
        statements,
        lambda _address: None if context.is_lost else other,
        lambda: moment,
    )
    found = recovery.choose(_STORED, context.expire_at)
    text = "nothing yet" if found is None else f"token {found.ranges[0].fence}"
    assert text == table, text
    assert found is None or found.leaders == _STORED.leaders, found


@given("a leader whose lease was renewed last at second {moment:g}")
def _(context: Context, moment: float) -> None:
    context.store = MetadataStore()
    server = MetadataServer(context.store)
    context.add_cleanup(server.stop)
    context.now = moment
    context.client = StoreClient(server.address)
    member = Member("n1", "boot", "zone", ("127.0.0.1", 1))
    context.leadership = Leadership(member, context.client, lambda: context.now, 1.0, None)
    context.leadership._try_to_become_leader()
    context.term = context.leadership.term
    assert context.term is not None


@when("the store returns {count} and the leader learns of it at second {moment:g}")
def _(context: Context, count: str, moment: float) -> None:
    for _ in range(2 if count == "twice" else 1):
        context.store.return_from(context.store.take_copy())
    context.now = moment
    context.client.read(_KEY, _TIMEOUT_S)
    assert context.leadership.term is None, "it leads in an era that has ended"
    context.leadership._renew_lease()


@then("it has stopped leading and its term {answer} known as the last one of its era")
def _(context: Context, answer: str) -> None:
    assert context.leadership.term is None
    found = context.leadership.last_term
    assert found == (LastTerm(context.term, 1) if answer == "is" else None), found


@given("a node that holds the table of term 7 with token 9 and {role}")
def _(context: Context, role: str) -> None:
    context.view = FleetView(lambda: 0.0)
    context.view.begin_term(_TERM)
    context.view.update_ownership(_TERM, 1, OwnershipTable(_copy("token 9").ranges))
    context.view.begin_term(at_era(1, 3))
    last = LastTerm(_TERM, 1) if role == "led in that term" else None
    context.leadership = SimpleNamespace(last_term=last, term=5 if role == "leads" else None)


@when("a node asks it for its copy and states {stated}")
def _(context: Context, stated: str) -> None:
    numbers = [int(text) for text in re.findall(r"\d+", stated)]
    copy = TableCopyMessage(0, *numbers) if numbers else None
    req = FollowRequest(None, None, 0, [], [], table_copy=copy)
    context.reply = reply_with_copy(req, context.view, context.leadership)


@then("it returns {reply}")
def _(context: Context, reply: str) -> None:
    found = context.reply
    if found is None:
        assert reply == "nothing", reply
        return
    assert [item.fence for item in found.ranges] == [found.token], found
    text = f"{'last ' if found.final_before == 1 else ''}token {found.token}"
    assert text == reply, text


# The configuration and evacuations.


def _decode(document: bytes) -> RouteTable:
    """Decode a version such as ``7``, or ``1/6`` if the document states the era of its write."""
    era, _, version = document.decode().rpartition("/")
    return RouteTable(int(version), None, {}, FrontLimits(), era=int(era or 0))


def _apply_all(configurations: str) -> FleetView:
    """Return the view of a node that has applied configurations, as a list, write or reply."""
    view = FleetView(lambda: 0.0)
    applier = ConfigurationApplier(ConfigurationFormat("op/", "op/c", _decode), view)
    spacing = StoreCallSpacing(view, random.Random(1))
    for text in configurations.split(", "):
        kind, document, *place = text.split(" ")
        if kind == "other":
            applier.apply(document.encode(), "peer")
            continue
        era, plain = place[1].split(".")
        revision = at_era(int(era), int(plain))
        found = [] if document == "nothing" else [StoreItem("op/c", document.encode(), revision, 0)]
        store = SimpleNamespace(
            list_items=lambda *_args, found=found, revision=revision: (found, revision),
            watch=lambda *_args, found=found, revision=revision: (
                [StoreChange(item.key, item) for item in found],
                revision,
            ),
        )
        watch = ConfigurationWatch(store, applier, spacing, lambda: False)
        if kind == "list":
            watch._read_current()
        else:
            watch._watch_once(revision - 1)
    return view


@when("a node applies {configurations}")
def _(context: Context, configurations: str) -> None:
    context.view = _apply_all(configurations)


@then("version {version:d} of era {era:d} is in force")
def _(context: Context, version: int, era: int) -> None:
    assert context.view.versions.configuration_order == (era, version), context.view.versions
    assert context.view.routes.version == version, context.view.routes


@given("a follower that applies {follower} and a leader that applies {leader}")
def _(context: Context, follower: str, leader: str) -> None:
    context.follower, context.leader = _apply_all(follower), _apply_all(leader)


@then("the leader {sends} its configuration")
def _(context: Context, sends: str) -> None:
    reply = build_reply(context.leader, context.follower.versions, True, True)
    assert (reply.configuration is not None) == (sends == "sends"), reply


@when("a node reads these evacuations: {reads}")
def _(context: Context, reads: str) -> None:
    context.view = FleetView(lambda: 0.0)
    entries = EvacuationEntries(decode_evacuation, context.view)
    for text in reads.split(", "):
        kind, zone, era, plain = re.fullmatch(r"(\w+) (\S) at (\d)\.(\d+)", text).groups()
        key, revision = f"op/evacuate/{zone}", at_era(int(era), int(plain))
        item = StoreItem(key, b"{}", revision, 0)
        if kind == "list":
            entries.replace([] if zone == "-" else [item], revision)
        elif kind == "others":
            context.view.update_evacuations(revision, frozenset({zone}))
        else:
            change = StoreChange(key, None if kind == "removed" else item)
            entries.change([change], revision)


@then("its evacuated zones are {zones}")
def _(context: Context, zones: str) -> None:
    found = context.view.evacuated_zones
    assert found == frozenset(zones.replace("-", "").split()), found
