"""An entry with scripted dispatchers, for the steps of the entry."""

import http.client
import json
import random
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from thrift.transport.TTransport import TTransportException

from foxtailshunt.entry import Entry
from foxtailshunt.errors import ResultCode
from foxtailshunt.membership import View
from foxtailshunt.ownership import Address, Fence, ProcessRef, Table, UpstreamRow, table_to_json
from foxtailshunt.protocol import (
    CancelReply,
    CancelRequest,
    ExecuteReply,
    ExecuteRequest,
    Header,
    ProtocolServer,
)
from foxtailshunt.protocol.gen import Dispatcher
from foxtailshunt.telemetry import Metrics
from foxtailshunt.timing import MonotonicClock, TimerService

PATIENCE_S = 20.0
SLOTS = 8


def wait_until(condition: Callable[[], bool], what: str) -> None:
    """Wait for a state, with a generous bound."""
    deadline = time.monotonic() + PATIENCE_S
    while not condition():
        assert time.monotonic() < deadline, f"never came: {what}"
        time.sleep(0.01)


def random_address() -> Address:
    """Return a free loopback address that parallel runs hardly share."""
    host = "127." + ".".join(str(random.randint(1, 254)) for _ in range(3))
    with socket.socket() as probe:
        probe.bind((host, 0))
        return host, probe.getsockname()[1]


def operation(name: str, method: str, path: str, rank: str, **changes: object) -> dict:
    """Return an operation of a configuration document."""
    values = {"name": name, "method": method, "path": path, "rank": rank}
    return {**values, "idempotent": method != "POST", "deadline_ms": 1000, **changes}


def make_document(**entry_limits: int) -> dict:
    """Return a configuration with one service and an operation of each kind."""
    return {
        "fleet": "test",
        "zones": ["wanaka"],
        "services": [
            {
                "name": "desk",
                "slots": SLOTS,
                "upstreams": [{"id": "u1", "zone": "wanaka", "address": "127.0.0.1:1001"}],
                "operations": [
                    operation("get", "GET", "/k/{key}", "urgent"),
                    operation("head", "HEAD", "/k/{key}", "urgent"),
                    operation("pay", "POST", "/k/{key}/pay", "careful"),
                    operation("put", "PUT", "/k/{key}", "careful"),
                    operation("wait", "GET", "/wait/{key}", "urgent", deadline_ms=20_000),
                    operation("report", "GET", "/report/{key}", "deferrable", deadline_ms=20_000),
                ],
            }
        ],
        "entry": entry_limits,
    }


class ScriptedDispatcher:
    """A dispatcher that does what a word says for every request."""

    def __init__(self, script: str) -> None:
        self.script = script
        self.address = random_address()
        self.boot_id = f"boot-{self.address}"
        self.requests: list[ExecuteRequest] = []
        self.cancelled: list[str] = []
        self.release = threading.Event()
        self._server: ProtocolServer | None = None
        if script != "refused":
            self._server = ProtocolServer(Dispatcher, self, self.address, lambda: None)
            self._server.start()

    def execute(self, req: ExecuteRequest) -> ExecuteReply:
        self.requests.append(req)
        if self.script == "silent once" and len(self.requests) == 2:
            self.release.wait(PATIENCE_S)
        if self.script == "lost":
            raise TTransportException(message="scripted")
        if self.script == "slow":
            self.release.wait(PATIENCE_S)
        codes = {
            "not dispatcher": ResultCode.NOT_DISPATCHER,
            "no owner": ResultCode.NO_OWNER,
            "stopping": ResultCode.STOPPING,
            "queue full": ResultCode.QUEUE_FULL,
        }
        code = codes.get(self.script, ResultCode.OK)
        request_id = "another" if self.script == "wrong id" else req.request_id
        return self._reply(req, request_id, code)

    def cancel(self, req: CancelRequest) -> CancelReply:
        self.cancelled.append(req.request_id)
        return CancelReply(request_id=req.request_id, code=int(ResultCode.CANCELLED))

    def stop(self) -> None:
        self.release.set()
        if self._server is not None:
            self._server.stop(grace_s=1.0)

    def _reply(self, req: ExecuteRequest, request_id: str, code: ResultCode) -> ExecuteReply:
        headers = [Header("X-Kind", "scripted"), Header("Connection", "x"), Header("X-Fence", "9")]
        body = b"" if code != ResultCode.OK else b"\0whole:" + req.body
        return ExecuteReply(request_id, int(code), 201, headers, body, req.upstream_id, "scripted")


@dataclass(frozen=True, slots=True)
class CallerAnswer:
    """An answer as a caller sees it."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def code(self) -> int:
        return int(self.headers["x-result-code"])


class EntrySubject:
    """An entry, its view, and scripted dispatchers of one upstream."""

    def __init__(self, scripts: list[str], **entry_limits: int) -> None:
        self.dispatchers = [ScriptedDispatcher(script) for script in scripts]
        self.metrics = Metrics()
        self.view = View(self.metrics)
        self.timers = TimerService(MonotonicClock(), lambda exc: None)
        self._limits = entry_limits
        self._table_version = 0
        address = random_address()
        self.entry = Entry(address, self.view, MonotonicClock(), self.timers, self.metrics)
        self.timers.start()
        self.entry.start()

    def configure(self) -> None:
        """Bring configuration and table."""
        self.view.accept_config(1, json.dumps(make_document(**self._limits)))
        self.publish(self.dispatchers)

    def publish(self, dispatchers: list[ScriptedDispatcher]) -> None:
        """Bring a table that names dispatchers of the upstream."""
        self._table_version += 1
        fence = Fence(1, self._table_version)
        refs = [ProcessRef(f"i{n}", d.address, d.boot_id) for n, d in enumerate(dispatchers)]
        row = UpstreamRow(
            upstream_id="u1",
            service="desk",
            address=("127.0.0.1", 1001),
            fence=fence,
            slots=frozenset(range(SLOTS)),
            pins=frozenset(),
            excluded=frozenset(),
            dispatchers=tuple(ref.instance_id for ref in refs),
            draining=False,
        )
        table = Table("wanaka", "0", fence, "token", 1, tuple(refs), (), {"u1": row}, ())
        self.view.accept_table(table_to_json(table))

    def request(
        self, method: str, target: str, headers: dict[str, str] | None = None, body: bytes = b""
    ) -> CallerAnswer:
        """Send one request and return the whole answer."""
        conn = http.client.HTTPConnection(*self.entry.address, timeout=PATIENCE_S)
        try:
            conn.request(method, target, body or None, headers or {})
            response = conn.getresponse()
            names = {name.lower(): value for name, value in response.getheaders()}
            return CallerAnswer(response.status, names, response.read())
        finally:
            conn.close()

    def connect(self) -> socket.socket:
        """Return a raw connection."""
        return socket.create_connection(self.entry.address, timeout=PATIENCE_S)

    def stop(self) -> None:
        for dispatcher in self.dispatchers:
            dispatcher.release.set()
        self.entry.stop()
        self.timers.stop()
        for dispatcher in self.dispatchers:
            dispatcher.stop()
