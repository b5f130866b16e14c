"""Clients of the peer protocol: a single connection, and a pool of connections to peers."""

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

from foxtailshunt.errors import PeerUnreachableError
from foxtailshunt.memory import NoMemoryError, Reservation
from foxtailshunt.network import (
    KEEPALIVE_SOCKET_OPTIONS,
    WaitOutcome,
    is_idle,
    source_address,
    wait_readable,
)
from foxtailshunt.protocol._counted_transport import CountedTransport
from foxtailshunt.protocol._limits import CONNECT_TIMEOUT_S
from foxtailshunt.protocol._validation import check_required_fields

# The library logs each refused connection with a traceback; here the error is raised and counted.
logging.getLogger("thrift").setLevel(logging.CRITICAL)

# l_onoff = 1, l_linger = 0: close() resets the connection and drops unsent data.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)

_CALL_ERRORS = (TException, OSError, EOFError, ValueError, TypeError, IndexError, struct.error)


class CallerDisconnectedError(PeerUnreachableError):
    """The caller disconnected during a call; the connection to the peer was reset.

    :param message: the method and the peer.
    """

    def __init__(self, message: str) -> None:
        super().__init__(message, sent=True)


class NoReplyMemoryError(PeerUnreachableError):
    """There was no memory for the reply to a call; the connection to the peer was reset.

    :param message: the method and the peer.
    """

    def __init__(self, message: str) -> None:
        super().__init__(message, sent=True)


