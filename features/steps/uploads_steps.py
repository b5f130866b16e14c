"""Steps for large bodies."""

import select
import socket
import threading
import tracemalloc

from behave import given, then, when
from behave.runner import Context

from features.front_support import WAIT_TIMEOUT_S, CallerResponse, FrontSubject, wait_until
from features.raw_caller import RawCaller, encode_chunks
from foxtailshunt.admission import Call
from foxtailshunt.errors import ResultCode
from foxtailshunt.fleet import FleetView, KeyRange, Member, OwnershipTable, Upstream
from foxtailshunt.http import SocketReader
from foxtailshunt.memory import ConnectionLimits, MemoryAccount, MemoryLimits
from foxtailshunt.protocol import ProtocolServer, RelayReply, RelayRequest
from foxtailshunt.protocol.gen import Peer
from foxtailshunt.relay import Forwarder, Outcome, UpstreamGroups
from foxtailshunt.telemetry import Metrics
from foxtailshunt.timing import MonotonicClock
from foxtailshunt.upstreams import LeavingUpstreams

_MAX_BODY_BYTES = 500_000
_REMAINING_S = 5.0


@given("a front server with memory for bodies of {size:d} bytes, whose upstreams hold requests")
def start(context: Context, size: int) -> None:
    context.front = FrontSubject(["slow"], max_body_bytes=_MAX_BODY_BYTES)
    context.front.server.memory = MemoryAccount(MemoryLimits(size))
    context.front.configure()
    context.add_cleanup(context.front.stop)


def _put(body: bytes) -> bytes:
    return b"PUT /wait/a1 HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body) + body


def _send(context: Context, data: bytes) -> RawCaller:
    caller = RawCaller(context)
    threading.Thread(target=caller.send, args=(data,), daemon=True).start()
    return caller


@when("{count:d} callers send bodies of {size:d} bytes each")
def send_bodies(context: Context, count: int, size: int) -> None:
    arrived = len(context.front.upstreams.calls)
    request = _put(b"a" * size).replace(b"PUT /wait", b"PUT /k")
    context.callers = [_send(context, request) for _ in range(count)]
    calls = context.front.upstreams.calls
    wait_until(lambda: len(calls) == arrived + count, f"{count} requests")


@when("another caller sends a body of {size:d} bytes {manner}")
def send_further(context: Context, size: int, manner: str) -> None:
    if manner == "in chunks":
        head = b"PUT /k/a2 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        data = head + encode_chunks(b"a" * size)
    else:
        data = _put(b"a" * size).replace(b"/wait", b"/k")
    context.caller = _send(context, data)


@then("the other caller gets status {status:d} and code {code:d} with a Retry-After time")
def check_refusal(context: Context, status: int, code: int) -> None:
    response: CallerResponse = context.caller.read_response()
    assert (response.status, response.code) == (status, code), response
    assert float(response.headers["retry-after"]) > 0
    assert b'"family": "not run"' in response.body, response.body


@then("{count:d} requests have reached the upstreams")
def check_arrived(context: Context, count: int) -> None:
    assert len(context.front.upstreams.calls) == count


@when("the upstreams respond")
def release(context: Context) -> None:
    context.front.upstreams.release.set()


@then("both callers get their responses")
def check_responses(context: Context) -> None:
    for caller in context.callers:
        assert caller.read_response().code == ResultCode.OK


@then("the node counts no more bytes of bodies")
def check_released(context: Context) -> None:
    memory = context.front.server.memory
    wait_until(lambda: memory.reserved == 0, "release of the bytes")


@then("a further body of {size:d} bytes is served")
def check_further(context: Context, size: int) -> None:
    assert context.front.request("PUT", "/k/a3", body=b"a" * size).code == ResultCode.OK


