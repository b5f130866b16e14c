"""An upstream: registers itself, takes orders about keys, runs requests, and fails on demand."""

import json
import socket
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
    json_response,
)
from standins.keyowner._key_grants import KeyGrants
from standins.metadata import MetadataStore

_THREADS = 40
_HEARTBEAT_S = 0.2


class Manner(Enum):
    """How an upstream answers requests."""

    NORMAL = "well"
    #: Runs the request and closes the connection without an answer.
    LOSES_RESPONSES = "loses answers"
    #: Sends a second answer of another request behind each answer.
    EXTRA_RESPONSE = "doubles answers"
    #: Sends answers without a length.
    WITHOUT_LENGTH = "answers without a length"
    #: Sends half of each answer.
    TRUNCATES = "cuts answers"
    #: Answers for another request.
    WRONG_REQUEST = "answers for another request"
    #: Refuses all requests as not run.
    SHEDS_LOAD = "sheds"
    #: Answers 503 without saying that nothing was run.
    UNAVAILABLE = "fails"
    #: Answers 200 without the seal.
    WITHOUT_SEAL = "answers without the seal"


class KeyOwner:
    """One upstream with a server of its own.

    :param upstream_id: its id.
    :param service: its service.
    :param zone: its availability zone.
    :param store: where it registers itself; None to leave that to the test.
    :param keyed: whether it runs requests only while it holds their key.
    :param work_s: time that a request takes, in seconds.
    :param slots: requests that it runs at one time.
    :param listen: where it listens; None for a free port.
    :param known: the address that it registers; None if it is where it listens.
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
    ) -> None:
        self.upstream_id = upstream_id
        self.service = service
        self.zone = zone
        self.keyed = keyed
        self.work_s = work_s
        self.slots = slots
        self.manner = Manner.NORMAL
        self.grants = KeyGrants()
        #: How often each request was run, by its id.
        self.runs: Counter[str] = Counter()
        #: The most requests that were at work together.
        self.max_in_flight = 0
        #: True while orders about keys get no answer, though they are carried out.
        self.withholds_grant_responses = False
        self.is_leaving = False
        self._store = store
        self._known = known
        self._running = threading.Event()
        self._running.set()
        self._lock = threading.Lock()
        self._at_work: Counter[int] = Counter()
        self._stopping = threading.Event()
        self._sequence = 0
        self._server = HttpServer(listen or ("127.0.0.1", _free_port()), self._handle, _THREADS)
        self._server.start()
        if store is not None:
            self.register()
            threading.Thread(target=self._beat, name="heartbeat", daemon=True).start()

    @property
    def address(self) -> tuple[str, int]:
        """Return host and port."""
        return self._server.address

    def register(self) -> None:
        """Write the entry in the store."""
        assert self._store is not None
        self._sequence += 1
        host, port = self._known or self.address
        entry = {
            "service": self.service,
            "address": f"{host}:{port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "draining" if self.is_leaving else "ready",
            "warmup_left": "0ms",
            "seq": self._sequence,
            "born": 1_700_000_000_000,
        }
        self._store.put(f"servers/{self.upstream_id}", json.dumps(entry).encode())

    def leave(self) -> None:
        """Say that it drains."""
        self.is_leaving = True
        self.register()

    def stop(self) -> None:
        """End, as a crash does: the entry stays until somebody removes it."""
        self._stopping.set()
        self._running.set()
        self._server.stop()

    def crash(self) -> None:
        """End and forget what it held; another may listen at its port at once."""
        self.stop()
        self.grants.forget()

    def freeze(self) -> None:
        """Stand still: nothing is answered and no heartbeat is sent."""
        self._running.clear()

    def resume(self) -> None:
        """Go on as if nothing had happened."""
        self._running.set()

    def _beat(self) -> None:
        while not self._stopping.wait(_HEARTBEAT_S):
            self._running.wait()
            if not self._stopping.is_set():
                self.register()

    def _handle(self, req: Request) -> Response:
        arrived = time.monotonic()
        self._running.wait()
        if not self.keyed and "attempt-id" not in req.headers:
            # Whatever the path: an upstream without keys knows no orders.
            return CompleteResponse(400, b"", (("Not-Executed", "1"),))
        if req.headers.get("expect-instance", self.upstream_id) != self.upstream_id:
            return CompleteResponse(
                421, b"", (("Not-Executed", "1"), ("Instance-Id", self.upstream_id))
            )
        if req.path in ("/api/grant", "/api/release"):
            answer = self._order(req, arrived)
            return WithheldResponse() if self.withholds_grant_responses else answer
        return self._run(req)

    def _order(self, req: Request, arrived: float) -> Response:
        order = json.loads(req.body)
        first, last, fence = order["from"], order["to"], order["fence"]
        if req.path == "/api/grant":
            hold_s = float(order["hold_time"].removesuffix("ms")) / 1000
            accepted = self.grants.grant(first, last, fence, hold_s, arrived)
            return json_response(200 if accepted else 409, {})
        self.grants.release(first, last, fence)
        while any(self._at_work[key] for key in list(self._at_work) if first <= key <= last):
            time.sleep(0.002)
        return CompleteResponse(200, b"", (("Handover", f"{fence:016x}"),))

    def _run(self, req: Request) -> Response:
        request_id = req.headers.get("attempt-id", "")
        key = int(req.headers.get("shard-key", "0"))
        if self.keyed and not self.grants.holds(key):
            return CompleteResponse(421, b"", (("Not-Executed", "1"),))
        if self.manner is Manner.SHEDS_LOAD:
            return CompleteResponse(503, b"", (("Not-Executed", "1"), ("Attempt-Id", request_id)))
        with self._lock:
            self.runs[request_id] += 1
            self._at_work[key] += 1
            self.max_in_flight = max(self.max_in_flight, self._at_work.total())
        try:
            time.sleep(self.work_s)
            self._running.wait()
        finally:
            with self._lock:
                self._at_work[key] -= 1
        return self._answer(request_id, req)

    def _answer(self, request_id: str, req: Request) -> Response:
        body = f"{self.upstream_id} ran {req.method} {req.path}".encode()
        whole = _sealed(request_id, body)
        foreign = _sealed("another", b"not yours")
        if self.manner is Manner.LOSES_RESPONSES:
            return ConnectionClosed()
        if self.manner is Manner.EXTRA_RESPONSE:
            return ResponseWithExtra(whole, foreign)
        if self.manner is Manner.WITHOUT_LENGTH:
            return ResponseWithoutLength(whole)
        if self.manner is Manner.TRUNCATES:
            return TruncatedResponse(whole)
        if self.manner is Manner.WRONG_REQUEST:
            return foreign
        if self.manner is Manner.UNAVAILABLE:
            return CompleteResponse(503, b"", (("Attempt-Id", request_id),))
        if self.manner is Manner.WITHOUT_SEAL:
            return CompleteResponse(200, body, (("Attempt-Id", request_id),))
        return whole


def _free_port() -> int:
    """Return a free port; a server that names its port can be followed by another one there."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def _sealed(request_id: str, body: bytes) -> CompleteResponse:
    headers = (("Attempt-Id", request_id), ("Response-Seal", "seal"), ("Keep-Alive", "timeout=10"))
    return CompleteResponse(200, body, headers)
