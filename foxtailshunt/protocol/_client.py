"""Clients of the inner protocol: one connection, and a pool of connections to one peer."""

import logging
import socket
import struct
import threading
import time
from types import ModuleType
from typing import Any

from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.Thrift import TException
from thrift.transport.TSocket import TSocket
from thrift.transport.TTransport import TFramedTransport

from foxtailshunt.errors import PeerUnreachableError
from foxtailshunt.network import (
    KEEPALIVE_SOCKET_OPTIONS,
    WaitOutcome,
    is_idle,
    source_address,
    wait_readable,
)
from foxtailshunt.protocol._limits import CONNECT_TIMEOUT_S, MAX_FRAME_BYTES
from foxtailshunt.protocol._validation import check_required_fields

# The library logs each refused connection with a traceback; callers get the error and count it.
logging.getLogger("thrift").setLevel(logging.CRITICAL)

# l_onoff = 1, l_linger = 0: close() resets the connection and drops unsent data.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)

_CALL_ERRORS = (TException, OSError, EOFError, ValueError, TypeError, IndexError, struct.error)


class CallerDisconnectedError(PeerUnreachableError):
    """The caller for whom a call was made went away; the connection was reset.

    :param message: what was called.
    """

    def __init__(self, message: str) -> None:
        super().__init__(message, sent=True)


class PeerClient:
    """One connection to a peer's Thrift service; used by one thread at a time.

    :param service: the generated service module, for example ``gen.Peer``.
    :param address: host and port of the peer.
    """

    def __init__(self, service: ModuleType, address: tuple[str, int]) -> None:
        self.address = address
        #: When the connection was last put aside, in seconds of the monotonic clock.
        self.idle_since = 0.0
        self._socket = TSocket(*address)
        self._transport = TFramedTransport(self._socket, MAX_FRAME_BYTES)
        self._client = service.Client(TCompactProtocolAccelerated(self._transport))

    def open(self) -> None:
        """Connect.

        :raises PeerUnreachableError: nothing was sent.
        """
        try:
            handle = socket.create_connection(self.address, CONNECT_TIMEOUT_S, source_address())
        except OSError as exc:
            raise PeerUnreachableError(f"cannot connect to {self.address}: {exc}", sent=False)
        for option in KEEPALIVE_SOCKET_OPTIONS:
            handle.setsockopt(*option)
        self._socket.setHandle(handle)

    def call(
        self,
        method: str,
        req: Any,
        timeout_s: float,
        caller: socket.socket | None = None,
    ) -> Any:
        """Send one request and wait for its reply.

        :param method: name of the service's method.
        :param req: its request struct.
        :param timeout_s: seconds to wait on the socket.
        :param caller: given up if this connection is closed by its peer; None for never.
        :returns: its reply struct.
        :raises CallerGoneError: the caller closed its connection.
        :raises PeerUnreachableError: the message may have reached the peer; the connection was
            reset and must not be used again.
        """
        self._socket.setTimeout(timeout_s * 1000)
        try:
            getattr(self._client, f"send_{method}")(req)
            if caller is not None:
                self._wait_for_reply(method, timeout_s, caller)
            reply = getattr(self._client, f"recv_{method}")()
            check_required_fields(reply)
        except PeerUnreachableError:
            raise
        except _CALL_ERRORS as exc:
            self.reset()
            raise PeerUnreachableError(f"{method} at {self.address} failed: {exc}", sent=True)
        return reply

    def _wait_for_reply(self, method: str, timeout_s: float, caller: socket.socket) -> None:
        readiness = wait_readable(self._socket.handle, timeout_s, caller)
        if readiness is WaitOutcome.CALLER_DISCONNECTED:
            self.reset()
            raise CallerDisconnectedError(f"{method} at {self.address}: the caller went away")
        if readiness is WaitOutcome.TIMED_OUT:
            raise TimeoutError("no reply in time")

    def reset(self) -> None:
        """Close by reset, so that the kernel delivers nothing that is still unsent."""
        handle = self._socket.handle
        if handle is not None:
            try:
                handle.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
            except OSError:
                pass
        self._transport.close()

    def close(self) -> None:
        """Close the connection."""
        self._transport.close()


class ClientPool:
    """Keeps idle connections to any number of peers; a call takes one for itself.

    :param service: the generated service module.
    :param max_idle: idle connections kept for each peer.
    """

    def __init__(self, service: ModuleType, max_idle: int) -> None:
        self._service = service
        self._max_idle = max_idle
        self._lock = threading.Lock()
        self._idle: dict[tuple[str, int], list[PeerClient]] = {}

    def call(
        self,
        address: tuple[str, int],
        method: str,
        req: Any,
        timeout_s: float,
        max_idle_s: float | None = None,
        caller: socket.socket | None = None,
    ) -> Any:
        """Call a peer on an idle connection, or on a new one.

        An idle connection that the peer has closed is found by a readability check before the
        request is sent on it, and replaced.

        :param address: host and port of the peer.
        :param method: name of the service's method.
        :param req: its request struct.
        :param timeout_s: seconds to wait for the reply.
        :param max_idle_s: a connection that was idle for longer is reset and replaced.
        :param caller: the call is given up if this connection is closed by its peer.
        :returns: the reply struct.
        :raises PeerUnreachableError: ``sent`` tells whether the peer may have seen the request.
        """
        client = self._take(address, max_idle_s)
        reply = client.call(method, req, timeout_s, caller)
        self._put_back(client)
        return reply

    def reset_idle(self, address: tuple[str, int]) -> None:
        """Reset all idle connections to a peer."""
        with self._lock:
            clients = self._idle.pop(address, [])
        for client in clients:
            client.reset()

    def close(self) -> None:
        """Close all idle connections."""
        with self._lock:
            clients = [client for idle in self._idle.values() for client in idle]
            self._idle.clear()
        for client in clients:
            client.close()

    def _take(self, address: tuple[str, int], max_idle_s: float | None) -> PeerClient:
        while True:
            with self._lock:
                idle = self._idle.get(address)
                client = idle.pop() if idle else None
            if client is None:
                client = PeerClient(self._service, address)
                client.open()
                return client
            if _is_young(client, max_idle_s) and client_is_quiet(client):
                return client
            client.reset()

    def _put_back(self, client: PeerClient) -> None:
        client.idle_since = time.monotonic()
        with self._lock:
            idle = self._idle.setdefault(client.address, [])
            if len(idle) < self._max_idle:
                idle.append(client)
                return
        client.close()


def _is_young(client: PeerClient, max_idle_s: float | None) -> bool:
    return max_idle_s is None or time.monotonic() - client.idle_since <= max_idle_s


def client_is_quiet(client: PeerClient) -> bool:
    """Return whether an idle connection is open with nothing to read.

    :param client: an idle client.
    :returns: False if the peer closed the connection or sent something nobody asked for.
    """
    handle = client._socket.handle
    return handle is not None and is_idle(handle)
