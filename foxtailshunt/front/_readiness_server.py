"""HTTP server for the readiness checks of the platform's load balancer."""

import threading
from collections.abc import Callable, Iterable
from typing import Any

from cheroot import wsgi

from foxtailshunt.fleet import Address
from foxtailshunt.telemetry import EarlyBindingServer

_THREADS = 2
_MAX_REQUEST_BYTES = 16_384
_TIMEOUT_S = 5


class _WsgiServer(EarlyBindingServer, wsgi.Server):
    """WSGI server whose address is bound before it starts."""


class ReadinessServer:
    """Responds with 200 while the node accepts new connections, else 503, on any path.

    :param address: host and port.
    :param is_ready: returns whether the node is ready.
    :raises FoxtailshuntError: with ``ADDRESS_IN_USE`` if the address cannot be bound.
    """

    def __init__(self, address: Address, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready
        self._server = _WsgiServer(address, self._application, numthreads=_THREADS)
        self._server.max_request_header_size = _MAX_REQUEST_BYTES
        self._server.max_request_body_size = _MAX_REQUEST_BYTES
        self._server.timeout = _TIMEOUT_S
        self._server.bind_listener()
        self._thread = threading.Thread(target=self._server.serve, name="readiness", daemon=True)

    def start(self) -> None:
        """Start the server."""
        self._server.prepare()
        self._thread.start()

    def _application(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        status = "200 OK" if self._is_ready() else "503 Service Unavailable"
        start_response(status, [("Content-Length", "0")])
        return [b""]
