"""A caller of a node, which checks that each response is complete and belongs to its request."""

import json
import time
from dataclasses import dataclass
from typing import Any

import urllib3

from foxtailshunt.errors import Family, ResultCode, family_of
from foxtailshunt.network import Address

_CONNECT_TIMEOUT_S = 2.0
_READ_MARGIN_S = 2.0


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """One request of a caller."""

    #: Name of the service.
    service: str
    #: Name of the operation.
    operation: str
    #: The key.
    key: str
    #: Sent as ``X-Request-Id``; None has the node assign one.
    request_id: str | None
    #: Request body.
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class CallerResponse:
    """The response that a caller received."""

    #: The result code; None if no response with a code arrived.
    code: ResultCode | None
    #: HTTP status; 0 if no response arrived.
    status: int
    #: The upstream that ran the request; empty if it did not run.
    owner: str
    #: False if the response belongs to another request or is truncated.
    right: bool
    #: Time from sending to the complete response, in seconds.
    elapsed_s: float
    #: Description of the error, or the message of the node.
    detail: str

    @property
    def family(self) -> Family:
        """Return the result family, which says whether the request ran."""
        return family_of(self.code) if self.code is not None else Family.UNKNOWN


class OperationCatalog:
    """Methods, paths, ranks and deadlines by service and operation, from a configuration.

    :param document: content of the configuration file.
    """

    def __init__(self, document: str) -> None:
        self._operations: dict[tuple[str, str], dict[str, Any]] = {}
        for service in json.loads(document)["services"]:
            for operation in service["operations"]:
                self._operations[service["name"], operation["name"]] = operation

    def method_and_path(self, req: CallerRequest) -> tuple[str, str]:
        """Return the method and path of a request; a path without a route if it is unknown.

        :param req: the request.
        """
        operation = self._operations.get((req.service, req.operation))
        if operation is None:
            return "GET", f"/{req.operation}/{req.key}"
        return operation["method"], operation["path"].replace("{key}", req.key)

    def rank(self, req: CallerRequest) -> str:
        """Return the rank of a request; empty if its operation is unknown.

        :param req: the request.
        """
        operation = self._operations.get((req.service, req.operation))
        return operation["rank"] if operation else ""

    def deadline_s(self, req: CallerRequest) -> float:
        """Return the deadline of a request in seconds.

        :param req: the request.
        """
        operation = self._operations.get((req.service, req.operation))
        return operation["deadline_ms"] / 1000 if operation else _READ_MARGIN_S

    def idempotent(self, req: CallerRequest) -> bool:
        """Return whether a request may be executed more than once.

        :param req: the request.
        """
        operation = self._operations.get((req.service, req.operation))
        return bool(operation and operation["idempotent"])


class Caller:
    """Sends requests to one node over keep-alive connections; thread-safe.

    :param entry: address at which the node accepts callers.
    :param catalog: the operations.
    :param connections: maximum number of idle connections kept.
    """

    def __init__(self, entry: Address, catalog: OperationCatalog, connections: int = 1) -> None:
        self._catalog = catalog
        self._pool = urllib3.HTTPConnectionPool(
            entry[0], entry[1], maxsize=connections, retries=False
        )

    def send(self, req: CallerRequest) -> CallerResponse:
        """Send a request and wait for the complete response.

        :param req: the request.
        """
        method, path = self._catalog.method_and_path(req)
        headers = {"X-Request-Id": req.request_id} if req.request_id else {}
        read_s = self._catalog.deadline_s(req) + _READ_MARGIN_S
        started = time.monotonic()
        try:
            response = self._pool.request(
                method,
                path,
                body=req.body or None,
                headers=headers,
                timeout=urllib3.Timeout(connect=_CONNECT_TIMEOUT_S, read=read_s),
            )
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            elapsed_s = time.monotonic() - started
            return CallerResponse(None, 0, "", True, elapsed_s, f"{type(exc).__name__}: {exc}")
        elapsed_s = time.monotonic() - started
        return _check_response(req, response, (method, path), elapsed_s)

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()


def _check_response(
    req: CallerRequest,
    response: urllib3.BaseHTTPResponse,
    path: tuple[str, str],
    elapsed_s: float,
) -> CallerResponse:
    code_text = response.headers.get("X-Result-Code", "")
    if not code_text.isdigit():
        detail = f"HTTP {response.status} without a result code"
        return CallerResponse(None, response.status, "", True, elapsed_s, detail)
    code = ResultCode(int(code_text))
    response_id = response.headers.get("X-Request-Id", "")
    # The node does not echo a malformed id.
    is_echoed = req.request_id in (None, response_id) or code is ResultCode.BAD_REQUEST
    if not is_echoed:
        return CallerResponse(code, response.status, "", False, elapsed_s, f"id {response_id}")
    if family_of(code) is not Family.RAN:
        detail = response.data.decode(errors="replace")
        return CallerResponse(code, response.status, "", True, elapsed_s, detail)
    return _check_body(req, code, response, path, elapsed_s)


def _check_body(
    req: CallerRequest,
    code: ResultCode,
    response: urllib3.BaseHTTPResponse,
    path: tuple[str, str],
    elapsed_s: float,
) -> CallerResponse:
    """Check that the body names this request; the owner that it names ran the request."""
    method, target = path
    text = response.data.decode(errors="replace")
    owner, _, executed = text.partition(" ran ")
    is_right = executed == f"{method} {target.partition('?')[0]}"
    detail = "" if is_right else f"response to another request: {text[:80]}"
    return CallerResponse(code, response.status, owner, is_right, elapsed_s, detail)
