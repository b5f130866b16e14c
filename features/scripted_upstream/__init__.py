"""Upstream that answers each request with scripted bytes, and a sender in front of it."""

import itertools
import socket
import threading
import time
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import replace
from typing import Any

from foxtailshunt.admission import Call
from foxtailshunt.fleet import FleetView, KeyRange, Member, OwnershipTable, Upstream
from foxtailshunt.relay import Outcome, Sender, StopSchedule, UpstreamGroups
from foxtailshunt.telemetry import Metrics, RequestLog
from foxtailshunt.timing import MonotonicClock
from foxtailshunt.upstreams import LatencyEstimator, UpstreamHealth

_END_OF_HEAD = b"\r\n\r\n"
_RECEIVE_BYTES = 65_536

_CHUNK = b"x" * 16_384
_OK = b"HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\nResponse-Seal: seal\r\n"
_CHUNKED = _OK + b"Transfer-Encoding: chunked\r\n\r\n"
#: The beginning of each endless response, and what is repeated.
_ENDLESS = {
    "a status line": (b"HTTP/1.1 200 ", _CHUNK),
    "header lines": (_OK, b"X-Line: 1\r\n" * 1000),
    "one header line": (_OK + b"X-Line: ", _CHUNK),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1000),
    "a body without length": (_OK + b"\r\n", _CHUNK),
    "a body of 1 TB": (_OK + b"Content-Length: 1000000000000\r\n\r\n", _CHUNK),
    "chunks": (_CHUNKED, b"4000\r\n" + _CHUNK + b"\r\n"),
    "a chunk extension": (_CHUNKED + b"4;", _CHUNK),
    "a chunk of size -1": (_CHUNKED + b"-1\r\n", _CHUNK),
    "chunks of 1 byte": (_CHUNKED, b"1\r\nx\r\n" * 1000),
    "chunks of 2 bytes": (_CHUNKED, b"2\r\nxy\r\n" * 1000),
    "trailers": (_CHUNKED + b"4\r\nbody\r\n0\r\n", b"X-Trailer: 1\r\n" * 1000),
    "short trailers": (_CHUNKED + b"4\r\nbody\r\n0\r\n", b"X\n" * 1000),
}

#: Returns the parts of the response to a request, from its head, its number on the connection and
#: its number at the upstream; both count from 0.
Script = Callable[[bytes, int, int], Iterable[bytes]]


class ScriptedUpstream:
    """A TCP server that sends what a script returns.

    :param script: returns the parts of each response.
    :param closes: whether each connection is closed after a response.
    """

    def __init__(self, script: Script, closes: bool) -> None:
        self._script = script
        self._closes = closes
        self._lock = threading.Lock()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.requests: list[bytes] = []
        self.bytes_sent = 0
        self.connections = 0
        #: Set when a connection has ended because the other side closed it.
        self.was_closed = threading.Event()
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> tuple[str, int]:
        return self._listener.getsockname()

    def close(self) -> None:
        self._listener.close()

    def stop_listening(self) -> None:
        """Refuse connections from now on, as if the process had terminated."""
        self._address = self.address
        # Ends the call of the thread that accepts connections.
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def listen_again(self) -> None:
        """Accept connections at the same address, like the next process."""
        self._listener = socket.create_server(self._address)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        listener = self._listener
        while True:
            try:
                conn, _ = listener.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn: socket.socket) -> None:
        number = 0
        with conn:
            try:
                while (head := _read_request(conn)) is not None:
                    with self._lock:
                        total = len(self.requests)
                        self.requests.append(head)
                    for part in self._script(head, number, total):
                        conn.sendall(part)
                        self.bytes_sent += len(part)
                    number += 1
                    if self._closes:
                        return
            except OSError:
                pass
        self.was_closed.set()


def _read_request(conn: socket.socket) -> bytes | None:
    """Return the head of the next request after reading its body; None at the end."""
    data = b""
    while _END_OF_HEAD not in data:
        part = conn.recv(_RECEIVE_BYTES)
        if not part:
            return None
        data += part
    head, _, rest = data.partition(_END_OF_HEAD)
    length = int(header(head, b"content-length") or 0)
    while len(rest) < length:
        rest += conn.recv(_RECEIVE_BYTES)
    return head


def header(head: bytes, name: bytes) -> bytes | None:
    """Return the value of a header of a request head, or None."""
    for line in head.split(b"\r\n")[1:]:
        key, _, value = line.partition(b":")
        if key.lower() == name:
            return value.strip()
    return None


def answer(head: bytes) -> bytes:
    """Return a complete, sealed response to a request."""
    return (
        b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: seal\r\nContent-Length: 4\r\n\r\nbody"
        % (header(head, b"attempt-id") or b"")
    )


