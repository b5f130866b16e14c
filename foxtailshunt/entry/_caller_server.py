"""The callers' HTTP server."""

import selectors
import socket
import threading
import time
from typing import Any

from foxtailshunt.config import EntryLimits
from foxtailshunt.entry._call_handler import CallHandler
from foxtailshunt.entry._caller_connection import CallerConnection, refusal
from foxtailshunt.entry._caller_connections import REQUEST_READ_TIMEOUT_S, CallerConnections
from foxtailshunt.entry._entry_metrics import EntryMetrics
from foxtailshunt.entry._gateway import CallerGateway
from foxtailshunt.entry._lingering import LingeringSockets
from foxtailshunt.entry._ranked_queue import RankedQueue
from foxtailshunt.errors import ResultCode
from foxtailshunt.http import MAX_HEAD_BYTES
from foxtailshunt.ownership import Address
from foxtailshunt.telemetry import EarlyBinding

#: Longest time that writing one answer may take, in seconds.
WRITE_TIMEOUT_S = 5.0
#: Worker threads beside those that the ranks' limits need; they refuse what is over a limit.
SPARE_THREADS = 8
#: Time for requests in progress to end at a stop, in seconds.
STOP_TIMEOUT_S = 30.0

_BACKLOG = 512
_FIRST_THREADS = 8
_FIRST_MAX_BODY_BYTES = 65_536
_FIRST_MAX_CONNECTIONS = 256
_EXPIRATION_INTERVAL_S = 0.5
_DRAIN_POLL_S = 0.02


