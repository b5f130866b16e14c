"""Connections to the platform's metadata store."""

import socket
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager

from foxtailshunt.fleet import Address
from foxtailshunt.http import HttpChannel, HttpResponse
from foxtailshunt.network import KEEPALIVE_SOCKET_OPTIONS, WaitOutcome, wait_readable

#: Timeout of connecting to the store, in seconds; connecting takes about 1 ms on a working link.
CONNECT_TIMEOUT_S = 0.5
#: Wait for a change from which it can be ended by :meth:`StoreConnections.renew`, in seconds.
MIN_RENEWED_WAIT_S = 0.5
#: Time in which a response that has begun in time has to be complete, in seconds; a page of 1 MB
#: takes 1.6 s on a link of 5 Mbit/s.
MAX_TRANSFER_S = 4.0
#: Maximum size of a response body, in bytes; a watch returns the changes of 20 s at most.
MAX_BODY_BYTES = 32 * 1024 * 1024


class StoreConnections:
    """One connection for each thread, so that a call that waits does not delay others.

    :param address: host and port of the store.
    """

    def __init__(self, address: Address) -> None:
        self._address = address
        self._local = threading.local()
        self._lock = threading.Lock()
        #: Connections that wait for a change, and those whose wait was ended.
        self._waiting: set[HttpChannel] = set()
        self._renewed: set[HttpChannel] = set()

    @property
    def waiting(self) -> int:
        """Return the number of calls that wait for a change."""
        with self._lock:
            return len(self._waiting)

    def renew(self) -> None:
        """Let all calls fail that wait for a change."""
        with self._lock:
            renewed, self._waiting = self._waiting, set()
            self._renewed |= renewed
            for channel in renewed:
                try:
                    channel.sock.shutdown(socket.SHUT_RDWR)
                except OSError:
                    # The connection has failed by itself, which its thread notices.
                    continue

    def connect(self, timeout_s: float) -> HttpChannel:
        """Return the connection of the current thread.

        :param timeout_s: maximum time to connect in seconds.
        :raises OSError: the connection cannot be established.
        """
        channel: HttpChannel | None = getattr(self._local, "channel", None)
        if channel is not None and channel.is_idle():
            return channel
        self.disconnect()
        self._local.channel = HttpChannel(
            self._address, min(CONNECT_TIMEOUT_S, timeout_s), KEEPALIVE_SOCKET_OPTIONS
        )
        return self._local.channel

    def exchange(
        self, channel: HttpChannel, method: str, message: bytes, timeout_s: float, wait_s: float
    ) -> HttpResponse:
        """Send a request and return the response.

        :param channel: the connection of the current thread.
        :param method: method of the request.
        :param message: the request.
        :param timeout_s: maximum time until the response begins, in seconds.
        :param wait_s: how long the store may wait for a change, in seconds; 0 for other calls.
        :raises http.client.HTTPException: the response is malformed, incomplete or too large.
        :raises OSError: there was no response in time, or the wait was ended.
        """
        deadline = time.monotonic() + timeout_s
        channel.send(message, deadline)
        remaining_s = max(0.0, deadline - time.monotonic())
        with self._renewable(channel, wait_s):
            outcome = wait_readable(channel.sock, remaining_s, None)
        if outcome is WaitOutcome.TIMED_OUT:
            raise TimeoutError("timed out waiting for the response")
        return channel.receive(method, time.monotonic() + MAX_TRANSFER_S, MAX_BODY_BYTES)

    def disconnect(self) -> bool:
        """Reset the connection: if a response was lost on it, it may deliver no further ones.

        :returns: whether its last wait was ended by :meth:`renew`.
        """
        channel: HttpChannel | None = getattr(self._local, "channel", None)
        self._local.channel = None
        if channel is None:
            return False
        with self._lock:
            was_renewed = channel in self._renewed
            self._renewed.discard(channel)
        channel.reset()
        return was_renewed

    @contextmanager
    def _renewable(self, channel: HttpChannel, wait_s: float) -> Iterator[None]:
        if wait_s < MIN_RENEWED_WAIT_S:
            yield
            return
        with self._lock:
            self._waiting.add(channel)
        try:
            yield
        finally:
            with self._lock:
                self._waiting.discard(channel)
