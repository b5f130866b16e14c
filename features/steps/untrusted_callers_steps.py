"""Steps for callers that send unfinished bodies and read slowly."""

import re
import socket
import threading
import uuid
from collections.abc import Callable
from pathlib import Path
from typing import Any

from behave import given, then, when
from behave.runner import Context

from features.node_support import NodeFleet
from standins.fleet import NodeProcess

_MAX_BODY_BYTES = 67_108_864
_LONG_RESPONSE_BYTES = 3_000_000
_SMALL_BUFFER_BYTES = 4096
#: Longest wait of a caller in a single send, in seconds; the crowd ends by itself.
_SEND_TIMEOUT_S = 3.0
_CALLERS_TIMEOUT_S = 60.0
_EXIT_TIMEOUT_S = 20.0
_TINY_CHUNKS = 60_000


class Crowd:
    """Callers that each send bytes on a connection of their own and keep it open."""

    def __init__(self, context: Context) -> None:
        self._fleet: NodeFleet = context.untrusted
        self._sockets: list[socket.socket] = []
        self._threads: list[threading.Thread] = []
        context.add_cleanup(self.close)

    def add(
        self, node: NodeProcess, send: Callable[[socket.socket], None], receive_bytes: int = 0
    ) -> None:
        sock = socket.socket()
        if receive_bytes:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        sock.settimeout(_SEND_TIMEOUT_S)
        self._sockets.append(sock)
        thread = threading.Thread(target=self._run, args=(sock, node, send), daemon=True)
        self._threads.append(thread)
        thread.start()

    def wait_until_sent(self) -> None:
        for thread in self._threads:
            thread.join(_CALLERS_TIMEOUT_S)
            assert not thread.is_alive(), "a caller is still sending"

    def close(self) -> None:
        for sock in self._sockets:
            sock.close()

    @staticmethod
    def _run(sock: socket.socket, node: NodeProcess, send: Callable[[socket.socket], None]) -> None:
        try:
            sock.connect(node.callers)
            send(sock)
        except OSError:
            # The node may refuse a caller of the crowd and close the connection.
            pass


def _head(method: str, framing: str, key: int = 1) -> bytes:
    return (
        f"{method} /desk/x HTTP/1.1\r\nHost: callers.example\r\nAttempt-Id: {uuid.uuid4().hex[:16]}"
        f"\r\nDeadline-Ms: 8000\r\nShard-Key: {key}\r\n{framing}\r\n"
    ).encode()


def _start(context: Context, count: int, **settings: Any) -> None:
    fleet = context.untrusted = NodeFleet()
    context.add_cleanup(fleet.close)
    long_bytes = _LONG_RESPONSE_BYTES if settings.pop("long", False) else 0
    fleet.add_owner("u1", "desk", slots=20, work_s=0.3, response_bytes=long_bytes)
    fleet.add_owner("u2", "plain", keyed=False, slots=4)
    fleet.configure(
        {
            "desk": {"service": "desk", "timeout": "8000ms"},
            "plain": {"service": "plain", "route_type": "safe", "timeout": "8000ms"},
        },
        {"desk": True, "plain": False},
        max_body_bytes=_MAX_BODY_BYTES,
    )
    for n in range(count):
        fleet.add_node(f"n{n}", **settings)
    fleet.wait_until_serving()


@given("a fleet of {count:d} nodes for untrusted callers")
def start_fleet(context: Context, count: int) -> None:
    _start(context, count)


@given("a fleet of {count:d} nodes for untrusted callers, with long responses")
def start_long(context: Context, count: int) -> None:
    _start(context, count, long=True)


@given(
    "a fleet of {count:d} nodes for untrusted callers,"
    " with the settings memory_mb {memory_mb:d} and max_fds {max_fds:d}"
)
def start_limited(context: Context, count: int, memory_mb: int, max_fds: int) -> None:
    _start(context, count, memory_mb=memory_mb, max_fds=max_fds)


def _send_to_all(
    context: Context, count: int, send: Callable[[socket.socket], None], **options: Any
) -> None:
    crowd = Crowd(context)
    nodes = list(context.untrusted.nodes.values())
    for n in range(count):
        crowd.add(nodes[n % len(nodes)], send, **options)
    crowd.wait_until_sent()


