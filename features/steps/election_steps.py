"""Steps for elections, against the stand-in store and a scripted one."""

import json
import queue
import random
import re
from collections.abc import Iterator

from behave import given, then, when
from behave.runner import Context

from features.scripted_upstream import ScriptedUpstream, json_response
from foxtailshunt.assigning import LEADER_KEY, Leadership
from foxtailshunt.fleet import Address, FleetView, Member, StoreCallSpacing
from foxtailshunt.platform import StoreChange, StoreClient
from foxtailshunt.timing import MonotonicClock
from standins.metadata import MetadataServer, MetadataStore

_OTHER_KEY = "foxtailshunt/config"
_WAIT_TIMEOUT_S = 20.0
_LEADER = {"instance_id": "n2", "boot_id": "boot", "at": ["127.0.0.1", 2]}
_REPEATED = re.compile(r"\{(.)\*(\d+)\}")
_CUT_SHORT = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


class RecordingStoreClient(StoreClient):
    """Records from which revision each watch starts."""

    def __init__(self, address: Address) -> None:
        super().__init__(address)
        #: The revisions, in order.
        self.watched_after: queue.SimpleQueue[int] = queue.SimpleQueue()

    def watch(self, prefix: str, after: int, wait_s: float) -> tuple[list[StoreChange], int]:
        self.watched_after.put(after)
        return super().watch(prefix, after, wait_s)


def _elect(head: bytes) -> bytes:
    """Return the response of a store without a leader."""
    if b"/kv-key" in head:
        return b"HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\n{}"
    return json_response(b'{"lease":3,"ttl_time":"1200ms","revision":7}')


@given("a store without a leader whose first {count:d} responses are cut short")
def _(context: Context, count: int) -> None:
    def script(head: bytes, number: int, total: int) -> Iterator[bytes]:
        yield _CUT_SHORT if total < count else _elect(head)

    server = ScriptedUpstream(script, False)
    context.add_cleanup(server.close)
    context.election_client = RecordingStoreClient(server.address)


@given("a store in which another node is leader")
def _(context: Context) -> None:
    context.election_store = MetadataStore()
    server = MetadataServer(context.election_store)
    context.add_cleanup(server.stop)
    context.election_store.put(LEADER_KEY, json.dumps(_LEADER).encode())
    context.election_store.put(_OTHER_KEY, b"written after the election")
    context.election_client = RecordingStoreClient(server.address)


@given("a store in which the record of the leader is {record}")
def _(context: Context, record: str) -> None:
    text = _REPEATED.sub(lambda match: match[1] * int(match[2]), record)
    context.election_store = MetadataStore()
    server = MetadataServer(context.election_store)
    context.add_cleanup(server.stop)
    context.election_store.put(LEADER_KEY, text.encode())
    context.election_client = RecordingStoreClient(server.address)


@when("a node takes part in elections")
def _(context: Context) -> None:
    member = Member("n1", "boot", "zone", ("127.0.0.1", 1))
    now = MonotonicClock().now
    spread = StoreCallSpacing(FleetView(now), random.Random(5))
    leadership = Leadership(member, context.election_client, now, 1.0, spread)
    context.leadership = leadership
    context.add_cleanup(leadership.resign)
    leadership.start()


@when("the record of the leader is removed after the node has read it")
def _(context: Context) -> None:
    context.election_client.watched_after.get(timeout=_WAIT_TIMEOUT_S)
    context.election_store.remove(LEADER_KEY)


@when("the store discards its history")
def _(context: Context) -> None:
    context.election_client.watched_after.get(timeout=_WAIT_TIMEOUT_S)
    context.election_store.put(_OTHER_KEY, b"discarded with the history")
    context.election_store.compact()


@then("the node's next watch starts from what the store still keeps")
def _(context: Context) -> None:
    after = context.election_client.watched_after.get(timeout=_WAIT_TIMEOUT_S)
    assert after >= context.election_store.revision, after


@then("it becomes leader")
def _(context: Context) -> None:
    assert context.leadership.leading.wait(_WAIT_TIMEOUT_S)


@then("the node has read the record and knows no leader")
def _(context: Context) -> None:
    context.election_client.watched_after.get(timeout=_WAIT_TIMEOUT_S)
    leader = context.leadership.leader
    # Ends the node's watch, which the cleanup would wait for.
    context.election_store.remove(LEADER_KEY)
    assert leader is None, leader
