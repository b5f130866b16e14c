"""HTTP connections to upstreams.

While a request waits for its response, the caller's connection is watched as well, so that the
request is cancelled when the caller disconnects.
"""

import http.client
import io
import os
import socket
import struct
import time
from collections.abc import Callable
from typing import Any

from foxtailshunt.errors import FoxtailshuntError, ResultCode
from foxtailshunt.fleet import Address
from foxtailshunt.network import (
    UPSTREAM_SOCKET_OPTIONS,
    WaitOutcome,
    is_idle,
    source_address,
    wait_readable,
)
from foxtailshunt.platform import UpstreamResponse

#: Timeout for connecting to an upstream, in seconds; the network latency is about 1 ms.
CONNECT_TIMEOUT_S = 0.12
#: Idle timeout of a connection if the upstream does not state one, in seconds.
IDLE_LIMIT_S = 4.0
#: How long before the upstream's own idle timeout a connection is closed, in seconds.
IDLE_MARGIN_S = 1.5
#: Maximum size of a response body, in bytes.
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
#: Number of responses to other requests that are skipped before a connection is reset.
MAX_MISMATCHED_RESPONSES = 2

# l_onoff = 1, l_linger = 0: close() resets the connection and discards unsent data.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ChannelError(FoxtailshuntError):
    """A request failed without a usable response.

    :param code: the result code of the request.
    :param message: the reason.
    :param sent: False if no byte of the request can have reached the upstream.
    """

    def __init__(self, code: ResultCode, message: str, sent: bool) -> None:
        super().__init__(code, message)
        self.sent = sent


class UpstreamChannel:
    """A connection to an upstream; not safe for concurrent use.

    :param address: host and port of the upstream.
    :raises ChannelError: the connection cannot be established.
    """

    def __init__(self, address: Address) -> None:
        try:
            self._sock = socket.create_connection(address, CONNECT_TIMEOUT_S, source_address())
        except OSError as exc:
            raise ChannelError(
                ResultCode.UPSTREAM_CONNECTION_LOST, f"cannot connect: {exc}", sent=False
            ) from exc
        for option in UPSTREAM_SOCKET_OPTIONS:
            self._sock.setsockopt(*option)
        self._reader = _DeadlineReader(self._sock)
        self._buffered = io.BufferedReader(self._reader)
        self._reusable = True
        self._idle_until = 0.0

    def is_usable(self) -> bool:
        """Return whether the idle connection can be used for another request."""
        return self._reusable and time.monotonic() < self._idle_until and is_idle(self._sock)

    def exchange(
        self,
        method: str,
        target: str,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
        deadline: float,
        caller: socket.socket | None,
        is_own_response: Callable[[UpstreamResponse], bool],
    ) -> UpstreamResponse:
        """Send a request and wait for its complete response.

        :param method: HTTP method.
        :param target: path and query.
        :param headers: headers except Content-Length.
        :param body: body.
        :param deadline: time of the timeout, in seconds of the monotonic clock.
        :param caller: the caller's connection; the request is cancelled if its peer closes it.
        :param is_own_response: returns False for a response to another request.
        :raises ChannelError: there is no usable response; the connection was reset.
        """
        try:
            message = _format_request(method, target, headers, body)
        except (http.client.HTTPException, ValueError) as exc:
            self.reset()
            raise ChannelError(ResultCode.BAD_REQUEST, f"malformed request: {exc}", False) from exc
        try:
            self._sock.settimeout(max(0.001, deadline - time.monotonic()))
            self._sock.sendall(message)
            return self._read_own_response(method, deadline, caller, is_own_response)
        except TimeoutError as exc:
            self.reset()
            raise ChannelError(ResultCode.DEADLINE_EXCEEDED, "response timed out", True) from exc
        except (http.client.HTTPException, OSError, ValueError) as exc:
            self.reset()
            detail = f"{type(exc).__name__}: {exc}"[:200]
            raise ChannelError(ResultCode.UPSTREAM_CONNECTION_LOST, detail, True) from exc

    def reset(self) -> None:
        """Reset the connection, so that the upstream stops working and unsent data is discarded."""
        self._reusable = False
        if self._sock.fileno() < 0:
            return
        try:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        except OSError:
            # The connection has failed already and only needs to be closed.
            pass
        os.close(self._sock.detach())

    def _read_own_response(
        self,
        method: str,
        deadline: float,
        caller: socket.socket | None,
        is_own_response: Callable[[UpstreamResponse], bool],
    ) -> UpstreamResponse:
        self._reader.deadline = deadline
        for _ in range(1 + MAX_MISMATCHED_RESPONSES):
            self._wait_for_response(deadline, caller)
            response = self._read_response(method)
            if is_own_response(response):
                return response
            # An unrequested response came first, so data after the own response isn't trusted.
            self._reusable = False
        raise ValueError("only responses to other requests were received")

    def _wait_for_response(self, deadline: float, caller: socket.socket | None) -> None:
        if self._has_buffered():
            return
        outcome = wait_readable(self._sock, max(0.0, deadline - time.monotonic()), caller)
        if outcome is WaitOutcome.TIMED_OUT:
            raise TimeoutError
        if outcome is WaitOutcome.CALLER_DISCONNECTED:
            self.reset()
            raise ChannelError(ResultCode.CANCELLED, "the caller disconnected", sent=True)

    def _has_buffered(self) -> bool:
        self._reader.may_receive = False
        try:
            return bool(self._buffered.peek(1))
        finally:
            self._reader.may_receive = True

    def _read_response(self, method: str) -> UpstreamResponse:
        source: Any = _PersistentFile(self._buffered)
        http_response = http.client.HTTPResponse(source, method=method)
        http_response.begin()
        body = http_response.read(MAX_RESPONSE_BYTES + 1)
        if len(body) > MAX_RESPONSE_BYTES:
            raise ValueError("the response body is too large")
        if http_response.length not in (None, 0):
            raise http.client.IncompleteRead(body, http_response.length)
        response = UpstreamResponse(http_response.status, tuple(http_response.getheaders()), body)
        stated_idle_s = response.keep_alive_s
        idle_s = IDLE_LIMIT_S if stated_idle_s is None else max(0.0, stated_idle_s - IDLE_MARGIN_S)
        self._idle_until = time.monotonic() + min(idle_s, 2 * IDLE_LIMIT_S)
        if http_response.will_close or self._has_buffered():
            self._reusable = False
        return response


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
            raise TimeoutError
        self._sock.settimeout(remaining_s)
        return self._sock.recv_into(buffer)