@when("callers send {count:d} bodies in chunks of {size:d} bytes, and keep their connections open")
def send_large_chunks(context: Context, count: int, size: int) -> None:
    chunk = b"%x\r\n" % size + b"a" * size + b"\r\n"

    def send(sock: socket.socket) -> None:
        sock.sendall(_head("POST", "Transfer-Encoding: chunked\r\n"))
        sock.sendall(chunk)
        sock.sendall(chunk[:-3])

    _send_to_all(context, count, send)


@when("callers send {count:d} bodies in chunks of 1 byte, and keep their connections open")
def send_tiny_chunks(context: Context, count: int) -> None:
    def send(sock: socket.socket) -> None:
        sock.sendall(_head("POST", "Transfer-Encoding: chunked\r\n"))
        sock.sendall(b"1\r\na\r\n" * _TINY_CHUNKS)

    _send_to_all(context, count, send)


@when(
    "callers send {count:d} bodies of one chunk of {size:d} bytes each,"
    " and keep their connections open"
)
def send_single_chunks(context: Context, count: int, size: int) -> None:
    body = b"a" * (size - 1)

    def send(sock: socket.socket) -> None:
        sock.sendall(_head("POST", "Transfer-Encoding: chunked\r\n") + b"%x\r\n" % size)
        sock.sendall(body)

    _send_to_all(context, count, send)


@when("{count:d} callers request a long response and do not read it")
def request_long(context: Context, count: int) -> None:
    def send(sock: socket.socket) -> None:
        sock.sendall(_head("GET", ""))
        # Returns when the response has begun, or the node has closed the connection.
        sock.settimeout(_EXIT_TIMEOUT_S)
        sock.recv(1)

    _send_to_all(context, count, send, receive_bytes=_SMALL_BUFFER_BYTES)


@when("{count:d} callers upload {size:d} bytes each for one key, spread over the nodes")
def upload(context: Context, count: int, size: int) -> None:
    body = b"a" * size

    def send(sock: socket.socket) -> None:
        sock.sendall(_head("POST", f"Content-Length: {size}\r\n"))
        sock.sendall(body)
        sock.settimeout(_EXIT_TIMEOUT_S)
        sock.recv(1)

    _send_to_all(context, count, send)


@when("{count:d} callers connect and send a part of a request")
def connect_many(context: Context, count: int) -> None:
    _send_to_all(context, count, lambda sock: sock.sendall(_head("GET", "")[:-6]))


@when("one caller sends a body of {size:d} bytes with a length")
def send_largest(context: Context, size: int) -> None:
    fleet = context.untrusted
    context.answer = fleet.request("n0", "/desk/x", 1, "POST", b"a" * size, deadline_ms=8000)


@then("it is served")
def check_served(context: Context) -> None:
    assert context.answer.status == 200, context.answer


@then("the memory of each node stays below {limit:d} MB")
def check_memory(context: Context, limit: int) -> None:
    peaks = {}
    for node in context.untrusted.nodes.values():
        assert node.process.running, f"{node.name} has ended"
        status = Path(f"/proc/{node.process.pid}/status").read_text(encoding="ascii")
        matched = re.search(r"VmHWM:\s+(\d+) kB", status)
        assert matched is not None, status
        peaks[node.name] = int(matched[1]) // 1024
    assert max(peaks.values()) < limit, peaks


@then("each node has fewer than {limit:d} descriptors open")
def check_descriptors(context: Context, limit: int) -> None:
    for node in context.untrusted.nodes.values():
        count = len(list(Path(f"/proc/{node.process.pid}/fd").iterdir()))
        assert count < limit, f"{node.name} has {count}"


@then("an ordinary request to each node is served")
def check_ordinary(context: Context) -> None:
    fleet = context.untrusted
    for name, node in fleet.nodes.items():
        fleet.wait_until(
            lambda name=name: fleet.request(name, "/plain/x").status == 200,
            f"a response of {name}",
        )
        assert node.process.running


@when("each node gets SIGTERM while it is suspended, and is resumed")
def terminate_suspended(context: Context) -> None:
    for node in context.untrusted.nodes.values():
        node.process.freeze()
        node.process.terminate()
        node.process.resume()


@then("each node exits with code {code:d}")
def check_exit_codes(context: Context, code: int) -> None:
    for node in context.untrusted.nodes.values():
        assert node.process.wait(_EXIT_TIMEOUT_S) == code
