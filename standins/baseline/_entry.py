"""A baseline entry: first come first served, direct sending with divided limits."""

import threading
import time
from collections import deque
from collections.abc import Callable, Iterable
from contextlib import contextmanager
from typing import Any

import urllib3
from cheroot import wsgi

from foxtailshunt.config import Configuration, Operation, Service, Upstream
from foxtailshunt.errors import ResultCode
from foxtailshunt.ownership import Address, slot_of_key

_SHED_PAUSE_S = 0.005
_THREADS = 112
_QUEUE = 64
_HIGHEST_READING_MS = 2**62


class _FairSemaphore:
    """A semaphore that serves waiters in order of arrival."""

    def __init__(self, permits: int) -> None:
        self._permits = permits
        self._lock = threading.Lock()
        self._waiting: deque[threading.Event] = deque()

    def acquire(self, timeout_s: float) -> bool:
        """Take a permit; False after the timeout.

        :param timeout_s: longest wait in seconds.
        """
        with self._lock:
            if self._permits > 0 and not self._waiting:
                self._permits -= 1
                return True
            turn = threading.Event()
            self._waiting.append(turn)
        if turn.wait(max(0.0, timeout_s)):
            return True
        with self._lock:
            if turn.is_set():
                return True
            self._waiting.remove(turn)
        return False

    def release(self) -> None:
        """Give a permit back."""
        with self._lock:
            if self._waiting:
                self._waiting.popleft().set()
            else:
                self._permits += 1


class _Target:
    """One upstream with this entry's share of its slots."""

    def __init__(self, upstream: Upstream, share: int, connections: int) -> None:
        self.turns = _FairSemaphore(share)
        host, port = upstream.address
        self.pool = urllib3.HTTPConnectionPool(host, port, maxsize=connections, retries=False)


class BaselineEntry:
    """A baseline entry process.

    :param address: where it serves callers.
    :param cfg: the configuration.
    :param entries: number of baseline entries that share the upstreams' slots.
    """

    def __init__(self, address: Address, cfg: Configuration, entries: int) -> None:
        self._cfg = cfg
        self._targets = {
            upstream.upstream_id: self._make_target(service, upstream, entries)
            for service in cfg.services.values()
            for upstream in service.upstreams
        }
        self._server = wsgi.Server(
            address, self._application, numthreads=_THREADS, request_queue_size=_QUEUE
        )

    def serve(self) -> None:
        """Serve until the process ends."""
        self._server.start()

    def _make_target(self, service: Service, upstream: Upstream, entries: int) -> _Target:
        share = max(1, service.limits.slots // entries)
        return _Target(upstream, share, max(1, service.limits.connections // entries))

    def _application(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        body = environ["wsgi.input"].read(int(environ.get("CONTENT_LENGTH") or 0))
        request_id = environ.get("HTTP_X_REQUEST_ID", "")
        code, status, answer = self._answer(method, path, request_id, body)
        headers = [("X-Request-Id", request_id), ("X-Result-Code", str(int(code)))]
        headers.append(("Content-Length", str(len(answer))))
        start_response(f"{status} -", headers)
        return [answer]

    def _answer(
        self, method: str, path: str, request_id: str, body: bytes
    ) -> tuple[ResultCode, int, bytes]:
        found = self._route(method, path)
        if found is None:
            return ResultCode.NO_ROUTE, 404, b""
        service, operation, key = found
        deadline = time.monotonic() + operation.deadline_s
        slot = slot_of_key(key, service.slot_count)
        upstream = service.upstreams[slot % len(service.upstreams)]
        target = self._targets[upstream.upstream_id]
        headers = {"X-Request-Id": request_id, "X-Key": key, "X-Slot": str(slot)}
        headers |= {"X-Fence": "1.1", "X-Deadline-Reading-Ms": str(_HIGHEST_READING_MS)}
        while time.monotonic() < deadline:
            with _turn(target, deadline) as taken:
                if not taken:
                    return ResultCode.TOO_LATE, 503, b""
                code, status, answer = self._send(target, method, path, headers, body, deadline)
            if code is not ResultCode.REFUSED_BY_UPSTREAM:
                return code, status, answer
            time.sleep(_SHED_PAUSE_S)
        return ResultCode.TOO_LATE, 503, b""

    def _send(
        self,
        target: _Target,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        deadline: float,
    ) -> tuple[ResultCode, int, bytes]:
        timeout = urllib3.Timeout(total=max(0.001, deadline - time.monotonic()))
        try:
            response = target.pool.request(
                method, path, body=body or None, headers=headers, timeout=timeout
            )
        except urllib3.exceptions.HTTPError:
            return ResultCode.UPSTREAM_CONNECTION_LOST, 502, b""
        if response.headers.get("X-Outcome") == "ran":
            return ResultCode.OK, response.status, response.data
        return ResultCode.REFUSED_BY_UPSTREAM, 503, b""

    def _route(self, method: str, path: str) -> tuple[Service, Operation, str] | None:
        parts = path.split("/")
        for service in self._cfg.services.values():
            for operation in service.operations:
                key = _match(operation, method, parts)
                if key is not None:
                    return service, operation, key
        return None


def _match(operation: Operation, method: str, parts: list[str]) -> str | None:
    pattern = operation.path.split("/")
    if operation.method != method or len(pattern) != len(parts):
        return None
    key = None
    for wanted, part in zip(pattern, parts, strict=True):
        if wanted == "{key}":
            key = part
        elif wanted != part:
            return None
    return key


@contextmanager
def _turn(target: _Target, deadline: float) -> Any:
    taken = target.turns.acquire(deadline - time.monotonic())
    try:
        yield taken
    finally:
        if taken:
            target.turns.release()
