"""A small HTTP/1.1 server and client on raw sockets, for the stand-ins of the review."""

import itertools
import select
import socket
import struct
import threading
import time
from dataclasses import dataclass

SEND_BYTES = 65_536
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_attempt_numbers = itertools.count(1)


@dataclass
class Request:
    """A request as it was received."""

    method: str
    target: str
    headers: dict
    body: bytes
    peer_host: str
    sock: socket.socket


class Closed(Exception):
    """The connection ended before a message was complete."""


def reset(sock):
    """Close a connection with a reset, which discards unsent data."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    except OSError:
        pass
    sock.close()


def read_message(stream):
    """Return the first line, the headers (lower case) and the body of a message.

    A body without a length ends with the connection.
    """
    line = stream.readline(65_536)
    if not line.endswith(b"\n"):
        raise Closed
    headers = {}
    while True:
        row = stream.readline(65_536)
        if not row.endswith(b"\n"):
            raise Closed
        if row == b"\r\n":
            break
        name, _, value = row.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    first = line.decode("latin-1").strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int(stream.readline(1024).split(b";")[0] or b"0", 16)
            body += read_exactly(stream, size)
            stream.readline(1024)
            if size == 0:
                break
    elif "content-length" in headers:
        body = read_exactly(stream, int(headers["content-length"]))
    elif first.startswith("HTTP/") and first.split()[1] not in ("204", "304"):
        body = stream.read()
    else:
        body = b""
    return first, headers, body


def read_exactly(stream, size):
    """Return a number of bytes."""
    data = stream.read(size)
    if len(data) < size:
        raise Closed
    return data


def response_bytes(status, headers=(), body=b"", length=True):
    """Return the bytes of a response."""
    lines = [f"HTTP/1.1 {status} Status"] + [f"{name}: {value}" for name, value in headers]
    if length:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def is_closed(sock):
    """Return whether the peer has closed or reset a connection."""
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return bool(poll.poll(0))


class Server:
    """Accepts connections on one address; ``serve(request)`` returns bytes, or None to close."""

    def __init__(self, address, serve, keep_silent=lambda host: False):
        self._serve = serve
        self._keep_silent = keep_silent
        self._listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind(address)
        self._listener.listen(512)
        self.address = self._listener.getsockname()
        self._lock = threading.Lock()
        self.sockets = set()
        self._is_open = True
        self._is_unreachable = False
        self._queued = []
        threading.Thread(target=self._accept, daemon=True).start()

    def become_unreachable(self):
        """Leave new connections unanswered, as a machine without power or behind a cut does.

        The queue of new connections is filled, so that the kernel drops the opening packets.
        """
        self._is_unreachable = True
        time.sleep(0.03)
        self._listener.listen(0)
        for _ in range(4):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(self.address)
            self._queued.append(sock)

    def become_reachable(self):
        """Accept new connections again."""
        for sock in self._queued:
            reset(sock)
        self._queued.clear()
        self._listener.listen(512)
        self._is_unreachable = False

    def close(self, with_reset=True):
        """Stop listening, and reset or close all connections."""
        self._is_open = False
        for sock in self._queued:
            reset(sock)
        try:
            self._listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self._listener.close()
        with self._lock:
            sockets = list(self.sockets)
        for sock in sockets:
            if with_reset:
                try:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                except OSError:
                    pass
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def _accept(self):
        while self._is_open:
            try:
                if self._is_unreachable:
                    time.sleep(0.005)
                    continue
                if not select.select([self._listener], [], [], 0.02)[0] or self._is_unreachable:
                    continue
                sock, (host, _) = self._listener.accept()
            except (OSError, ValueError):
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self._lock:
                self.sockets.add(sock)
            threading.Thread(target=self._run, args=(sock, host), daemon=True).start()

    def _run(self, sock, host):
        stream = sock.makefile("rb")
        try:
            while self._is_open:
                first, headers, body = read_message(stream)
                method, target, _ = first.split(" ", 2)
                if self._keep_silent(host):
                    self._discard(sock, host)
                    return
                reply = self._serve(Request(method, target, headers, body, host, sock))
                if reply is None:
                    return
                if self._keep_silent(host):
                    self._discard(sock, host)
                    return
                sock.sendall(reply)
        except (OSError, Closed, ValueError):
            return
        finally:
            with self._lock:
                self.sockets.discard(sock)
            try:
                stream.close()
            except OSError:
                pass
            reset(sock)

    def _discard(self, sock, host):
        """Discard what arrives on a cut path; nothing of it takes effect after the cut."""
        while self._is_open and self._keep_silent(host):
            if select.select([sock], [], [], 0.05)[0] and not sock.recv(65_536):
                return


def new_attempt_id():
    """Return the id of a new client attempt."""
    return f"a{next(_attempt_numbers):08d}"


class ClientConnection:
    """A client's kept connection."""

    def __init__(self, address, timeout_s):
        self.sock = socket.create_connection(address, 1.0)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock.settimeout(timeout_s)
        self.stream = self.sock.makefile("rb")

    def exchange(self, method, target, headers, body=b"", bytes_per_s=None, one_chunk=False):
        """Send a request and return the status, headers and body of its response."""
        lines = [f"{method} {target} HTTP/1.1"] + [f"{n}: {v}" for n, v in headers.items()]
        if one_chunk:
            lines.append("Transfer-Encoding: chunked")
        elif body or method not in ("GET", "DELETE"):
            lines.append(f"Content-Length: {len(body)}")
        head = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
        if one_chunk:
            head += b"%x\r\n" % len(body)
        if bytes_per_s is None:
            self.sock.sendall(head + body)
        else:
            self.sock.sendall(head)
            self._send_slowly(body, bytes_per_s)
        if one_chunk:
            self.sock.sendall(b"\r\n0\r\n\r\n")
        first, got, data = read_message(self.stream)
        return int(first.split()[1]), got, data

    def _send_slowly(self, body, bytes_per_s):
        began = time.monotonic()
        for start in range(0, len(body), SEND_BYTES):
            self.sock.sendall(body[start : start + SEND_BYTES])
            early_s = start / bytes_per_s - (time.monotonic() - began)
            if early_s > 0:
                time.sleep(early_s)

    def close(self):
        """Close the connection."""
        try:
            self.stream.close()
        except OSError:
            pass
        self.sock.close()
