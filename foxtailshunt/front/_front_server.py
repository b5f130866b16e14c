"""HTTP server for callers, with one thread per connection."""

import http.client
import os
import select
import socket
import threading
import time
import traceback as traceback_module
from collections.abc import Callable

from cheroot.errors import MaxSizeExceeded
from cheroot.server import Gateway, HTTPConnection

from foxtailshunt.callers import Reply
from foxtailshunt.fleet import Address
from foxtailshunt.front._lingering_close import discard_until_closed
from foxtailshunt.front._request_handler import RequestHandler
from foxtailshunt.http import StrictHttpRequest, make_socket_file
from foxtailshunt.routing import FrontLimits
from foxtailshunt.telemetry import EarlyBindingServer, Metrics, log_state_change

#: Timeout for writing a response, in seconds.
WRITE_TIMEOUT_S = 5.0
#: Maximum number of connections; each has a thread of about 60 KB.
MAX_CONNECTIONS = 1500
#: Time that a connection accepted while draining may take to start its request, in seconds.
FIRST_REQUEST_TIMEOUT_S = 1.0
#: Interval between checks for open connections while draining, in seconds.
DRAIN_POLL_INTERVAL_S = 0.02

_BACKLOG = 512
_ACCEPT_TIMEOUT_S = 0.1
_NO_BODY_STATUSES = (204, 304)


class _FrontRequest(StrictHttpRequest):
    """Request that responds to malformed input through the handler and closes the connection."""

    def simple_response(self, status: str, msg: str = "") -> None:
        """Respond to a malformed request.

        :param status: HTTP status with its reason phrase.
        :param msg: explanation for the caller, one sentence.
        """
        self.close_connection = True
        if status.startswith("413") and not self.ready and "headers" in msg:
            status = "431 Request Header Fields Too Large"
        self.server.count_rejected(status[:3])
        reply = self.server.handler.reject(int(status[:3]), msg or status)
        self.conn.wfile.write(_format_reply(reply, self))
        self.conn.is_rejected = True
        self.sent_headers = True


class _FrontConnection(HTTPConnection):
    RequestHandlerClass = _FrontRequest

    def __init__(self, server: "FrontServer", sock: socket.socket) -> None:
        super().__init__(server, sock, make_socket_file)
        #: True after the first request was served.
        self.has_served = False
        #: True after a request was rejected, part of which may be unread.
        self.is_rejected = False


class _FrontGateway(Gateway):
    """Reads a request with its body, passes it to the handler and writes the reply at once."""

    def respond(self) -> None:
        """Serve the request of the connection."""
        req = self.req
        body = self._read_body()
        if body is None:
            return
        req.conn.socket.settimeout(WRITE_TIMEOUT_S)
        headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in req.inheaders.items()
        )
        reply = req.server.handler.handle(
            req.method.decode("latin-1"),
            req.uri.decode("latin-1"),
            headers,
            body,
            req.conn.socket,
        )
        if reply.status == 0:
            req.close_connection = True
            req.sent_headers = True
            return
        if req.server.is_draining:
            req.close_connection = True
        req.sent_headers = True
        req.conn.wfile.write(_format_reply(reply, req))

    def _read_body(self) -> bytes | None:
        """Return the whole body, or None if the request was refused."""
        req = self.req
        try:
            body = req.rfile.read()
            if req.chunked_read:
                for _ in req.rfile.read_trailer_lines():
                    pass
        except ValueError:
            req.simple_response("400 Bad Request", "The chunked body is malformed.")
            return None
        except TimeoutError:
            req.simple_response("408 Request Timeout", "The body did not arrive in time.")
            return None
        except (MaxSizeExceeded, OSError) as exc:
            # cheroot raises an OSError without an errno for a chunk that is too large.
            if isinstance(exc, OSError) and exc.errno is not None:
                raise
            req.simple_response("413 Content Too Large", "The body is too large.")
            return None
        if not req.chunked_read and len(body) != int(req.inheaders.get(b"Content-Length", 0)):
            req.simple_response("400 Bad Request", "The body ended early.")
            return None
        return body