class _PersistentFile:
    """Keeps a buffered reader open for several responses, since HTTPResponse closes its file."""

    def __init__(self, buffered: io.BufferedReader) -> None:
        self._buffered = buffered

    def makefile(self, mode: str) -> "_PersistentFile":
        return self

    def read(self, size: int = -1) -> bytes:
        return self._buffered.read(size)

    def read1(self, size: int = -1) -> bytes:
        return self._buffered.read1(size)

    def readinto(self, buffer: Any) -> int:
        return self._buffered.readinto(buffer)

    def readline(self, limit: int = -1) -> bytes:
        return self._buffered.readline(limit)

    def peek(self, size: int = 0) -> bytes:
        return self._buffered.peek(size)

    def flush(self) -> None:
        """Do nothing, since the file is only read."""

    def close(self) -> None:
        """Do nothing, since the connection is used for further responses."""


class _RequestFormatter(http.client.HTTPConnection):
    """Collects the bytes of a request instead of sending them."""

    def __init__(self) -> None:
        super().__init__("upstream")
        self.parts: list[bytes] = []

    def send(self, data: Any) -> None:
        self.parts.append(bytes(data))


def _format_request(
    method: str, target: str, headers: tuple[tuple[str, str], ...], body: bytes
) -> bytes:
    formatter = _RequestFormatter()
    formatter.putrequest(method, target, skip_host=True, skip_accept_encoding=True)
    for name, value in headers:
        formatter.putheader(name, value.encode("latin-1"))
    if body or method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        formatter.putheader("Content-Length", str(len(body)))
    formatter.endheaders()
    return b"".join(formatter.parts) + body
