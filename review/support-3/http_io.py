"""Small HTTP/1.1 server and client on asyncio, for the stand-ins of the review."""

import asyncio
import socket
import struct
from dataclasses import dataclass, field

RESET = struct.pack("ii", 1, 0)


@dataclass
class Request:
    """A request that a stand-in got."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    host: str
    target: str


@dataclass
class Response:
    """An answer of a stand-in; ``fault`` replaces it: ``lose``, ``reset``."""

    status: int
    body: bytes = b""
    headers: list[tuple[str, str]] = field(default_factory=list)
    fault: str = ""


class Server:
    """Serves requests one after the other on each connection.

    :param handle: coroutine function from a request to its answer.
    """

    def __init__(self, handle):
        self._handle = handle
        self._server = None
        self._writers = {}
        self._tasks = set()
        self.address = None

    async def start(self, host, port):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
        self._server = await asyncio.start_server(self._serve, sock=sock, backlog=512)
        self.address = sock.getsockname()

    def connections(self, host=None):
        return sum(1 for peer in self._writers.values() if host in (None, peer))

    def reset(self, host=None):
        """Reset the connections of one client address, or all; return their number."""
        chosen = [w for w, peer in self._writers.items() if host in (None, peer)]
        for writer in chosen:
            abort(writer)
        return len(chosen)

    async def stop(self):
        if self._server is not None:
            self._server.close()
            self._server = None
        self.reset()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        peer = writer.get_extra_info("peername")[0]
        self._writers[writer] = peer
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                req = await _read_request(reader, peer)
                if req is None:
                    break
                resp = await self._handle(req)
                if resp.fault == "lose":
                    # Nothing more comes on this connection, which stays open.
                    while await reader.read(65536):
                        pass
                    break
                if resp.fault == "reset":
                    abort(writer)
                    return
                lines = [f"HTTP/1.1 {resp.status} X"]
                lines += [f"{name}: {value}" for name, value in resp.headers]
                lines.append(f"Content-Length: {len(resp.body)}")
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + resp.body)
                await writer.drain()
                if any(n.lower() == "connection" and v == "close" for n, v in resp.headers):
                    break
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self._writers.pop(writer, None)
            self._tasks.discard(task)
            writer.close()


def abort(writer):
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    except OSError:
        pass
    writer.transport.abort()


async def _read_request(reader, peer):
    from urllib.parse import parse_qsl

    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    path, _, query = target.partition("?")
    return Request(method, path, dict(parse_qsl(query)), headers, body, peer, target)


class ClientConnection:
    """A client's connection; ``request`` returns status, headers and body."""

    def __init__(self):
        self.reader = self.writer = None

    async def open(self, address, source=None, timeout_s=1.0):
        local = (source, 0) if source else None
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(*address, local_addr=local), timeout_s
        )

    async def send(self, method, target, headers, body=b""):
        lines = [f"{method} {target} HTTP/1.1"] + [f"{n}: {v}" for n, v in headers]
        if body or method not in ("GET", "DELETE"):
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await self.writer.drain()

    async def receive(self):
        head = await self.reader.readuntil(b"\r\n\r\n")
        first, *lines = head[:-4].decode("latin-1").split("\r\n")
        status = int(first.split(" ")[1])
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = await self.reader.readexactly(int(headers.get("content-length", "0")))
        return status, headers, body

    def close(self):
        if self.writer is not None:
            self.writer.close()