@when("a caller's body of {size:d} bytes {end}")
def send_incomplete(context: Context, size: int, end: str) -> None:
    caller = RawCaller(context)
    chunked = b"PUT /k/a1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    if end == "ends early":
        caller.send(_put(b"a" * size)[: size // 2])
        caller.sock.shutdown(socket.SHUT_WR)
    elif end == "has a malformed chunk":
        caller.send(chunked + encode_chunks(b"a" * size)[:-5] + b"zz\r\n\r\n")
    else:
        caller.send(chunked + encode_chunks(b"a" * (_MAX_BODY_BYTES + size)))
    assert caller.read_response().status in (400, 413)


class _PiecewiseSocket:
    """Receives small pieces only."""

    def __init__(self, piece_bytes: int) -> None:
        self._piece_bytes = piece_bytes

    def recv(self, size: int) -> bytes:
        return b"abcdefgh"[: min(size, self._piece_bytes)]


@when("a body of {size:d} bytes is received in pieces of {piece:d} bytes")
def receive_pieces(context: Context, size: int, piece: int) -> None:
    reader = SocketReader(_PiecewiseSocket(piece))
    context.body_size = size
    tracemalloc.start()
    try:
        assert len(reader.read(size)) == size
    finally:
        context.peak_memory = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()


@then("receiving it took at most three times its size")
def check_memory(context: Context) -> None:
    assert context.peak_memory <= 3 * context.body_size, context.peak_memory


class _RecordingSender:
    """Replaces the sender of a node."""

    def __init__(self) -> None:
        self.leaving = LeavingUpstreams()
        self.body_sizes: list[int] = []

    def execute(self, call: Call, caller: socket.socket | None) -> Outcome:
        self.body_sizes.append(len(call.body))
        return Outcome(ResultCode.OK, "sent")


class ForwardingSubject:
    """A node that forwards to another one, which sends to all upstreams."""

    def __init__(self) -> None:
        self.relayed_sizes: list[int] = []
        self.bad_frames = 0
        self.server = ProtocolServer(Peer, self, ("127.0.0.1", 0), self._count_bad_frame)
        self.server.start()
        address = self.server._listener.getsockname()
        me = Member("n1", "boot", "zone-a", ("127.0.0.1", 1))
        view = FleetView(MonotonicClock().now)
        view.begin_term(1)
        view.update_members(1, 1, (Member("n2", "boot", "zone-b", address),))
        upstream = Upstream("u1", "desk", ("127.0.0.1", 2), "zone-b", 2, False, 0.0, 0)
        view.update_upstreams(1, 1, {"u1": upstream}, 0.0)
        view.update_ownership(1, 1, OwnershipTable([KeyRange("desk", 0, 9, "u1", 1)]))
        self.sender = _RecordingSender()
        self.forwarder = Forwarder(me, view, UpstreamGroups(view), self.sender, Metrics())

    def relay(self, req: RelayRequest) -> RelayReply:
        self.relayed_sizes.append(len(req.body))
        return RelayReply(outcome=100, arrived=True)

    def serve(self, size: int) -> None:
        now = MonotonicClock().now()
        call = Call(
            request_id="r1",
            service="desk",
            key=1,
            upstream_id="u1",
            method="PUT",
            target="/k/1",
            headers=(),
            body=b"a" * size,
            deadline=now + _REMAINING_S,
            latency_objective_at=now + _REMAINING_S,
            rank=0,
            route="put",
            excluded=frozenset(),
        )
        assert self.forwarder.execute(call, None).code is ResultCode.OK

    def stop(self) -> None:
        self.forwarder.close()
        self.server.stop(WAIT_TIMEOUT_S)

    def _count_bad_frame(self) -> None:
        self.bad_frames += 1


@given("a node that forwards requests for key 1 to another node")
def start_forwarding(context: Context) -> None:
    context.forwarding = ForwardingSubject()
    context.add_cleanup(context.forwarding.stop)


@when("it serves a request with a body of {size:d} bytes")
def serve(context: Context, size: int) -> None:
    context.forwarding.serve(size)
    context.body_size = size


@then("the other node was called")
def check_relayed(context: Context) -> None:
    assert context.forwarding.relayed_sizes == [context.body_size]


@then("the node has sent it to the upstream itself")
def check_sent(context: Context) -> None:
    assert context.forwarding.sender.body_sizes == [context.body_size]
    assert context.forwarding.bad_frames == 0


@given("the server counts each connection after the first one")
def count_connections(context: Context) -> None:
    context.front.server.connection_limits = ConnectionLimits(total=10, uncounted=1)


@when("{count:d} callers connect one after the other")
def connect_callers(context: Context, count: int) -> None:
    context.sockets = []
    for _ in range(count):
        sock = socket.create_connection(context.front.address, WAIT_TIMEOUT_S)
        context.add_cleanup(sock.close)
        context.sockets.append(sock)


@then("{count:d} of them stay connected")
def check_connected(context: Context, count: int) -> None:
    for sock in context.sockets[count:]:
        assert sock.recv(1) == b""
    closed, _, _ = select.select(context.sockets[:count], [], [], 0.1)
    assert not closed, closed


@when("these callers close their connections")
def close_connections(context: Context) -> None:
    for sock in context.sockets:
        sock.close()


@then("no bytes are counted")
def check_nothing_counted(context: Context) -> None:
    memory = context.front.server.memory
    wait_until(lambda: memory.reserved == 0, "release of the connections")
