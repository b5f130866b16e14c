"""Simulated upstream: registers itself, accepts key grants, executes requests, injects faults."""

import json
import threading
import time
from collections import Counter
from enum import Enum

from standins.http import (
    CompleteResponse,
    ConnectionClosed,
    HttpServer,
    Request,
    Response,
    ResponseWithExtra,
    ResponseWithoutLength,
    TruncatedResponse,
    WithheldResponse,
    free_port,
    json_response,
)
from standins.keyowner._key_grants import KeyGrants
from standins.metadata import MetadataStore

_THREADS = 40
_HEARTBEAT_INTERVAL_S = 0.2
#: Pause that an upstream asks for, in seconds: longer than a scenario.
_PAUSE_S = 60
#: Start of an upstream that hasn't restarted, in milliseconds since the Unix epoch.
FIRST_BORN = 1_700_000_000_000


class Manner(Enum):
    """How an upstream responds to requests."""

    NORMAL = "well"
    #: Executes the request and closes the connection without a response.
    LOSES_RESPONSES = "loses answers"
    #: Sends a response to another request after each response.
    EXTRA_RESPONSE = "doubles answers"
    #: Sends responses without ``Content-Length``.
    WITHOUT_LENGTH = "answers without a length"
    #: Sends half of the body of each response.
    TRUNCATES = "cuts answers"
    #: Sends the response to another request.
    WRONG_REQUEST = "answers for another request"
    #: Rejects all requests with 503 and ``Not-Executed``.
    SHEDS_LOAD = "sheds"
    #: Rejects all requests with 503, ``Not-Executed`` and ``Retry-After``.
    ASKS_FOR_PAUSE = "asks for a pause"
    #: Responds with 503 without ``Not-Executed``.
    UNAVAILABLE = "fails"
    #: Responds with 500 at once.
    FAILS_QUICKLY = "fails quickly"
    #: Responds with 200 without ``Response-Seal``.
    WITHOUT_SEAL = "answers without the seal"


