"""HTTP connections to upstreams.

While a request waits for its response, the caller's connection is watched as well, so that the
request is cancelled when the caller disconnects.
"""

import http.client
import socket
import time
from collections.abc import Callable

from foxtailshunt.errors import FoxtailshuntError, ResultCode
from foxtailshunt.fleet import Address
from foxtailshunt.http import HttpChannel, format_request
from foxtailshunt.memory import NoMemoryError, Reservation
from foxtailshunt.network import UPSTREAM_SOCKET_OPTIONS, WaitOutcome, wait_readable
from foxtailshunt.platform import UpstreamResponse

#: Timeout for connecting to an upstream, in seconds; the network latency is about 1 ms.
CONNECT_TIMEOUT_S = 0.12
#: Idle timeout of a connection if the upstream does not state one, in seconds.
IDLE_LIMIT_S = 4.0
#: How long before the upstream's own idle timeout a connection is closed, in seconds.
IDLE_MARGIN_S = 1.5
#: Number of responses to other requests that are skipped before a connection is reset.
MAX_MISMATCHED_RESPONSES = 2
#: Size from which a body is sent separately instead of being copied behind its head, in bytes.
SEPARATE_BODY_BYTES = 65_536
#: Longest wait for memory for a response, in seconds; upstreams cut responses off that stay unread
#: for some seconds.
MEMORY_WAIT_S = 2.0


class ChannelError(FoxtailshuntError):
    """A request failed without a usable response.

    :param code: the result code of the request.
    :param message: the reason.
    :param sent: False if no byte of the request can have reached the upstream.
    :param refused: True if no process listens at the address of the upstream.
    """

    def __init__(self, code: ResultCode, message: str, sent: bool, refused: bool = False) -> None:
        super().__init__(code, message)
        self.sent = sent
        self.refused = refused


class UpstreamChannel:
    """A connection to an upstream; not safe for concurrent use.

    :param address: host and port of the upstream.
    :raises ChannelError: the connection cannot be established.
    """

    def __init__(self, address: Address) -> None:
        try:
            self._http = HttpChannel(address, CONNECT_TIMEOUT_S, UPSTREAM_SOCKET_OPTIONS)
        except OSError as exc:
            raise ChannelError(
                ResultCode.UPSTREAM_CONNECTION_LOST,
                f"cannot connect: {exc}",
                sent=False,
                refused=isinstance(exc, ConnectionRefusedError),
            ) from exc
        self._reusable = True
        self._idle_until = 0.0

    def is_usable(self) -> bool:
        """Return whether the idle connection can be used for another request."""
        return self._reusable and time.monotonic() < self._idle_until and self._http.is_idle()

    def exchange(
        self,
        method: str,
        target: str,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
        deadline: float,
        caller: socket.socket | None,
        is_own_response: Callable[[UpstreamResponse], bool],
        memory: Reservation | None = None,
    ) -> UpstreamResponse:
        """Send a request and wait for its complete response.

        :param method: HTTP method.
        :param target: path and query.
        :param headers: headers except Content-Length.
        :param body: body.
        :param deadline: time of the timeout, in seconds of the monotonic clock.
        :param caller: the caller's connection; the request is cancelled if its peer closes it.
        :param is_own_response: returns False for a response to another request.
        :param memory: counts the bytes of the response; None to count none.
        :raises ChannelError: there is no usable response; the connection was reset.
        """
        try:
            is_separate = len(body) >= SEPARATE_BODY_BYTES
            message = format_request(method, target, headers, body, with_body=not is_separate)
        except (http.client.HTTPException, ValueError) as exc:
            self.reset()
            raise ChannelError(ResultCode.BAD_REQUEST, f"malformed request: {exc}", False) from exc
        try:
            self._http.send(message, deadline, body if is_separate else b"")
            return self._receive_own_response(method, deadline, caller, is_own_response, memory)
        except NoMemoryError as exc:
            self.reset()
            detail = "no memory for the response"
            raise ChannelError(ResultCode.DEADLINE_EXCEEDED, detail, True) from exc
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
        self._http.reset()

    def _receive_own_response(
        self,
        method: str,
        deadline: float,
        caller: socket.socket | None,
        is_own_response: Callable[[UpstreamResponse], bool],
        memory: Reservation | None,
    ) -> UpstreamResponse:
        for _ in range(1 + MAX_MISMATCHED_RESPONSES):
            self._wait_for_response(deadline, caller)
            response = self._receive_response(method, deadline, memory)
            if is_own_response(response):
                return response
            # An unrequested response came first, so data after the own response isn't trusted.
            self._reusable = False
        raise ValueError("only responses to other requests were received")

    def _wait_for_response(self, deadline: float, caller: socket.socket | None) -> None:
        if self._http.has_buffered():
            return
        outcome = wait_readable(self._http.sock, max(0.0, deadline - time.monotonic()), caller)
        if outcome is WaitOutcome.TIMED_OUT:
            raise TimeoutError
        if outcome is WaitOutcome.CALLER_DISCONNECTED:
            self.reset()
            raise ChannelError(ResultCode.CANCELLED, "the caller disconnected", sent=True)

    def _receive_response(
        self, method: str, deadline: float, memory: Reservation | None
    ) -> UpstreamResponse:
        def reserve(size: int) -> None:
            if memory is not None:
                memory.grow(size, min(deadline, time.monotonic() + MEMORY_WAIT_S))

        received = self._http.receive(method, deadline, reserve=reserve)
        response = UpstreamResponse(received.status, received.headers, received.body)
        stated_idle_s = response.keep_alive_s
        idle_s = IDLE_LIMIT_S if stated_idle_s is None else max(0.0, stated_idle_s - IDLE_MARGIN_S)
        self._idle_until = time.monotonic() + min(idle_s, 2 * IDLE_LIMIT_S)
        if received.closes_connection or self._http.has_buffered():
            self._reusable = False
        return response
