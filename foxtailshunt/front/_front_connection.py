"""A caller's connection: reads requests, runs them and writes the responses in order."""

import http.client
import socket
import threading
import time
from collections.abc import Callable, Sequence
from typing import Any

from cheroot.server import Gateway, HTTPConnection

from foxtailshunt.callers import Headers, Reply
from foxtailshunt.front._read_ahead import ReadAheadWatcher
from foxtailshunt.front._response_order import Render, ResponseOrder
from foxtailshunt.http import (
    BodyTooLargeError,
    SocketReader,
    SocketWriter,
    StrictHttpRequest,
    read_chunked_body,
)
from foxtailshunt.memory import NoMemoryError, Reservation

#: Timeout for writing a response, in seconds.
WRITE_TIMEOUT_S = 5.0

#: Size from which a response's body is sent separately instead of being copied behind its head.
_SEPARATE_BODY_BYTES = 65_536
#: Bytes that a response counts for before it is known, so that a request is refused before it runs
#: if the account is full.
_RESPONSE_START_BYTES = 4096
_NO_BODY_STATUSES = (204, 304)
#: Stands for a thread that has been started and has not begun to read.
_STARTING_THREAD = -1


class FrontRequest(StrictHttpRequest):
    """Request that responds to malformed input through the handler and closes the connection."""

    #: When the head was received, in seconds of the monotonic clock.
    received_at = 0.0

    def parse_request(self) -> None:
        """Parse the head, and record when it was received."""
        super().parse_request()
        self.received_at = time.monotonic()

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
        is_head = getattr(self, "method", b"") == b"HEAD"
        self.conn.order.close_after(_renderer(reply, is_head))
        self.sent_headers = True

    def refuse_body(self) -> None:
        """Respond that there is no memory for the body, and close the connection."""
        self.close_connection = True
        reply = self.server.handler.refuse_body(_decode_headers(self))
        self.conn.order.close_after(_renderer(reply, is_head=False))
        self.sent_headers = True


class FrontGateway(Gateway):
    """Reads the body of a request and passes the request on."""

    def respond(self) -> None:
        """Serve the request of the connection."""
        reservation = self.req.server.memory.open()
        conn = self.req.conn
        try:
            if self.req.chunked_read or b"Content-Length" in self.req.inheaders:
                reservation.begin_transfer(conn.shut_down)
                conn.rfile.on_receive = reservation.record_progress
            try:
                body = self._read_body(reservation)
            finally:
                conn.rfile.on_receive = None
                reservation.end_transfer()
            if body is not None:
                self.req.sent_headers = True
                self.req.conn.run(self.req, body)
        finally:
            reservation.release()

    def _read_body(self, reservation: Reservation) -> bytes | None:
        """Return the whole body, or None if the request was refused or its connection closed."""
        req = self.req
        length = 0 if req.chunked_read else int(req.inheaders.get(b"Content-Length", 0))
        try:
            reservation.grow(length)
            body = self._read_chunks(reservation) if req.chunked_read else req.rfile.read()
        except NoMemoryError:
            # The refused caller may still send for a while.
            reservation.release()
            req.refuse_body()
            return None
        except (OSError, ValueError) as exc:
            if not reservation.is_evicted:
                self._report_failure(exc)
                return None
            body = b""
        except BodyTooLargeError:
            req.simple_response("413 Content Too Large", "The body is too large.")
            return None
        if reservation.is_evicted:
            req.close_connection = True
            req.sent_headers = True
            req.conn.order.fail()
            return None
        if not req.chunked_read and len(body) != length:
            req.simple_response("400 Bad Request", "The body ended early.")
            return None
        return body

    def _report_failure(self, exc: Exception) -> None:
        req = self.req
        if isinstance(exc, ValueError):
            req.simple_response("400 Bad Request", "The chunked body is malformed.")
        elif isinstance(exc, TimeoutError):
            req.simple_response("408 Request Timeout", "The body did not arrive in time.")
        else:
            raise exc

    def _read_chunks(self, reservation: Reservation) -> bytes:
        max_bytes = self.req.server.max_request_body_size
        return read_chunked_body(self.req.conn.rfile, max_bytes, reservation.grow)


class _InterimWriter:
    """Writer for cheroot's interim responses, which follow the responses to earlier requests.

    :param writer: writes to the connection.
    :param order: order of the responses.
    """

    def __init__(self, writer: SocketWriter, order: ResponseOrder) -> None:
        self._writer = writer
        self._order = order

    def write(self, data: bytes) -> None:
        """Send an interim response.

        :param data: the bytes.
        """
        self._order.wait_until_empty()
        self._writer.write(data)


