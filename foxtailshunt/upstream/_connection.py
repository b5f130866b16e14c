"""One HTTP connection to an upstream: a request out in one piece, a whole answer back."""

import http.client
import os
import socket
import struct
import time
from dataclasses import dataclass
from typing import Any

from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

from foxtailshunt.network import source_address
from foxtailshunt.ownership import Address
from foxtailshunt.protocol import is_quiet
from foxtailshunt.upstream._answer_reader import DeadlineSocket, read_whole_body
from foxtailshunt.upstream._interface import UpstreamConnectionError

#: Time to establish a connection to an upstream, in seconds.
CONNECT_TIMEOUT_S = 0.3
#: Largest answer body that is taken, in bytes.
MAX_ANSWER_BYTES = 2 * 1024 * 1024

# l_onoff = 1, l_linger = 0: closing resets the connection and drops unsent data.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_SOCKET_OPTIONS = [(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)]


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request as it goes on the wire."""

    #: HTTP method.
    method: str
    #: Path and query.
    target: str
    #: Headers, without Host and Content-Length.
    headers: tuple[tuple[str, str], ...]
    #: Body.
    body: bytes


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A whole answer."""

    #: HTTP status.
    status: int
    #: Headers in the order received.
    headers: tuple[tuple[str, str], ...]
    #: Body.
    body: bytes

    def header(self, name: str) -> str | None:
        """Return the first header of a name, or None.

        :param name: the name in lower case.
        """
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


class UpstreamConnection:
    """One connection, used by one thread at a time.

    :param address: host and port of the upstream.
    """

    def __init__(self, address: Address) -> None:
        self.address = address
        #: False once the connection must not carry another request.
        self.reusable = True
        #: When it last answered, or was made, in seconds; kept by the pool.
        self.last_success = 0.0
        #: True if its last call ran out of time.
        self.timed_out = False
        self._http = _BufferedConnection(
            address[0],
            address[1],
            timeout=CONNECT_TIMEOUT_S,
            source_address=source_address(),
            socket_options=_SOCKET_OPTIONS,
        )
        self._socket: socket.socket | None = None

    def open(self) -> None:
        """Connect.

        :raises UpstreamConnectionError: nothing was sent.
        """
        try:
            self._http.connect()
        except (HTTPError, OSError) as exc:
            refused = isinstance(exc.__cause__ or exc, ConnectionRefusedError)
            raise UpstreamConnectionError(
                f"cannot connect to {self.address}: {exc}", sent=False, refused=refused
            ) from exc
        self._socket = self._http.sock

    def is_quiet(self) -> bool:
        """Return whether the idle connection is open with nothing to read."""
        return self._socket is not None and is_quiet(self._socket)

    def exchange(self, req: HttpRequest, timeout_s: float) -> HttpAnswer:
        """Send a request and wait for its whole answer.

        :param req: the request.
        :param timeout_s: longest time for sending and receiving together, in seconds.
        :raises UpstreamConnectionError: the connection was reset; ``sent`` is False only if no
            byte was handed to the kernel.
        """
        deadline = time.monotonic() + timeout_s
        try:
            self._http.buffer_request(req)
        except (http.client.HTTPException, ValueError) as exc:
            self.reset()
            raise UpstreamConnectionError(
                f"malformed request: {exc}", sent=False, refused=False
            ) from exc
        try:
            self._http.flush(timeout_s)
            return self._read_answer(deadline)
        except (http.client.HTTPException, OSError, ValueError) as exc:
            self.timed_out = isinstance(exc, TimeoutError)
            self.reset()
            raise UpstreamConnectionError(
                f"call to {self.address} failed: {type(exc).__name__}: {exc}",
                sent=True,
                refused=False,
            ) from exc

    def reset(self) -> None:
        """Close by reset, so that the kernel delivers nothing that is still unsent."""
        self.reusable = False
        sock, self._socket = self._socket, None
        if sock is not None and sock.fileno() >= 0:
            try:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
            except OSError:
                pass
            # Answers being read hold the socket open; only the descriptor closes it now.
            os.close(sock.detach())
        self._http.close()

    def close(self) -> None:
        """Close the connection."""
        self.reusable = False
        self._socket = None
        self._http.close()

    def _read_answer(self, deadline: float) -> HttpAnswer:
        response = self._http.read_response(deadline)
        body = read_whole_body(response, MAX_ANSWER_BYTES)
        if response.will_close or self._http.has_more:
            self.close()
        return HttpAnswer(response.status, tuple(response.getheaders()), body)


class _BufferedConnection(HTTPConnection):
    """Collects a request's headers and body, so that they leave in one segment if they fit."""

    _pending: list[bytes]
    _deadline: float
    _source: DeadlineSocket | None = None

    @property
    def has_more(self) -> bool:
        return self._source is None or self._source.has_more

    def buffer_request(self, req: HttpRequest) -> None:
        self._pending = []
        self.putrequest(req.method, req.target, skip_accept_encoding=True)
        for name, value in req.headers:
            self.putheader(name, value)
        if req.body or req.method not in ("GET", "HEAD"):
            self.putheader("Content-Length", str(len(req.body)))
        self.endheaders()
        self._pending.append(req.body)

    def send(self, data: Any) -> None:
        self._pending.append(bytes(data))

    def flush(self, timeout_s: float) -> None:
        if self.sock is None:
            raise ConnectionError("the connection is closed")
        self.sock.settimeout(timeout_s)
        self.sock.sendall(b"".join(self._pending))

    def read_response(self, deadline: float) -> http.client.HTTPResponse:
        self._deadline = deadline
        return http.client.HTTPConnection.getresponse(self)

    def response_class(self, sock: socket.socket, method: str) -> http.client.HTTPResponse:
        self._source = DeadlineSocket(sock, self._deadline)
        source: Any = self._source
        return http.client.HTTPResponse(source, method=method)