class KeyOwner:
    """Simulated upstream with its own HTTP server.

    :param upstream_id: id of the upstream.
    :param service: service of the upstream.
    :param zone: availability zone.
    :param store: store that it registers in; None to leave the registration to the test.
    :param keyed: whether it executes requests only while it holds their key.
    :param work_s: service time of a request, in seconds.
    :param slots: advertised number of concurrent requests.
    :param listen: address to listen on; None for a free port.
    :param known: advertised address; None for the address that it listens on.
    :param born: advertised start of the upstream, in milliseconds since the Unix epoch.
    :param is_cut_from_store: whether it starts without a path to the store.
    :param response_bytes: least size of the body of a response.
    """

    def __init__(
        self,
        upstream_id: str,
        service: str,
        zone: str,
        store: MetadataStore | None,
        keyed: bool = True,
        work_s: float = 0.02,
        slots: int = 2,
        listen: tuple[str, int] | None = None,
        known: tuple[str, int] | None = None,
        born: int = FIRST_BORN,
        is_cut_from_store: bool = False,
        response_bytes: int = 0,
    ) -> None:
        self._response_bytes = response_bytes
        self.upstream_id = upstream_id
        self.service = service
        self.zone = zone
        self.keyed = keyed
        self.work_s = work_s
        self.slots = slots
        self.manner = Manner.NORMAL
        self.grants = KeyGrants()
        #: Number of executions of each request, by request id.
        self.runs: Counter[str] = Counter()
        #: Highest number of requests in flight.
        self.max_in_flight = 0
        #: Whether responses to grants and releases are withheld, although they are applied.
        self.withholds_grant_responses = False
        self.is_draining = False
        self.born = born
        #: Whether its records don't reach the store.
        self.is_cut_from_store = is_cut_from_store
        #: Whether all responses to requests state that the upstream is leaving.
        self.says_leaving = False
        #: Number of requests that arrived, without grants and releases.
        self.arrivals = 0
        #: When each of them arrived, in seconds of the monotonic clock.
        self.arrival_times: list[float] = []
        self._store = store
        self._known = known
        self._running = threading.Event()
        self._running.set()
        self._lock = threading.Lock()
        self._in_flight: Counter[int] = Counter()
        self._stopping = threading.Event()
        self._sequence = 0
        self._server = HttpServer(listen or ("127.0.0.1", free_port()), self._handle, _THREADS)
        self._server.start()
        if store is not None:
            self.register()
            threading.Thread(target=self._send_heartbeats, name="heartbeat", daemon=True).start()

    @property
    def address(self) -> tuple[str, int]:
        """Return the host and port that the upstream listens on."""
        return self._server.address

    def register(self) -> None:
        """Write the record of the upstream to the store."""
        assert self._store is not None
        if self.is_cut_from_store:
            return
        self._sequence += 1
        host, port = self._known or self.address
        entry = {
            "service": self.service,
            "address": f"{host}:{port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "draining" if self.is_draining else "ready",
            "warmup_left": "0ms",
            "seq": self._sequence,
            "born": self.born,
        }
        self._store.put(f"servers/{self.upstream_id}", json.dumps(entry).encode())

    def leave(self) -> None:
        """Announce that the upstream is draining."""
        self.is_draining = True
        self.register()

    def stop(self) -> None:
        """Stop without deregistering: the record stays in the store until it is removed."""
        self._stopping.set()
        self._running.set()
        self._server.stop()

    def crash(self) -> None:
        """Stop and end all grants; the port can be reused at once."""
        self.stop()
        self.grants.end_all()

    def freeze(self) -> None:
        """Pause the upstream: it sends neither responses nor heartbeats."""
        self._running.clear()

    def resume(self) -> None:
        """Resume after :meth:`freeze`."""
        self._running.set()

    def _send_heartbeats(self) -> None:
        while not self._stopping.wait(_HEARTBEAT_INTERVAL_S):
            self._running.wait()
            if not self._stopping.is_set():
                self.register()

    def _handle(self, req: Request) -> Response:
        arrived = time.monotonic()
        self._running.wait()
        if not self.keyed and "attempt-id" not in req.headers:
            # Regardless of the path: an upstream of a service without keys accepts no grants.
            return CompleteResponse(400, b"", (("Not-Executed", "1"),))
        if req.headers.get("expect-instance", self.upstream_id) != self.upstream_id:
            return CompleteResponse(
                421, b"", (("Not-Executed", "1"), ("Instance-Id", self.upstream_id))
            )
        if req.path in ("/api/grant", "/api/release"):
            response = self._handle_grant_request(req, arrived)
            return WithheldResponse() if self.withholds_grant_responses else response
        with self._lock:
            self.arrivals += 1
            self.arrival_times.append(arrived)
        response = self._execute(req)
        if self.says_leaving and isinstance(response, CompleteResponse):
            leaving = (*response.headers, ("Server-Leaving", "1"))
            return CompleteResponse(response.status, response.body, leaving)
        return response

    def _handle_grant_request(self, req: Request, arrived: float) -> Response:
        params = json.loads(req.body)
        first, last, fence = params["from"], params["to"], params["fence"]
        if req.path == "/api/grant":
            hold_s = float(params["hold_time"].removesuffix("ms")) / 1000
            accepted = self.grants.grant(first, last, fence, hold_s, arrived)
            return json_response(200 if accepted else 409, {})
        self.grants.release(first, last, fence)
        while any(self._in_flight[key] for key in list(self._in_flight) if first <= key <= last):
            time.sleep(0.002)
        return CompleteResponse(200, b"", (("Handover", f"{fence:016x}"),))

    def _execute(self, req: Request) -> Response:
        request_id = req.headers.get("attempt-id", "")
        key = int(req.headers.get("shard-key", "0"))
        if self.keyed and not self.grants.holds(key):
            return CompleteResponse(421, b"", (("Not-Executed", "1"),))
        if self.manner is Manner.SHEDS_LOAD:
            return CompleteResponse(503, b"", (("Not-Executed", "1"), ("Attempt-Id", request_id)))
        if self.manner is Manner.ASKS_FOR_PAUSE:
            refusal = (("Not-Executed", "1"), ("Attempt-Id", request_id))
            return CompleteResponse(503, b"", (*refusal, ("Retry-After", str(_PAUSE_S))))
        if self.manner is Manner.FAILS_QUICKLY:
            return CompleteResponse(500, b"", (("Attempt-Id", request_id),))
        with self._lock:
            self.runs[request_id] += 1
            self._in_flight[key] += 1
            self.max_in_flight = max(self.max_in_flight, self._in_flight.total())
        try:
            time.sleep(self.work_s)
            self._running.wait()
        finally:
            with self._lock:
                self._in_flight[key] -= 1
        return self._make_response(request_id, req)

    def _make_response(self, request_id: str, req: Request) -> Response:
        body = f"{self.upstream_id} ran {req.method} {req.path}".encode().ljust(
            self._response_bytes
        )
        complete = _sealed_response(request_id, body)
        foreign = _sealed_response("another", b"not yours")
        if self.manner is Manner.LOSES_RESPONSES:
            return ConnectionClosed()
        if self.manner is Manner.EXTRA_RESPONSE:
            return ResponseWithExtra(complete, foreign)
        if self.manner is Manner.WITHOUT_LENGTH:
            return ResponseWithoutLength(complete)
        if self.manner is Manner.TRUNCATES:
            return TruncatedResponse(complete)
        if self.manner is Manner.WRONG_REQUEST:
            return foreign
        if self.manner is Manner.UNAVAILABLE:
            return CompleteResponse(503, b"", (("Attempt-Id", request_id),))
        if self.manner is Manner.WITHOUT_SEAL:
            return CompleteResponse(200, body, (("Attempt-Id", request_id),))
        return complete


def _sealed_response(request_id: str, body: bytes) -> CompleteResponse:
    headers = (("Attempt-Id", request_id), ("Response-Seal", "seal"), ("Keep-Alive", "timeout=10"))
    return CompleteResponse(200, body, headers)
