"""HTTP server of the operator port: metrics, health, state dump and configuration in force."""

import json
import threading
from collections.abc import Callable, Iterable
from typing import Any

from cheroot import wsgi

from foxtailshunt.network import Address
from foxtailshunt.telemetry._early_binding import EarlyBindingServer
from foxtailshunt.telemetry._metrics import Metrics

_THREADS = 2
_MAX_REQUEST_BYTES = 16_384
_TIMEOUT_S = 5

#: Returns the state of the process as a JSON document.
DumpSource = Callable[[], dict[str, Any]]


class _WsgiServer(EarlyBindingServer, wsgi.Server):
    """A WSGI server whose socket is bound before the server starts."""


class OperatorServer:
    """Serves metrics, health checks and state dumps to operators.

    :param address: host and port to listen on.
    :param metrics: metrics rendered at ``/metrics``.
    :param dump: returns the state of the process for ``/dump``.
    :param health: returns whether the process is healthy for ``/health``.
    :param configuration: returns the configuration in force for ``/configuration``.
    :raises FoxtailshuntError: with ``ADDRESS_IN_USE`` if the address cannot be bound.
    """

    def __init__(
        self,
        address: Address,
        metrics: Metrics,
        dump: DumpSource,
        health: Callable[[], bool],
        configuration: Callable[[], bytes],
    ) -> None:
        self._metrics = metrics
        self._dump = dump
        self._health = health
        self._configuration = configuration
        self._server = _WsgiServer(address, self._application, numthreads=_THREADS)
        self._server.max_request_header_size = _MAX_REQUEST_BYTES
        self._server.max_request_body_size = _MAX_REQUEST_BYTES
        self._server.timeout = _TIMEOUT_S
        self._server.bind_listener()
        self._thread = threading.Thread(target=self._server.serve, name="operator", daemon=True)

    def start(self) -> None:
        """Start the server thread."""
        self._server.prepare()
        self._thread.start()

    def stop(self) -> None:
        """Stop the server."""
        self._server.stop()

    def _application(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        status, content_type, body = self._respond(environ["PATH_INFO"])
        headers = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
        start_response(status, headers)
        return [body]

    def _respond(self, path: str) -> tuple[str, str, bytes]:
        if path == "/metrics":
            body, headers = self._metrics.render()
            return "200 OK", headers["Content-Type"], body
        if path == "/health":
            healthy = self._health()
            status = "200 OK" if healthy else "503 Service Unavailable"
            return status, "application/json", json.dumps({"healthy": healthy}).encode()
        if path == "/dump":
            body = json.dumps(self._dump(), indent=1, default=str).encode()
            return "200 OK", "application/json", body
        if path == "/configuration":
            return "200 OK", "application/json", self._configuration()
        message = b"try /metrics, /health, /dump or /configuration\n"
        return "404 Not Found", "text/plain", message
