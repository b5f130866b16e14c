"""HTTP calls to the platform with the outcome of each failure told apart."""

import socket
import struct
import threading

from urllib3 import HTTPConnectionPool, Timeout
from urllib3.connection import HTTPConnection
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError, ReadTimeoutError
from urllib3.response import BaseHTTPResponse

from foxtailshunt.errors import StoreUnavailableError, StoreUnknownError
from foxtailshunt.network import source_address
from foxtailshunt.ownership import Address

_CONNECTIONS = 64
_BUSY_STATUSES = (429, 503)
# l_onoff = 1, l_linger = 0: close() resets the connection, so that the kernel delivers no call that
# was given up.
_RESET_ON_CLOSE = (socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
_SOCKET_OPTIONS = [*HTTPConnection.default_socket_options, _RESET_ON_CLOSE]


class HttpCalls:
    """Calls to the first of several addresses that answers; safe to use from any thread.

    :param addresses: the platform's addresses.
    :param timeout_s: time for connecting, and for an answer besides the call's own wait.
    """

    def __init__(self, addresses: tuple[Address, ...], timeout_s: float) -> None:
        self._timeout_s = timeout_s
        self._lock = threading.Lock()
        self._pools = [_make_pool(address) for address in addresses]

    def read(self, target: str, wait_s: float = 0.0) -> BaseHTTPResponse:
        """Send a GET.

        :param target: path and query.
        :param wait_s: time that the platform may let the call wait, in seconds.
        :raises StoreUnavailableError: no address answered.
        """
        failure: HTTPError | None = None
        for pool in self._pools_in_order():
            try:
                return self._send(pool, "GET", target, None, wait_s)
            except ReadTimeoutError as exc:
                self._put_last(pool)
                raise StoreUnavailableError(f"read without an answer: {exc}")
            except HTTPError as exc:
                self._put_last(pool)
                failure = exc
        raise StoreUnavailableError(f"no address of the platform answered: {failure}")

    def write(self, target: str, body: bytes) -> BaseHTTPResponse:
        """Send a PUT, to one address only once anything may have arrived.

        :param target: path and query.
        :param body: the body.
        :raises StoreUnavailableError: the call had no effect.
        :raises StoreUnknownError: the call may have had its effect.
        """
        failure: HTTPError | None = None
        for pool in self._pools_in_order():
            try:
                return self._send(pool, "PUT", target, body, 0.0)
            except (NewConnectionError, ConnectTimeoutError) as exc:
                self._put_last(pool)
                failure = exc
            except HTTPError as exc:
                self._put_last(pool)
                raise StoreUnknownError(f"the answer to a write was lost: {exc}")
        raise StoreUnavailableError(f"no address of the platform answered: {failure}")

    def close(self) -> None:
        """Close all idle connections."""
        for pool in self._pools:
            pool.close()

    def _send(
        self, pool: HTTPConnectionPool, method: str, target: str, body: bytes | None, wait_s: float
    ) -> BaseHTTPResponse:
        timeout = Timeout(connect=self._timeout_s, read=self._timeout_s + wait_s)
        response = pool.urlopen(
            method, target, body=body, retries=False, redirect=False, timeout=timeout
        )
        if response.status in _BUSY_STATUSES:
            raise StoreUnavailableError(f"the platform answered {response.status}")
        return response

    def _pools_in_order(self) -> list[HTTPConnectionPool]:
        with self._lock:
            return list(self._pools)

    def _put_last(self, pool: HTTPConnectionPool) -> None:
        with self._lock:
            self._pools.remove(pool)
            self._pools.append(pool)


def _make_pool(address: Address) -> HTTPConnectionPool:
    host, port = address
    return HTTPConnectionPool(
        host,
        port,
        maxsize=_CONNECTIONS,
        block=False,
        source_address=source_address(),
        socket_options=_SOCKET_OPTIONS,
    )