def scripted_answer(head: bytes, status: str, headers: str = "") -> bytes:
    """Return a complete response to a request with a status and additional headers.

    :param head: head of the request.
    :param status: status and reason.
    :param headers: header lines that are separated by commas; may be empty.
    """
    lines = [f"HTTP/1.1 {status}", f"Attempt-Id: {(header(head, b'attempt-id') or b'').decode()}"]
    lines += ["Response-Seal: seal", "Content-Length: 4"]
    lines += [part.strip() for part in headers.split(",") if part.strip()]
    return "\r\n".join([*lines, "", "body"]).encode()


def endless(part: str) -> Iterator[bytes]:
    """Return a response that does not end."""
    begin, repeated = _ENDLESS[part]
    return itertools.chain([begin], itertools.repeat(repeated))


def trickle(part: str) -> Iterator[bytes]:
    """Return a response that does not end and comes one byte at a time."""
    begin, repeated = _ENDLESS[part]
    yield begin
    while True:
        time.sleep(0.01)
        yield repeated[:1]


class SenderSubject:
    """A sender with the upstreams of one service.

    :param servers: the upstreams by id.
    :param slots: slots of each upstream.
    :param owner: the upstream that owns the key of all requests; None for a service without keys.
    :param options: additional arguments of the sender.
    """

    def __init__(
        self,
        servers: Mapping[str, ScriptedUpstream],
        slots: int = 2,
        owner: str | None = None,
        **options: Any,
    ) -> None:
        self._owner = owner
        now = MonotonicClock().now
        self._now = now
        self._view = FleetView(now)
        self._upstreams = {
            name: Upstream(name, "counter", server.address, "zone", slots, False, 0.0, 0)
            for name, server in servers.items()
        }
        self._version = 0
        self._view.begin_term(1)
        self._publish()
        if owner is not None:
            keys = KeyRange("counter", 0, 9, owner, 1)
            self._view.update_ownership(1, 1, OwnershipTable([keys]))
        me = Member("n1", "boot", "zone", ("127.0.0.1", 1))
        self.stop_schedule = StopSchedule()
        self.latencies = LatencyEstimator()
        self.metrics = Metrics()
        self._sender = Sender(
            self._view,
            UpstreamGroups(self._view),
            self.latencies,
            me,
            self.metrics,
            RequestLog(),
            self.stop_schedule,
            **options,
        )

    @property
    def upstreams(self) -> dict[str, Upstream]:
        return dict(self._upstreams)

    def _publish(self) -> None:
        self._version += 1
        self._view.update_upstreams(1, self._version, dict(self._upstreams), 0.0)

    def set_leaving(self, name: str) -> None:
        """Let an upstream begin to leave."""
        self._upstreams[name] = replace(self._upstreams[name], leaving=True)
        self._publish()

    def set_restarted(self, name: str) -> None:
        """Let the next process of an upstream register at the same address."""
        previous = self._upstreams[name]
        self._upstreams[name] = replace(previous, started_ms=previous.started_ms + 1)
        self._publish()

    def set_zone(self, name: str, zone: str) -> None:
        """Put an upstream into another zone."""
        self._upstreams[name] = replace(self._upstreams[name], zone=zone)
        self._publish()

    def evacuate(self, *zones: str) -> None:
        """Let exactly these zones be evacuated."""
        revision = self._view.versions.evacuations + 1
        self._view.update_evacuations(revision, frozenset(zones))

    def load(self) -> tuple[int, int]:
        """Return the numbers of queued requests and of those at upstreams."""
        return self._sender.load()

    def upstream_health(self) -> dict[str, UpstreamHealth]:
        """Return the health of the upstreams by service."""
        return self._sender.upstream_health()

    def send(
        self,
        request_id: str,
        timeout_s: float,
        excluded: frozenset[str] = frozenset(),
        origin: str = "",
        caller_timeout_s: float | None = None,
    ) -> Outcome:
        """Send a request and return its outcome."""
        deadline = self._now() + timeout_s
        call = Call(
            request_id=request_id,
            service="counter",
            key=None if self._owner is None else 7,
            upstream_id=self._owner,
            method="POST",
            target="/issue/x",
            headers=(("Attempt-Id", request_id),),
            body=b"x",
            deadline=deadline,
            latency_objective_at=deadline,
            rank=0,
            route="issue",
            excluded=excluded,
            origin=origin,
            caller_deadline=None if caller_timeout_s is None else self._now() + caller_timeout_s,
        )
        return self._sender.execute(call, None)


def json_response(body: bytes) -> bytes:
    """Return a response with status 200.

    :param body: its body.
    """
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


class RepeatingRefusal:
    """Refuses the first call, and writes the refusal again before the next response.

    :param refusal: status and reason of the refusal.
    """

    def __init__(self, refusal: str) -> None:
        self._refusal = f"HTTP/1.1 {refusal}\r\nContent-Length: 2\r\n\r\n{{}}".encode()

    def __call__(self, head: bytes, number: int, total: int) -> Iterator[bytes]:
        if total == 0:
            yield self._refusal
            return
        yield (self._refusal if number > 0 else b"") + json_response(b'{"revision":7}')
