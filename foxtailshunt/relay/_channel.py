"""One HTTP connection to an upstream, watched together with the caller's connection."""

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

#: Time to establish a connection to an upstream, in seconds; a link takes about 1 ms.
CONNECT_TIMEOUT_S = 0.12
#: Idle time after which a connection is not used again if the upstream does not say, in seconds.
IDLE_LIMIT_S = 4.0
#: How much sooner than the upstream an idle connection is given up, in seconds.
IDLE_MARGIN_S = 1.5
#: Largest answer body, in bytes.
MAX_ANSWER_BYTES = 64 * 1024 * 1024
#: Answers of other requests that are skipped before a connection is given up.
MAX_FOREIGN_ANSWERS = 2

# l_onoff = 1, l_linger = 0: closing resets the connection and drops unsent data.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ChannelError(FoxtailshuntError):
    """A request without a usable answer.

    :param code: what is known of the request.
    :param message: what went wrong.
    :param sent: False if no byte of the request can have reached the upstream.
    """

    def __init__(self, code: ResultCode, message: str, sent: bool) -> None:
        super().__init__(code, message)
        self.sent = sent


class UpstreamChannel:
    """One connection; used by one thread at a time.

    :param address: host and port of the upstream.
    :raises ChannelError: the upstream cannot be connected to.
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
        """Return whether the idle connection may carry another request."""
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
        """Send a request and wait for its whole answer.

        :param method: HTTP method.
        :param target: path and query.
        :param headers: headers without the body's length.
        :param body: body.
        :param deadline: when to give up, in seconds of the monotonic clock.
        :param caller: given up if this connection is closed by its peer.
        :param belongs: false for an answer of another request.
        :raises ChannelError: there is no usable answer; the connection was reset.
        """
        try:
            message = _format_request(method, target, headers, body)
        except (http.client.HTTPException, ValueError) as exc:
            self.reset()
            raise ChannelError(ResultCode.BAD_REQUEST, f"malformed request: {exc}", False) from exc
        try:
            self._sock.settimeout(max(0.001, deadline - time.monotonic()))
            self._sock.sendall(message)
            return self._read_own_answer(method, deadline, caller, is_own_response)
        except TimeoutError as exc:
            self.reset()
            raise ChannelError(ResultCode.DEADLINE_EXCEEDED, "no answer in time", True) from exc
        except (http.client.HTTPException, OSError, ValueError) as exc:
            self.reset()
            detail = f"{type(exc).__name__}: {exc}"[:200]
            raise ChannelError(ResultCode.UPSTREAM_CONNECTION_LOST, detail, True) from exc

    def reset(self) -> None:
        """Close by reset, so that the upstream stops work and nothing unsent is delivered."""
        self._reusable = False
        if self._sock.fileno() < 0:
            return
        try:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        except OSError:
            # The connection has failed already; closing it is all that is left to do.
            pass
        os.close(self._sock.detach())

    def _read_own_answer(
        self,
        method: str,
        deadline: float,
        caller: socket.socket | None,
        is_own_response: Callable[[UpstreamResponse], bool],
    ) -> UpstreamResponse:
        self._reader.deadline = deadline
        for _ in range(1 + MAX_FOREIGN_ANSWERS):
            self._wait_for_answer(deadline, caller)
            answer = self._read_answer(method)
            if is_own_response(answer):
                return answer
            # Bytes that nobody asked for came first; nothing after the own answer is trusted.
            self._reusable = False
        raise ValueError("answers of other requests")

    def _wait_for_answer(self, deadline: float, caller: socket.socket | None) -> None:
        if self._has_buffered():
            return
        readiness = wait_readable(self._sock, max(0.0, deadline - time.monotonic()), caller)
        if readiness is WaitOutcome.TIMED_OUT:
            raise TimeoutError
        if readiness is WaitOutcome.CALLER_DISCONNECTED:
            self.reset()
            raise ChannelError(ResultCode.CANCELLED, "the caller went away", sent=True)

    def _has_buffered(self) -> bool:
        self._reader.may_receive = False
        try:
            return bool(self._buffered.peek(1))
        finally:
            self._reader.may_receive = True

    def _read_answer(self, method: str) -> UpstreamResponse:
        source: Any = _PersistentFile(self._buffered)
        resp = http.client.HTTPResponse(source, method=method)
        resp.begin()
        body = resp.read(MAX_ANSWER_BYTES + 1)
        if len(body) > MAX_ANSWER_BYTES:
            raise ValueError("the answer is too large")
        if resp.length not in (None, 0):
            raise http.client.IncompleteRead(body, resp.length)
        answer = UpstreamResponse(resp.status, tuple(resp.getheaders()), body)
        keep_s = answer.keep_alive_s
        idle_s = IDLE_LIMIT_S if keep_s is None else max(0.0, keep_s - IDLE_MARGIN_S)
        self._idle_until = time.monotonic() + min(idle_s, 2 * IDLE_LIMIT_S)
        if resp.will_close or self._has_buffered():
            self._reusable = False
        return answer


class _DeadlineReader(io.RawIOBase):
    """Reads a socket under one deadline for a whole answer."""

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
    """Lets several answers be read from one buffer, whatever closes it in between."""

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
        """Do nothing: nothing is written."""

    def close(self) -> None:
        """Do nothing: the connection outlives one answer."""


class _RequestFormatter(http.client.HTTPConnection):
    """Formats a request into bytes."""

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