class PeerClient:
    """A connection to a peer's Thrift service; used by one thread at a time.

    :param service: the generated service module, for example ``gen.Peer``.
    :param address: host and port of the peer.
    """

    def __init__(self, service: ModuleType, address: tuple[str, int]) -> None:
        self.address = address
        #: When the connection last became idle, in seconds of the monotonic clock.
        self.idle_since = 0.0
        self._socket = TSocket(*address)
        self._transport = CountedTransport(self._socket)
        self._client = service.Client(TCompactProtocolAccelerated(self._transport))

    def open(self) -> None:
        """Connect to the peer.

        :raises PeerUnreachableError: the connection failed; nothing was sent.
        """
        try:
            sock = socket.create_connection(self.address, CONNECT_TIMEOUT_S, source_address())
        except OSError as exc:
            raise PeerUnreachableError(f"cannot connect to {self.address}: {exc}", sent=False)
        for option in KEEPALIVE_SOCKET_OPTIONS:
            sock.setsockopt(*option)
        self._socket.setHandle(sock)

    def call(
        self,
        method: str,
        req: Any,
        timeout_s: float,
        caller: socket.socket | None = None,
        memory: Reservation | None = None,
    ) -> Any:
        """Send a request and wait for its reply.

        :param method: name of the service's method.
        :param req: request struct of the method.
        :param timeout_s: timeout of each socket operation in seconds.
        :param caller: the caller's connection; the call is cancelled when the caller closes it.
            None to watch no connection.
        :param memory: counts the bytes of the reply; None to count none.
        :returns: reply struct of the method.
        :raises CallerDisconnectedError: the caller closed its connection.
        :raises NoReplyMemoryError: there is no memory for the reply.
        :raises PeerUnreachableError: the call failed; the request may have reached the peer. The
            connection was reset and must not be used again.
        """
        self._socket.setTimeout(timeout_s * 1000)
        self._transport.count_next(memory)
        held = 0 if memory is None else memory.held
        try:
            getattr(self._client, f"send_{method}")(req)
            if caller is not None:
                self._wait_for_reply(method, timeout_s, caller)
            reply = getattr(self._client, f"recv_{method}")()
            check_required_fields(reply)
        except PeerUnreachableError:
            raise
        except NoMemoryError:
            self.reset()
            raise NoReplyMemoryError(f"{method} at {self.address}: no memory for the reply")
        except _CALL_ERRORS as exc:
            self.reset()
            raise PeerUnreachableError(f"{method} at {self.address} failed: {exc}", sent=True)
        if memory is not None:
            # The frame has been decoded, and only the copy remains.
            memory.shrink((memory.held - held) // 2)
        return reply

    def _wait_for_reply(self, method: str, timeout_s: float, caller: socket.socket) -> None:
        outcome = wait_readable(self._socket.handle, timeout_s, caller)
        if outcome is WaitOutcome.CALLER_DISCONNECTED:
            self.reset()
            raise CallerDisconnectedError(f"{method} at {self.address}: the caller disconnected")
        if outcome is WaitOutcome.TIMED_OUT:
            raise TimeoutError("timed out waiting for the reply")

    def interrupt(self) -> None:
        """End the call that another thread waits for; it raises ``PeerUnreachableError``."""
        sock = self._socket.handle
        if sock is None:
            return
        try:
            sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The call has just ended by itself.
            pass

    def reset(self) -> None:
        """Reset the connection, so that the kernel discards unsent data."""
        sock = self._socket.handle
        if sock is not None:
            try:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
            except OSError:
                pass
        self._transport.close()

    def close(self) -> None:
        """Close the connection."""
        self._transport.close()


class ClientPool:
    """Pool of connections to peers; each connection serves one call at a time.

    :param service: the generated service module.
    :param max_idle: maximum number of idle connections for each peer.
    """

    def __init__(self, service: ModuleType, max_idle: int) -> None:
        self._service = service
        self._max_idle = max_idle
        self._lock = threading.Lock()
        self._idle: dict[tuple[str, int], list[PeerClient]] = {}
        self._calling: set[PeerClient] = set()

    def call(
        self,
        address: tuple[str, int],
        method: str,
        req: Any,
        timeout_s: float,
        max_idle_s: float | None = None,
        caller: socket.socket | None = None,
        memory: Reservation | None = None,
    ) -> Any:
        """Call a peer on an idle connection, or on a new one.

        A readability check before the request is sent detects idle connections that the peer has
        closed; these are replaced.

        :param address: host and port of the peer.
        :param method: name of the service's method.
        :param req: request struct of the method.
        :param timeout_s: timeout of each socket operation in seconds.
        :param max_idle_s: maximum idle time in seconds; connections idle for longer are reset
            and replaced. None for no limit.
        :param caller: the caller's connection; the call is cancelled when the caller closes it.
        :param memory: counts the bytes of the reply; None to count none.
        :returns: the reply struct.
        :raises CallerDisconnectedError: the caller closed its connection.
        :raises PeerUnreachableError: the call failed; ``sent`` is True if the request may have
            reached the peer.
        """
        client = self._acquire(address, max_idle_s)
        with self._lock:
            self._calling.add(client)
        try:
            reply = client.call(method, req, timeout_s, caller, memory)
        finally:
            with self._lock:
                self._calling.discard(client)
        self._release(client)
        return reply

    def called_addresses(self) -> set[tuple[str, int]]:
        """Return the host and port of each peer that has calls in progress."""
        with self._lock:
            return {client.address for client in self._calling}

    def interrupt_calls(self) -> int:
        """End all calls in progress with ``PeerUnreachableError``, and return their number."""
        with self._lock:
            # Held until the end, so that no connection is interrupted that a new call uses.
            for client in self._calling:
                client.interrupt()
            return len(self._calling)

    def reset_idle(self, address: tuple[str, int]) -> None:
        """Reset all idle connections to a peer.

        :param address: host and port of the peer.
        """
        with self._lock:
            clients = self._idle.pop(address, [])
        for client in clients:
            client.reset()

    def close_idle(self, max_idle_s: float) -> None:
        """Close the connections that have been idle for a time.

        Only the client closes idle connections: a close by the peer could cross a request.

        :param max_idle_s: idle time in seconds.
        """
        oldest = time.monotonic() - max_idle_s
        expired: list[PeerClient] = []
        with self._lock:
            for address in list(self._idle):
                idle = self._idle[address]
                # Connections are added at the end, so the oldest one is the first.
                while idle and idle[0].idle_since < oldest:
                    expired.append(idle.pop(0))
                if not idle:
                    del self._idle[address]
        for client in expired:
            client.close()

    def close(self) -> None:
        """Close all idle connections."""
        with self._lock:
            clients = [client for idle in self._idle.values() for client in idle]
            self._idle.clear()
        for client in clients:
            client.close()

    def _acquire(self, address: tuple[str, int], max_idle_s: float | None) -> PeerClient:
        while True:
            with self._lock:
                idle = self._idle.get(address)
                client = idle.pop() if idle else None
            if client is None:
                client = PeerClient(self._service, address)
                client.open()
                return client
            if _is_within_idle_limit(client, max_idle_s) and _is_open_and_idle(client):
                return client
            client.reset()

    def _release(self, client: PeerClient) -> None:
        client.idle_since = time.monotonic()
        with self._lock:
            idle = self._idle.setdefault(client.address, [])
            if len(idle) < self._max_idle:
                idle.append(client)
                return
        client.close()


def _is_within_idle_limit(client: PeerClient, max_idle_s: float | None) -> bool:
    return max_idle_s is None or time.monotonic() - client.idle_since <= max_idle_s


def _is_open_and_idle(client: PeerClient) -> bool:
    """Return whether an idle connection is open and has no unexpected data to read."""
    sock = client._socket.handle
    return sock is not None and is_idle(sock)