class FrontServer(EarlyBindingServer):
    """Accepts connections of callers and serves their requests.

    :param address: host and port.
    :param handler: serves requests.
    :param limits: returns the current limits.
    :param metrics: counters.
    :raises FoxtailshuntError: with ``ADDRESS_IN_USE`` if the address cannot be bound.
    """

    def __init__(
        self,
        address: Address,
        handler: RequestHandler,
        limits: Callable[[], FrontLimits],
        metrics: Metrics,
    ) -> None:
        super().__init__(address, _FrontGateway, minthreads=1)
        self.handler = handler
        self.is_draining = False
        self._limits = limits
        self._metrics = metrics
        self._lock = threading.Lock()
        self._connections: set[_FrontConnection] = set()
        self._stopping = threading.Event()
        self._drain_read_end, self._drain_write_end = os.pipe()
        self.bind_listener()
        self._thread = threading.Thread(target=self._accept_loop, name="front", daemon=True)

    def start_serving(self) -> None:
        """Start to listen and to accept connections."""
        assert self._bound_socket is not None
        self._bound_socket.listen(_BACKLOG)
        self._thread.start()

    def drain(self) -> None:
        """Close idle connections now and others after their response; still accept new ones."""
        self.is_draining = True
        # Closing the write end wakes all threads that poll the read end.
        os.close(self._drain_write_end)

    def wait_until_idle(self, deadline: float) -> int:
        """Wait until all connections have ended and return the number of those left.

        A connection that waits for its first request counts, since that request may be sent to an
        upstream. While draining, every connection ends after one response or a short wait.

        :param deadline: when to stop waiting, in seconds of the monotonic clock.
        """
        while True:
            with self._lock:
                open_count = len(self._connections)
            if not open_count or time.monotonic() >= deadline:
                return open_count
            time.sleep(DRAIN_POLL_INTERVAL_S)

    def stop_accepting(self) -> None:
        """Accept no more connections."""
        self._stopping.set()
        self._thread.join()
        assert self._bound_socket is not None
        self._bound_socket.close()

    def count_rejected(self, reason: str) -> None:
        """Count a rejected request or connection.

        :param reason: HTTP status, or ``connections`` if there were too many.
        """
        self._metrics.count(
            "foxtailshunt_rejected_total", "Malformed requests by status.", {"status": reason}
        )

    def error_log(self, msg: str = "", level: int = 20, traceback: bool = False) -> None:
        """Log an unexpected error of a connection; called by cheroot.

        :param msg: error message.
        :param level: log level.
        :param traceback: whether to log the traceback of the current exception.
        """
        traceback_text = traceback_module.format_exc() if traceback else ""
        log_state_change("front.error", error=msg, level=level, where=traceback_text)

    def _accept_loop(self) -> None:
        listener = self._bound_socket
        assert listener is not None
        listener.settimeout(_ACCEPT_TIMEOUT_S)
        while not self._stopping.is_set():
            try:
                sock, _ = listener.accept()
            except OSError:
                # Timed out, or the caller closed its connection before it was accepted.
                continue
            self._add_connection(sock)

    def _add_connection(self, sock: socket.socket) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        conn = _FrontConnection(self, sock)
        with self._lock:
            is_at_limit = len(self._connections) >= MAX_CONNECTIONS
            if not is_at_limit:
                self._connections.add(conn)
        if is_at_limit:
            self.count_rejected("connections")
            sock.close()
            return
        threading.Thread(target=self._serve, args=(conn,), name="caller", daemon=True).start()

    def _serve(self, conn: _FrontConnection) -> None:
        try:
            while self._wait_for_request(conn):
                limits = self._limits()
                self.max_request_header_size = limits.max_header_bytes
                self.max_request_body_size = limits.max_body_bytes
                conn.socket.settimeout(limits.header_timeout_s)
                if not conn.communicate():
                    break
                conn.has_served = True
        except OSError as exc:
            log_state_change("front.connection_failed", error=str(exc))
        finally:
            if conn.is_rejected:
                self._discard_rest(conn)
            _close_and_log_errors(conn)
            with self._lock:
                self._connections.discard(conn)

    def _discard_rest(self, conn: _FrontConnection) -> None:
        """Let a rejected caller finish sending, so that it receives the rejection."""
        self._metrics.count(
            "foxtailshunt_discarded_bytes_total",
            "Bytes of rejected requests that were read after the rejection.",
            amount=discard_until_closed(conn.socket),
        )

    def _wait_for_request(self, conn: _FrontConnection) -> bool:
        """Return whether data of a request has arrived; if not, the connection is to be closed."""
        if conn.rfile.has_data():
            return True
        poll = select.poll()
        poll.register(conn.socket, select.POLLIN)
        if not self.is_draining:
            poll.register(self._drain_read_end, select.POLLIN)
            timeout_s = self._limits().idle_timeout_s
        else:
            # A connection accepted while draining may still send its first request.
            timeout_s = 0.0 if conn.has_served else FIRST_REQUEST_TIMEOUT_S
        ready = [fd for fd, _ in poll.poll(timeout_s * 1000)]
        return conn.socket.fileno() in ready


def _format_reply(reply: Reply, req: _FrontRequest) -> bytes:
    reason = http.client.responses.get(reply.status, "Status")
    lines = [f"HTTP/1.1 {reply.status} {reason}"]
    lines += [f"{name}: {value}" for name, value in reply.headers]
    is_empty = reply.status in _NO_BODY_STATUSES
    if not is_empty:
        lines.append(f"Content-Length: {len(reply.body)}")
    if req.close_connection:
        lines.append("Connection: close")
    head = "\r\n".join(lines) + "\r\n\r\n"
    body = b"" if is_empty or getattr(req, "method", b"") == b"HEAD" else reply.body
    return head.encode("latin-1") + body


def _close_and_log_errors(conn: _FrontConnection) -> None:
    try:
        conn.close()
    except OSError as exc:
        log_state_change("front.close_failed", error=str(exc))