class CallerServer(EarlyBinding):
    """Serves callers; worker threads take connections only once a whole request has arrived.

    :param address: host and port.
    :param handler: answers requests.
    :param metrics: where refusals are counted.
    :raises FoxtailshuntError: with ``ADDRESS_IN_USE`` if the address cannot be bound.
    """

    ConnectionClass = CallerConnection
    request_queue_size = _BACKLOG
    max_request_header_size = MAX_HEAD_BYTES
    max_request_body_size = _FIRST_MAX_BODY_BYTES
    keep_alive_conn_limit = None
    timeout = WRITE_TIMEOUT_S
    #: Time in which a caller must have sent a whole request, in seconds.
    request_read_timeout_s = REQUEST_READ_TIMEOUT_S
    shutdown_timeout = STOP_TIMEOUT_S
    expiration_interval = _EXPIRATION_INTERVAL_S

    def __init__(self, address: Address, handler: CallHandler, metrics: EntryMetrics) -> None:
        super().__init__(address, CallerGateway, minthreads=_FIRST_THREADS)
        self._waiting = RankedQueue()
        self.requests._queue = self._waiting
        self.requests.get = self._waiting.get
        self.handler = handler
        self.is_draining = False
        self.lingering = LingeringSockets()
        self._metrics = metrics
        self._open_lock = threading.Lock()
        self._open = 0
        self._max_connections = _FIRST_MAX_CONNECTIONS
        self.bind_early()
        self._thread = threading.Thread(target=self.serve, name="callers", daemon=True)

    @property
    def address(self) -> Address:
        """Return the address that is listened on."""
        host, port = self.bind_addr
        return host, port

    @property
    def open_connections(self) -> int:
        """Return the number of callers' connections."""
        return self._open

    def listen(self) -> None:
        """Start the first worker threads and listen; connections wait until serving starts."""
        self.prepare()
        self._connections._selector.close()
        self._connections = CallerConnections(self)

    def start_serving(self) -> None:
        """Start serving."""
        self._thread.start()

    def take_limits(self, limits: EntryLimits) -> None:
        """Take new limits into force.

        :param limits: the limits.
        """
        self.max_request_body_size = max(1, limits.max_body_bytes)
        self._max_connections = limits.max_connections
        wanted = limits.urgent + limits.careful + limits.deferrable + SPARE_THREADS
        missing = wanted - len(self.requests._threads)
        if missing > 0:
            self.requests.grow(missing)

    def process_conn(self, conn: CallerConnection) -> None:
        """Hand a connection to a worker once its next request has arrived whole.

        :param conn: a new connection or one with something to read.
        """
        if conn.last_used is None and self._open > self._max_connections:
            self._refuse(conn)
            return
        try:
            is_ready = conn.has_whole_request(self.max_request_body_size)
        except OSError:
            conn.close()
            return
        if is_ready:
            self._hand_over(conn)
        else:
            self._wait_for_request(conn)

    def expire(self, conn: CallerConnection) -> None:
        """Close a connection that waited too long for its next request.

        :param conn: the connection.
        """
        if conn.partial_since is not None:
            self.count_rejected("408")
            self._send_refusal(conn, "408 Request Timeout", "The request came too slowly.")
        conn.close()

    def linger(self, sock: socket.socket) -> bool:
        """Keep a refused connection open for a while; False if it has to be closed now.

        :param sock: the connection.
        """
        return self.lingering.add(sock, time.time())

    def request_id_of(self, headers: dict[bytes, bytes]) -> str:
        """Return the request id of a request that is refused.

        :param headers: the headers read so far.
        """
        return self.handler.request_id_of(headers)

    def count_rejected(self, reason: str) -> None:
        """Count a refusal.

        :param reason: HTTP status.
        """
        self._metrics.rejected(reason)

    def count_opened(self) -> None:
        """Count a connection in."""
        with self._open_lock:
            self._open += 1

    def count_closed(self) -> None:
        """Count a connection out."""
        with self._open_lock:
            self._open -= 1

    def error_log(self, msg: str = "", level: int = 20, traceback: bool = False) -> None:
        """Count an error of the server.

        :param msg: what happened.
        :param level: its level.
        :param traceback: whether an exception is in progress.
        """
        if traceback:
            self._metrics.failed()
        else:
            self._metrics.rejected("connection error")

    def process_last(self, conn: CallerConnection) -> None:
        """Hand a connection to a worker if its request has arrived whole, else close it.

        :param conn: a connection at the end of serving.
        """
        try:
            is_ready = conn.has_whole_request(self.max_request_body_size)
        except OSError:
            is_ready = False
        if is_ready:
            self._hand_over(conn)
        else:
            conn.close()

    def drain(self, grace_s: float) -> None:
        """Serve on, closing each connection after its answer, until none is left.

        :param grace_s: time for idle connections to be closed by their callers, in seconds.
        """
        self.is_draining = True
        waiter = threading.Event()
        end = time.monotonic() + grace_s
        while self._open and time.monotonic() < end:
            waiter.wait(_DRAIN_POLL_S)

    def stop_serving(self) -> None:
        """Take no new connections, let requests in progress end, and stop."""
        self.is_draining = True
        self.stop()

    def _hand_over(self, conn: CallerConnection) -> None:
        is_backed_up = self._waiting.qsize() > 0
        conn.priority = self.handler.priority_of(conn.request_line) if is_backed_up else 0
        self.requests.put(conn)

    def _wait_for_request(self, conn: CallerConnection) -> None:
        if conn.last_used is None:
            conn.last_used = time.time()
        self._connections._selector.register(conn.socket.fileno(), selectors.EVENT_READ, data=conn)

    def _refuse(self, conn: CallerConnection) -> None:
        self.count_rejected("connections")
        self._send_refusal(conn, "503 Service Unavailable", "Too many connections.")
        conn.close()

    def _send_refusal(self, conn: CallerConnection, status: str, detail: str) -> None:
        request_id = self.request_id_of({})
        answer: Any = refusal(status, ResultCode.BAD_REQUEST, detail, request_id)
        try:
            conn.socket.send(answer, socket.MSG_DONTWAIT)
        except OSError:
            pass
        conn.is_refused = True
