"""A client connection that carries one HTTP exchange after the other, each with a deadline."""

import http.client
import io
import os
import socket
import struct
import time
from collections.abc import Callable, Iterable
from typing import Any

from foxtailshunt.http._response import MAX_RESPONSE_BODY_BYTES, HttpResponse, read_response
from foxtailshunt.network import Address, is_idle, source_address

# l_onoff = 1, l_linger = 0: close() resets the connection and discards unsent data.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_METHODS_WITHOUT_BODY = ("GET", "HEAD", "DELETE", "OPTIONS")

Headers = tuple[tuple[str, str], ...]


class HttpChannel:
    """A client connection; not safe for concurrent use.

    :param address: host and port of the server.
    :param connect_timeout_s: timeout of connecting, in seconds.
    :param socket_options: level, name and value of each option.
    :raises OSError: the connection cannot be established.
    """

    def __init__(
        self,
        address: Address,
        connect_timeout_s: float,
        socket_options: Iterable[tuple[int, int, Any]],
    ) -> None:
        self.sock = socket.create_connection(address, connect_timeout_s, source_address())
        for option in socket_options:
            self.sock.setsockopt(*option)
        self._reader = _DeadlineReader(self.sock)
        self._buffered = io.BufferedReader(self._reader)

    def is_idle(self) -> bool:
        """Return whether the connection is open and has no data to read."""
        return self.sock.fileno() >= 0 and not self.has_buffered() and is_idle(self.sock)

    def has_buffered(self) -> bool:
        """Return whether received bytes have not been read."""
        self._reader.may_receive = False
        try:
            return bool(self._buffered.peek(1))
        finally:
            self._reader.may_receive = True

    def send(self, message: bytes, deadline: float, body: bytes = b"") -> None:
        """Send a request.

        :param message: the request, as :func:`format_request` returns it.
        :param deadline: time of the timeout, in seconds of the monotonic clock.
        :param body: body that the message does not contain.
        :raises OSError: sending failed; part of the request may have arrived.
        """
        self.sock.settimeout(max(0.001, deadline - time.monotonic()))
        self.sock.sendall(message)
        if body:
            self.sock.settimeout(max(0.001, deadline - time.monotonic()))
            self.sock.sendall(body)

    def receive(
        self,
        method: str,
        deadline: float,
        max_body_bytes: int = MAX_RESPONSE_BODY_BYTES,
        reserve: Callable[[int], None] | None = None,
    ) -> HttpResponse:
        """Receive a response.

        :param method: method of the request.
        :param deadline: time by which the response has to be complete, in seconds of the monotonic
            clock.
        :param max_body_bytes: maximum size of the body, in bytes.
        :param reserve: called with the size of each part of the body before it is read; may raise
            an exception to end the reading. None for no call.
        :raises http.client.HTTPException: the response is malformed, incomplete or too large.
        :raises OSError: receiving failed, for example because of the deadline.
        """
        self._reader.deadline = deadline
        return read_response(self._buffered, method, max_body_bytes, reserve)

    def reset(self) -> None:
        """Reset the connection, so that the server stops working and unsent data is discarded."""
        if self.sock.fileno() < 0:
            return
        try:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        except OSError:
            # The connection has failed already and only needs to be closed.
            pass
        os.close(self.sock.detach())


class _DeadlineReader(io.RawIOBase):
    """Reads from a socket with one deadline for a complete response."""

    def __init__(self, sock: socket.socket) -> None:
        super().__init__()
        self._sock = sock
        self.deadline = 0.0
        self.may_receive = True

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: Any) -> int | None:
        if not self.may_receive:
            return None
        remaining_s = self.deadline - time.monotonic()
        if remaining_s <= 0:
            raise TimeoutError("the response did not arrive in time")
        self._sock.settimeout(remaining_s)
        return self._sock.recv_into(buffer)


class _RequestFormatter(http.client.HTTPConnection):
    """Collects the bytes of a request instead of sending them."""

    def __init__(self) -> None:
        super().__init__("server")
        self.parts: list[bytes] = []

    def send(self, data: Any) -> None:
        self.parts.append(bytes(data))


def format_request(
    method: str, target: str, headers: Headers, body: bytes, with_body: bool = True
) -> bytes:
    """Return the bytes of a request.

    :param method: HTTP method.
    :param target: path and query.
    :param headers: headers except Content-Length.
    :param body: body.
    :param with_body: False to return the head only; the body is sent separately.
    :raises http.client.HTTPException: the target or method is malformed.
    :raises ValueError: a header is malformed.
    """
    formatter = _RequestFormatter()
    formatter.putrequest(method, target, skip_host=True, skip_accept_encoding=True)
    for name, value in headers:
        formatter.putheader(name, value.encode("latin-1"))
    if body or method not in _METHODS_WITHOUT_BODY:
        formatter.putheader("Content-Length", str(len(body)))
    formatter.endheaders()
    return b"".join(formatter.parts) + (body if with_body else b"")
