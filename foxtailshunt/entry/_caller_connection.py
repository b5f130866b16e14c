"""Connections of callers, and the requests read from them."""

import fcntl
import json
import socket
import struct
import termios
import time

from cheroot.server import HTTPConnection, HTTPServer

from foxtailshunt.entry._request_framing import frame_request
from foxtailshunt.errors import ResultCode, family_of
from foxtailshunt.http import MAX_HEAD_BYTES, StrictHttpRequest, make_file

_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_INT_BYTES = 4


class CallerHttpRequest(StrictHttpRequest):
    """A request whose errors carry a result code."""

    def simple_response(self, status: str, msg: str = "") -> None:
        """Refuse the request and close the connection.

        :param status: HTTP status with its reason.
        :param msg: one sentence for the caller.
        """
        self.close_connection = True
        request_id = self.server.request_id_of(self.inheaders)
        self.server.count_rejected(status[:3])
        self.conn.is_refused = True
        self.conn.wfile.write(refusal(status, ResultCode.BAD_REQUEST, msg or status, request_id))


class CallerConnection(HTTPConnection):
    """A caller's connection; a worker takes it only once a whole request has arrived.

    What arrives earlier waits in the kernel's buffer, so that slow callers hold no worker.
    """

    RequestHandlerClass = CallerHttpRequest

    def __init__(self, server: HTTPServer, sock: socket.socket, _make_file: object) -> None:
        super().__init__(server, sock, make_file)
        #: Bytes of the next request that must have arrived; 0 before anything of it has.
        self.needed_bytes = 0
        #: When the next request began to arrive, in seconds since the epoch; None before.
        self.partial_since: float | None = None
        #: True once a worker took the connection.
        self.is_used = False
        #: Method, target and protocol of the next request, once its head has arrived.
        self.request_line = b""
        #: Place of the next request's rank among the ranks; lower is served first.
        self.priority = 0
        #: True once a refusal was sent that the caller may still have to read.
        self.is_refused = False
        self._continued = False
        self._is_open = True
        server.count_opened()

    def has_whole_request(self, max_body_bytes: int) -> bool:
        """Return whether a worker can read the next request without waiting.

        :param max_body_bytes: largest body.
        :raises OSError: the connection failed.
        """
        buffered = self.rfile.buffered
        if self.needed_bytes > 1 and len(buffered) + self._count_unread() < self.needed_bytes:
            # Woken early: the connection has ended, or the kernel is short of memory.
            return self._finish_framing()
        received = buffered + self._peek(MAX_HEAD_BYTES)
        if not received:
            return self._finish_framing() if self._is_at_end() else self._wait_for(1)
        self.request_line = received.partition(b"\r\n")[0]
        framing = frame_request(received, max_body_bytes)
        if len(received) >= framing.needed_bytes:
            return self._finish_framing()
        if self.partial_since is None:
            self.partial_since = time.time()
        if framing.expects_continue and not self._continued:
            self._continued = True
            self.socket.send(_CONTINUE, socket.MSG_DONTWAIT)
        if len(buffered) + self._count_unread() >= framing.needed_bytes:
            return self._finish_framing()
        return self._wait_for(framing.needed_bytes)

    def close(self) -> None:
        """Close the connection."""
        if self._is_open:
            self._is_open = False
            self.server.count_closed()
        if self.is_refused and self.server.linger(self.socket):
            self.rfile.close()
            return
        super().close()

    def _wait_for(self, needed_bytes: int) -> bool:
        self.needed_bytes = needed_bytes
        unread = needed_bytes - len(self.rfile.buffered)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVLOWAT, max(1, unread))
        return False

    def _finish_framing(self) -> bool:
        if self.needed_bytes > 1:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVLOWAT, 1)
        self.needed_bytes = 0
        self.partial_since = None
        self.is_used = True
        self._continued = False
        return True

    def _count_unread(self) -> int:
        unread = fcntl.ioctl(self.socket, termios.FIONREAD, bytes(_INT_BYTES))
        return struct.unpack("i", unread)[0]

    def _peek(self, size: int) -> bytes:
        try:
            return self.socket.recv(size, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return b""

    def _is_at_end(self) -> bool:
        try:
            return not self.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False


def refusal(status: str, code: ResultCode, detail: str, request_id: str) -> bytes:
    """Return a whole HTTP answer that refuses a request and closes its connection.

    :param status: HTTP status with its reason.
    :param code: the numbered outcome.
    :param detail: one sentence for the caller.
    :param request_id: the request.
    """
    document = {
        "code": int(code),
        "name": code.name,
        "family": family_of(code).value,
        "detail": detail,
        "request_id": request_id,
    }
    body = json.dumps(document).encode()
    head = (
        f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n"
        f"Connection: close\r\nX-Request-Id: {request_id}\r\nX-Result-Code: {int(code)}\r\n\r\n"
    )
    return head.encode("latin-1") + body
