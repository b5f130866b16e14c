"""Steps for the memory account of a node."""

import threading
import time
from typing import Any

from behave import given, then, when
from behave.runner import Context

from features.front_support import WAIT_TIMEOUT_S, wait_until
from features.protocol_support import make_relay_request
from foxtailshunt.memory import (
    ConnectionLimits,
    MemoryAccount,
    MemoryLimits,
    NoMemoryError,
    Reservation,
)
from foxtailshunt.node._peer_service import refuse_relay
from foxtailshunt.protocol import ClientPool, ProtocolServer, RelayReply, RelayRequest
from foxtailshunt.protocol.gen import Peer


class Transfer:
    """A transfer that ends when the account closes its connection."""

    def __init__(self, account: MemoryAccount, size: int) -> None:
        self.is_closed = False
        self.reservation = account.open()
        self.reservation.grow(size)
        self.reservation.begin_transfer(self._close)

    def _close(self) -> None:
        self.is_closed = True
        self.reservation.release()


@given("a memory account of {size:d} bytes")
def make_account(context: Context, size: int) -> None:
    context.account = MemoryAccount(MemoryLimits(size))


def _count(context: Context, size: int) -> Reservation:
    reservation = context.account.open()
    reservation.grow(size)
    return reservation


def _finds_room(context: Context, size: int) -> bool:
    try:
        _count(context, size)
    except NoMemoryError:
        return False
    return True


@when("bodies of {first:d} and {second:d} bytes are counted")
def count_bodies(context: Context, first: int, second: int) -> None:
    context.bodies = [_count(context, first), _count(context, second)]


@then("a body of {size:d} bytes finds no room")
def check_no_room(context: Context, size: int) -> None:
    assert not _finds_room(context, size)


@then("a body of {size:d} bytes finds room")
def check_room(context: Context, size: int) -> None:
    assert _finds_room(context, size)


@then("{size:d} bytes are counted")
def check_counted(context: Context, size: int) -> None:
    assert context.account.reserved == size


@given(
    "transfers of {first:d}, {second:d} and {third:d} bytes, of which the first two have stalled"
)
def begin_transfers(context: Context, first: int, second: int, third: int) -> None:
    context.transfers = [Transfer(context.account, size) for size in (first, second, third)]
    now = time.monotonic()
    context.transfers[0].reservation.stalls_at = now - 2
    context.transfers[1].reservation.stalls_at = now - 1
    context.transfers[2].reservation.stalls_at = now + WAIT_TIMEOUT_S


@when("the first two transfers move on by {size:d} bytes")
def move_on(context: Context, size: int) -> None:
    for transfer in context.transfers[:2]:
        transfer.reservation.record_progress(size)


@when("a body of {size:d} bytes asks for room")
def ask(context: Context, size: int) -> None:
    context.found_room = _finds_room(context, size)


@then("it finds room after the first transfer was closed")
def check_first_closed(context: Context) -> None:
    assert context.found_room
    assert [item.is_closed for item in context.transfers] == [True, False, False]


@then("it finds no room, and no transfer was closed")
def check_none_closed(context: Context) -> None:
    assert not context.found_room
    assert not any(item.is_closed for item in context.transfers)


@when("a response of {size:d} bytes waits for room, and the body of {ended:d} bytes ends")
def wait_for_room(context: Context, size: int, ended: int) -> None:
    response = context.response = context.account.open()
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    thread = threading.Thread(target=response.grow, args=(size, deadline))
    thread.start()
    next(item for item in context.bodies if item.held == ended).release()
    thread.join(WAIT_TIMEOUT_S)


@then("the response finds room")
def check_response(context: Context) -> None:
    assert context.response.held == 500


class _CountingHandler:
    """Counts the calls that it handles."""

    def __init__(self) -> None:
        self.handled = 0

    def relay(self, req: RelayRequest) -> RelayReply:
        self.handled += 1
        return RelayReply(outcome=100, arrived=True)


def _fail() -> None:
    raise AssertionError("a bad frame")


@given("a node with memory for {size:d} bytes that serves calls of other nodes")
def start_server(context: Context, size: int) -> None:
    context.account = MemoryAccount(MemoryLimits(size))
    # Another body takes a part, so that none may exceed the limit.
    context.other_size = size // 3
    context.other = _count(context, context.other_size)
    context.handler = _CountingHandler()
    server = ProtocolServer(
        Peer, context.handler, ("127.0.0.1", 0), _fail, context.account, {"relay": refuse_relay}
    )
    server.start()
    context.address = server._listener.getsockname()
    context.pool = ClientPool(Peer, 1)
    context.add_cleanup(server.stop, WAIT_TIMEOUT_S)
    context.add_cleanup(context.pool.close)


def _relay(context: Context, size: int) -> Any:
    req = make_relay_request()
    req.body = b"a" * size
    return context.pool.call(context.address, "relay", req, WAIT_TIMEOUT_S)


@when("another node relays a body of {size:d} bytes")
def relay(context: Context, size: int) -> None:
    context.reply = _relay(context, size)


@then("it gets the code {code:d}, and the node has handled {handled:d} calls")
def check_reply(context: Context, code: int, handled: int) -> None:
    assert context.reply.outcome == code, context.reply
    assert context.handler.handled == handled
    assert context.reply.arrived is (handled > 0)


@then("a small call on the same connection succeeds")
def check_small(context: Context) -> None:
    assert _relay(context, 10).outcome == 100


@then("the node counts no more bytes")
def check_released(context: Context) -> None:
    wait_until(lambda: context.account.reserved == context.other_size, "release of the bytes")


@then(
    "an instance with {memory} MB and {fds} descriptors holds {size:d} bytes of bodies,"
    " a single one of {single}, and {connections:d} connections, {uncounted:d} of them uncounted"
)
def check_limits(
    context: Context,
    memory: str,
    fds: str,
    size: int,
    single: str,
    connections: int,
    uncounted: int,
) -> None:
    memory_mb = None if memory == "-" else float(memory)
    limits = MemoryLimits.for_memory(memory_mb)
    expected = (size, None if single == "-" else int(single))
    assert (limits.total, limits.single) == expected, limits
    counts = ConnectionLimits.for_instance(None if fds == "-" else int(fds), memory_mb)
    assert (counts.total, counts.uncounted) == (connections, uncounted), counts
