"""HTTP server based on cheroot whose handlers can drop, truncate or withhold responses."""

import select
import socket
import struct
import threading
from collections.abc import Callable
from functools import singledispatch
from http.client import responses

from cheroot.server import Gateway, HTTPRequest, HTTPServer

from standins.http._request import Request
from standins.http._responses import (
    CompleteResponse,
    ConnectionClosed,
    Response,
    ResponseWithExtra,
    ResponseWithoutLength,
    TruncatedResponse,
    WithheldResponse,
)

#: Called on the connection's worker thread for each request.
Handler = Callable[[Request], Response]

_IDLE_TIMEOUT_S = 300
_LISTEN_BACKLOG = 512
_MAX_HEADER_BYTES = 65_536
_PRUNE_INTERVAL_SOCKETS = 32
#: SO_LINGER with l_onoff = 1 and l_linger = 0, so that close() resets the connection.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class HttpServer:
    """HTTP/1.1 server with keep-alive.

    :param address: host and port; port 0 selects a free port.
    :param handler: returns the response to a request; called from several threads.
    :param threads: number of worker threads, which limits the concurrent requests.
    """

    def __init__(self, address: tuple[str, int], handler: Handler, threads: int) -> None:
        self._withheld = _WithheldConnections()
        self._server = HTTPServer(address, _gateway_class(handler, self._withheld), threads)
        self._server.timeout = _IDLE_TIMEOUT_S
        self._server.request_queue_size = _LISTEN_BACKLOG
        self._server.max_request_header_size = _MAX_HEADER_BYTES
        self._server.keep_alive_conn_limit = None
        self._server.prepare()
        self._thread = threading.Thread(target=self._server.serve, name="http", daemon=True)

    @property
    def address(self) -> tuple[str, int]:
        """Return the host and port that the server listens on."""
        host, port = self._server.bind_addr[:2]
        return host, port

    def start(self) -> None:
        """Start serving on separate threads."""
        self._thread.start()

    def stop(self) -> None:
        """Stop accepting, finish the requests in progress and close all connections."""
        self._server.stop()
        self._thread.join()
        self._withheld.reset_all()

    def reset_withheld(self) -> None:
        """Reset the connections that a :class:`WithheldResponse` left open."""
        self._withheld.reset_all()


class _WithheldConnections:
    """Open sockets whose response is withheld."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._sockets: list[socket.socket] = []

    def add(self, sock: socket.socket) -> None:
        with self._lock:
            self._sockets.append(sock)
            if len(self._sockets) % _PRUNE_INTERVAL_SOCKETS == 0:
                self._prune()

    def reset_all(self) -> None:
        with self._lock:
            sockets = self._sockets
            self._sockets = []
        for sock in sockets:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
            sock.close()

    def _prune(self) -> None:
        poll = select.poll()
        for sock in self._sockets:
            poll.register(sock, select.POLLRDHUP)
        closed = {number for number, _ in poll.poll(0)}
        for sock in self._sockets:
            if sock.fileno() in closed:
                sock.close()
        self._sockets = [sock for sock in self._sockets if sock.fileno() >= 0]


def _gateway_class(handler: Handler, withheld: _WithheldConnections) -> type[Gateway]:
    class HandlerGateway(Gateway):
        def respond(self) -> None:
            req = self.req
            response = handler(_read_request(req))
            req.sent_headers = True
            _send(response, req, withheld)

    return HandlerGateway


def _read_request(req: HTTPRequest) -> Request:
    headers = {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in req.inheaders.items()
    }
    return Request(
        method=req.method.decode("latin-1"),
        path=req.path.decode(),
        query=req.qs.decode("latin-1"),
        headers=headers,
        body=req.rfile.read(),
        caller_ip=req.conn.remote_addr,
    )


@singledispatch
def _send(response: Response, req: HTTPRequest, withheld: _WithheldConnections) -> None:
    raise TypeError(f"unsupported response type {type(response).__name__}")


@_send.register
def _(response: CompleteResponse, req: HTTPRequest, withheld: _WithheldConnections) -> None:
    req.conn.wfile.write(_head(response, req.close_connection) + response.body)


@_send.register
def _(response: TruncatedResponse, req: HTTPRequest, withheld: _WithheldConnections) -> None:
    body = response.complete.body
    req.close_connection = True
    req.conn.wfile.write(_head(response.complete, False) + body[: len(body) // 2])


@_send.register
def _(response: ConnectionClosed, req: HTTPRequest, withheld: _WithheldConnections) -> None:
    req.close_connection = True


@_send.register
def _(response: WithheldResponse, req: HTTPRequest, withheld: _WithheldConnections) -> None:
    req.close_connection = True
    req.conn.linger = True
    withheld.add(req.conn.socket)


@_send.register
def _(response: ResponseWithExtra, req: HTTPRequest, withheld: _WithheldConnections) -> None:
    first, extra = response.first, response.extra
    both = _head(first, False) + first.body + _head(extra, False) + extra.body
    req.conn.wfile.write(both)


@_send.register
def _(response: ResponseWithoutLength, req: HTTPRequest, withheld: _WithheldConnections) -> None:
    req.close_connection = True
    lines = [line for line in _head(response.complete, True).split(b"\r\n") if line]
    head = [line for line in lines if not line.startswith(b"Content-Length")]
    req.conn.wfile.write(b"\r\n".join(head) + b"\r\n\r\n" + response.complete.body)


def _head(response: CompleteResponse, close: bool) -> bytes:
    lines = [f"HTTP/1.1 {response.status} {responses.get(response.status, 'Unknown')}"]
    lines += [f"{name}: {value}" for name, value in response.headers]
    lines.append(f"Content-Length: {len(response.body)}")
    if close:
        lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
