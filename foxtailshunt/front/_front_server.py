"""HTTP server for callers, with a thread for each connection and for each overlapping request."""

import errno
import os
import select
import socket
import threading
import time
import traceback as traceback_module
from collections.abc import Callable

from foxtailshunt.fleet import Address
from foxtailshunt.front._front_connection import FrontConnection, FrontGateway
from foxtailshunt.front._lingering_close import discard_until_closed
from foxtailshunt.front._read_ahead import ReadAheadWatcher
from foxtailshunt.front._request_handler import RequestHandler
from foxtailshunt.memory import (
    CONNECTION_BYTES,
    ConnectionLimits,
    MemoryAccount,
    NoMemoryError,
    Reservation,
)
from foxtailshunt.routing import FrontLimits
from foxtailshunt.telemetry import EarlyBindingServer, Metrics, log_state_change

#: Time that a connection accepted while draining may take to start its request, in seconds.
FIRST_REQUEST_TIMEOUT_S = 1.0
#: Interval between checks for open connections while draining, in seconds.
DRAIN_POLL_INTERVAL_S = 0.02

_BACKLOG = 512
_NO_DESCRIPTOR_ERRORS = (errno.EMFILE, errno.ENFILE)
_ACCEPT_TIMEOUT_S = 0.1
#: Pause after a connection could not be accepted for lack of descriptors, in seconds.
_NO_DESCRIPTOR_PAUSE_S = 0.05


class FrontServer(EarlyBindingServer):
    """Accepts connections of callers and serves their requests.

    :param address: host and port.
    :param handler: serves requests.
    :param limits: returns the current limits.
    :param metrics: counters.
    :param memory: counts the bytes of bodies; None for an own account.
    :param connection_limits: limits of connections; requests of one connection no longer overlap
        from as many threads. None for the default.
    :raises FoxtailshuntError: with ``ADDRESS_IN_USE`` if the address cannot be bound.
    """

    def __init__(
        self,
        address: Address,
        handler: RequestHandler,
        limits: Callable[[], FrontLimits],
        metrics: Metrics,
        memory: MemoryAccount | None = None,
        connection_limits: ConnectionLimits | None = None,
    ) -> None:
        super().__init__(address, FrontGateway, minthreads=1)
        self.handler = handler
        self.memory = memory or MemoryAccount()
        self.connection_limits = connection_limits or ConnectionLimits()
        self.is_draining = False
        self._limits = limits
        self._metrics = metrics
        self._lock = threading.Lock()
        #: The open connections, with the bytes that are counted for each.
        self._connections: dict[FrontConnection, Reservation] = {}
        self._thread_count = 0
        self._watcher = ReadAheadWatcher()
        self._stopping = threading.Event()
        self._drain_read_end, self._drain_write_end = os.pipe()
        self.bind_listener()
        self._thread = threading.Thread(target=self._accept_loop, name="front", daemon=True)

    def start_serving(self) -> None:
        """Start to listen and to accept connections."""
        assert self._bound_socket is not None
        self._bound_socket.listen(_BACKLOG)
        self._watcher.start()
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
        """Accept no more connections, except those that wait to be accepted already.

        The kernel has established these, and would reset them with the listening socket.
        """
        self._stopping.set()
        self._thread.join()
        listener = self._bound_socket
        assert listener is not None
        listener.setblocking(False)
        while (sock := self._accept(listener)) is not None:
            self._add_connection(sock)
        listener.close()

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
            sock = self._accept(listener)
            if sock is not None:
                self._add_connection(sock)

    def _accept(self, listener: socket.socket) -> socket.socket | None:
        """Return the next connection, or None if none waits within the listener's timeout."""
        while True:
            try:
                return listener.accept()[0]
            except ConnectionAbortedError:
                # The caller has closed its connection already; others may wait behind it.
                continue
            except OSError as exc:
                if exc.errno in _NO_DESCRIPTOR_ERRORS:
                    self.count_rejected("descriptors")
                    time.sleep(_NO_DESCRIPTOR_PAUSE_S)
                return None

    def _add_connection(self, sock: socket.socket) -> None:
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:
            sock.close()
            return
        conn = FrontConnection(self, sock, self._watcher, self._start_further_thread)
        memory = self.memory.open()
        try:
            # Only this thread adds connections, so the number does not rise meanwhile.
            has_place = self._reserve_connection(memory)
        except NoMemoryError:
            has_place = False
        if not has_place:
            self.count_rejected("connections")
            sock.close()
            return
        with self._lock:
            self._connections[conn] = memory
            self._thread_count += 1
        self._start_thread(conn)

    def _reserve_connection(self, memory: Reservation) -> bool:
        """Reserve the memory of another connection; return False if there are too many.

        :raises NoMemoryError: the memory account has no room for it.
        """
        count, limits = len(self._connections), self.connection_limits
        if count >= limits.total:
            return False
        if count >= limits.uncounted:
            memory.grow(CONNECTION_BYTES)
        return True

    def _start_further_thread(self, conn: FrontConnection) -> bool:
        """Start another thread for a connection, unless there are too many threads."""
        with self._lock:
            if self._thread_count >= self.connection_limits.total:
                return False
            self._thread_count += 1
        try:
            self._start_thread(conn)
        except RuntimeError as exc:
            log_state_change("front.thread_not_started", error=str(exc))
            with self._lock:
                self._thread_count -= 1
            return False
        return True

    def _start_thread(self, conn: FrontConnection) -> None:
        threading.Thread(target=self._serve, args=(conn,), name="caller", daemon=True).start()

    def _serve(self, conn: FrontConnection) -> None:
        conn.begin_thread()
        try:
            while self._wait_for_request(conn):
                limits = self._limits()
                self.max_request_header_size = limits.max_header_bytes
                self.max_request_body_size = limits.max_body_bytes
                if not conn.serve_one(limits.header_timeout_s):
                    break
            else:
                conn.order.stop_admitting()
        except OSError as exc:
            log_state_change("front.connection_failed", error=str(exc))
            conn.order.fail()
        finally:
            if conn.end_thread():
                self._close(conn)
            with self._lock:
                self._thread_count -= 1

    def _close(self, conn: FrontConnection) -> None:
        if conn.order.has_sent_last:
            self._discard_rest(conn)
        _close_and_log_errors(conn)
        with self._lock:
            memory = self._connections.pop(conn, None)
        if memory is not None:
            memory.release()

    def _discard_rest(self, conn: FrontConnection) -> None:
        """Let a caller finish sending, so that no reset overtakes the last response."""
        self._metrics.count(
            "foxtailshunt_discarded_bytes_total",
            "Bytes that were read and discarded after the last response of a connection.",
            amount=discard_until_closed(conn.socket),
        )

    def _wait_for_request(self, conn: FrontConnection) -> bool:
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


def _close_and_log_errors(conn: FrontConnection) -> None:
    try:
        conn.close()
    except OSError as exc:
        log_state_change("front.close_failed", error=str(exc))