class FrontConnection(HTTPConnection):
    """A connection of a caller whose idempotent requests may overlap.

    One thread at a time reads. It also runs the request that it has read; if the next one may
    overlap with it, the watcher meanwhile waits for data and starts another thread to read it.

    :param server: the front server.
    :param sock: the connection.
    :param watcher: notices data while no thread reads.
    :param start_thread: starts a thread that serves the connection; returns False if there are too
        many threads.
    """

    RequestHandlerClass = FrontRequest

    def __init__(
        self,
        server: Any,
        sock: socket.socket,
        watcher: ReadAheadWatcher,
        start_thread: Callable[["FrontConnection"], bool],
    ) -> None:
        sock.setblocking(False)
        writer = SocketWriter(sock)
        writer.timeout_s = WRITE_TIMEOUT_S
        self._writer = writer
        #: Order of the responses.
        self.order = ResponseOrder(self._write_response, lambda: server.is_draining)
        #: True after the first request was served.
        self.has_served = False
        self._interim_writer = _InterimWriter(writer, self.order)
        self._watcher = watcher
        self._start_thread = start_thread
        self._lock = threading.Lock()
        #: Id of the thread that reads; None while the watcher waits for data.
        self._reader: int | None = _STARTING_THREAD
        self._thread_count = 1
        super().__init__(server, sock, self._make_file)

    def begin_thread(self) -> None:
        """Let the current thread read; called once by each thread that serves the connection."""
        with self._lock:
            self._reader = threading.get_ident()

    def end_thread(self) -> bool:
        """Count the end of a thread, and return whether it was the last one."""
        with self._lock:
            self._thread_count -= 1
            if self._thread_count:
                return False
            self._watcher.disarm(self.socket)
            return True

    def serve_one(self, header_timeout_s: float) -> bool:
        """Read and run one request; return whether this thread reads the next one.

        :param header_timeout_s: longest wait for more bytes of the request, in seconds.
        """
        self.rfile.timeout_s = header_timeout_s
        if not self.communicate():
            self.order.stop_admitting()
            return False
        self.has_served = True
        return not self.order.is_closing and self._reader == threading.get_ident()

    def run(self, req: FrontRequest, body: bytes) -> None:
        """Run a request that has been read, and write the responses that are due.

        :param req: the request.
        :param body: its body.
        """
        method, target = req.method.decode("latin-1"), req.uri.decode("latin-1")
        headers = _decode_headers(req)
        handler = self.server.handler
        idempotent = handler.is_idempotent(method, target, headers)
        # Released when the response has been written, possibly by another thread.
        memory = self.server.memory.open()
        try:
            memory.grow(_RESPONSE_START_BYTES)
        except NoMemoryError:
            req.refuse_body()
            return
        turn = self.order.admit(idempotent, len(body), memory)
        if turn is None:
            # An earlier response closes the connection.
            req.close_connection = True
            memory.release()
            return
        if idempotent and not req.close_connection and self.order.may_read_ahead():
            self._release_reading()
        try:
            reply = handler.handle(
                method, target, headers, body, self.socket, req.received_at, memory
            )
        except Exception:
            req.close_connection = True
            reply = handler.reject(500, "Internal error.")
            self.order.complete(turn, _renderer(reply, is_head=False), len(reply.body), True)
            raise
        if reply.status == 0:
            # The caller has disconnected.
            self.order.fail()
            memory.release()
            req.close_connection = True
            return
        render = _renderer(reply, method == "HEAD")
        if self.order.complete(turn, render, len(reply.body), req.close_connection):
            self._reclaim_reading()

    def shut_down(self) -> None:
        """End the connection; the threads that read or write it get an error."""
        try:
            self.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The caller has closed it.
            pass

    def _write_response(self, parts: Sequence[bytes], memory: Reservation | None) -> None:
        if memory is not None:
            memory.begin_transfer(self.shut_down)
            self._writer.on_send = memory.record_progress
        try:
            for part in parts:
                self._writer.write(part)
        finally:
            self._writer.on_send = None
            if memory is not None:
                memory.release()

    def _release_reading(self) -> None:
        """Let another thread read the next request while this thread runs one."""
        with self._lock:
            if self.rfile.has_data():
                self._hand_over_reading()
            else:
                self._watcher.arm(self.socket, self._on_data)
                self._reader = None

    def _reclaim_reading(self) -> None:
        """Let this thread read the next request if no other thread does."""
        with self._lock:
            if self._reader is None:
                self._watcher.disarm(self.socket)
                self._reader = threading.get_ident()

    def _on_data(self) -> None:
        with self._lock:
            if self._reader is None:
                self._hand_over_reading()

    def _hand_over_reading(self) -> None:
        """Start a thread that reads; without one, the next request is read after this one."""
        self._thread_count += 1
        if self._start_thread(self):
            self._reader = _STARTING_THREAD
        else:
            self._thread_count -= 1

    def _make_file(
        self, sock: socket.socket, mode: str, _size: int
    ) -> SocketReader | _InterimWriter:
        return SocketReader(sock) if "r" in mode else self._interim_writer


def _decode_headers(req: FrontRequest) -> Headers:
    """Return the headers of a request as text.

    :param req: the request.
    """
    return tuple(
        (name.decode("latin-1"), value.decode("latin-1")) for name, value in req.inheaders.items()
    )


def _renderer(reply: Reply, is_head: bool) -> Render:
    """Return a function that formats a reply.

    :param reply: the reply.
    :param is_head: whether it answers a HEAD request.
    """

    def render(closes: bool) -> tuple[bytes, ...]:
        reason = http.client.responses.get(reply.status, "Status")
        lines = [f"HTTP/1.1 {reply.status} {reason}"]
        lines += [f"{name}: {value}" for name, value in reply.headers]
        is_empty = reply.status in _NO_BODY_STATUSES
        if not is_empty:
            lines.append(f"Content-Length: {len(reply.body)}")
        if closes:
            lines.append("Connection: close")
        head = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
        if is_empty or is_head:
            return (head,)
        if len(reply.body) < _SEPARATE_BODY_BYTES:
            return (head + reply.body,)
        return (head, reply.body)

    return render
