"""Steps for the lifetime of connections between nodes."""

import threading
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from behave.runner import Context

from features.front_support import wait_until
from features.protocol_support import make_relay_request
from foxtailshunt.protocol import ClientPool, ProtocolServer, RelayReply, RelayRequest
from foxtailshunt.protocol.gen import Peer

_TIMEOUT_S = 20.0
_REPLY = RelayReply(outcome=100, arrived=True)


class _GatheringHandler:
    """Replies to calls when as many are in progress as expected."""

    def __init__(self) -> None:
        self._barrier: threading.Barrier | None = None

    def expect(self, count: int) -> None:
        self._barrier = threading.Barrier(count) if count > 1 else None

    def relay(self, req: RelayRequest) -> RelayReply:
        if self._barrier is not None:
            self._barrier.wait(_TIMEOUT_S)
        return _REPLY


class PeerConnectionsSubject:
    """A server of the peer protocol and the connection pool of another node."""

    def __init__(self) -> None:
        self.handler = _GatheringHandler()
        self.bad_frames = 0
        self.server = ProtocolServer(Peer, self.handler, ("127.0.0.1", 0), self._count_bad_frame)
        self.server.start()
        self.address = self.server._listener.getsockname()
        self.pool = ClientPool(Peer, 16)
        self.ports: set[int] = set()
        self.successes = 0

    def call(self) -> None:
        assert self.pool.call(self.address, "relay", make_relay_request(), _TIMEOUT_S) == _REPLY
        self.successes += 1

    def call_concurrently(self, count: int) -> None:
        self.handler.expect(count)
        with ThreadPoolExecutor(count) as executor:
            for fut in [executor.submit(self.call) for _ in range(count)]:
                fut.result(_TIMEOUT_S)
        with self.server._lock:
            self.ports |= {conn.getpeername()[1] for conn in self.server._connections}

    def connection_count(self) -> tuple[int, int]:
        """Return the numbers of connections and of their threads."""
        with self.server._lock:
            connections = len(self.server._connections)
        threads = sum(thread.name == "peer" for thread in threading.enumerate())
        return connections, threads

    def stop(self) -> None:
        self.pool.close()
        self.server.stop(_TIMEOUT_S)

    def _count_bad_frame(self) -> None:
        self.bad_frames += 1


@given("a node that serves calls of other nodes")
def start(context: Context) -> None:
    context.peers = PeerConnectionsSubject()
    context.add_cleanup(context.peers.stop)


@when("another node makes {count:d} concurrent calls and then none")
def call_concurrently(context: Context, count: int) -> None:
    context.peers.call_concurrently(count)


@when("the idle connections of the other node reach their limit")
def close_all_idle(context: Context) -> None:
    limit_s = 0.05
    time.sleep(2 * limit_s)
    context.peers.pool.close_idle(limit_s)


@when("the other node closes connections that were idle for {limit:d} s")
def close_idle(context: Context, limit: int) -> None:
    context.peers.pool.close_idle(float(limit))


@then("the node has {count:d} connections with a thread each")
def check_connections(context: Context, count: int) -> None:
    peers = context.peers
    wait_until(lambda: peers.connection_count() == (count, count), f"{count} connections")


@then("the node has accepted {count:d} connections")
def check_accepted(context: Context, count: int) -> None:
    assert len(context.peers.ports) == count, context.peers.ports


@when("another node makes {count:d} calls while its idle connections are closed all the time")
def call_while_closing(context: Context, count: int) -> None:
    peers = context.peers
    peers.handler.expect(1)
    stopping = threading.Event()

    def close_all() -> None:
        while not stopping.is_set():
            peers.pool.close_idle(0.0)

    closer = threading.Thread(target=close_all)
    closer.start()
    try:
        for _ in range(count):
            peers.call()
    finally:
        stopping.set()
        closer.join()


@then("all {count:d} calls have succeeded")
def check_successes(context: Context, count: int) -> None:
    assert context.peers.successes == count
    assert context.peers.bad_frames == 0
