"""Fixture for the front server with the default caller interface and scripted upstreams."""

import http.client
import json
import random
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, replace

from foxtailshunt.admission import Call, RetryBudget
from foxtailshunt.callers import OwnCallerInterface
from foxtailshunt.config import read_configuration, to_route_table
from foxtailshunt.errors import ResultCode
from foxtailshunt.fleet import FleetView, KeyRange, OwnershipTable
from foxtailshunt.front import FrontServer, RequestHandler
from foxtailshunt.network import Address
from foxtailshunt.relay import Outcome, StopSchedule
from foxtailshunt.routing import KEY_COUNT, FrontLimits
from foxtailshunt.telemetry import Metrics, RequestLog
from foxtailshunt.timing import MonotonicClock
from foxtailshunt.upstreams import LatencyEstimator

WAIT_TIMEOUT_S = 20.0
_STATUS = 201


def wait_until(condition: Callable[[], bool], description: str) -> None:
    """Wait until a condition holds; fail after ``PATIENCE_S``."""
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline, f"timed out waiting for: {description}"
        time.sleep(0.01)


def random_address() -> Address:
    """Return a free loopback address that is unlikely to be used by parallel runs."""
    host = "127." + ".".join(str(random.randint(1, 254)) for _ in range(3))
    with socket.socket() as probe:
        probe.bind((host, 0))
        return host, probe.getsockname()[1]


def operation(name: str, method: str, path: str, rank: str, **changes: object) -> dict:
    """Return an operation of a configuration file, with defaults by method."""
    values = {"name": name, "method": method, "path": path, "rank": rank}
    return {**values, "idempotent": method != "POST", "deadline_ms": 1000, **changes}


def make_document(**limits: int) -> dict:
    """Return a configuration with one service and an operation of each kind."""
    return {
        "fleet": "test",
        "zones": ["wanaka"],
        "services": [
            {
                "name": "desk",
                "upstreams": [{"id": "u1", "zone": "wanaka", "address": "127.0.0.1:1001"}],
                "operations": [
                    operation("get", "GET", "/k/{key}", "urgent"),
                    operation("head", "HEAD", "/k/{key}", "urgent"),
                    operation("pay", "POST", "/k/{key}/pay", "careful"),
                    operation("put", "PUT", "/k/{key}", "careful"),
                    operation("wait", "GET", "/wait/{key}", "urgent", deadline_ms=20_000),
                ],
            }
        ],
        "callers": limits,
    }


@dataclass(frozen=True, slots=True)
class CallerResponse:
    """A response as a caller receives it."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def code(self) -> int:
        return int(self.headers["x-result-code"])


class ScriptedUpstreams:
    """Replaces the upstreams: each attempt has the outcome that its script names.

    The last script also applies to all further attempts.
    """

    def __init__(self, scripts: list[str]) -> None:
        self._scripts = scripts
        self.calls: list[Call] = []
        self.release = threading.Event()

    def execute(self, call: Call, caller: socket.socket | None) -> Outcome:
        self.calls.append(call)
        index = min(len(self.calls), len(self._scripts)) - 1
        script = self._scripts[index]
        if script == "slow":
            self.release.wait(WAIT_TIMEOUT_S)
        outcomes = {
            "no owner": Outcome(ResultCode.NO_OWNER, "scripted", retry_after_s=0.3),
            "too late": Outcome(ResultCode.TOO_LATE, "scripted", retry_after_s=2.1),
            "key moved": Outcome(ResultCode.KEY_MOVED, "scripted"),
            "refused": Outcome(ResultCode.REFUSED_BY_UPSTREAM, "scripted", arrived=True),
            "connection lost": Outcome(
                ResultCode.UPSTREAM_CONNECTION_LOST, "scripted", arrived=True
            ),
            "answer mismatch": Outcome(ResultCode.ANSWER_MISMATCH, "scripted", arrived=True),
            "server error": Outcome(
                ResultCode.OK,
                "scripted",
                500,
                (("X-Kind", "scripted"),),
                b"\0whole:" + call.body,
                arrived=True,
            ),
            "no response": Outcome(ResultCode.DEADLINE_EXCEEDED, "scripted", arrived=True),
        }
        if script in outcomes:
            return replace(outcomes[script], upstream_id="u1")
        headers = (("X-Kind", "scripted"), ("X-Result-Code", "999"), ("X-Request-Id", "forged"))
        body = b"\0whole:" + call.body
        return Outcome(ResultCode.OK, "scripted", _STATUS, headers, body, upstream_id="u1")


class FrontSubject:
    """A front server with its view of the fleet and scripted upstreams."""

    def __init__(self, scripts: list[str], **limits: int) -> None:
        clock = MonotonicClock()
        self.upstreams = ScriptedUpstreams(scripts)
        #: Serves requests in place of the upstreams; a scenario may replace it.
        self.execute = self.upstreams.execute
        self.metrics = Metrics()
        self.stop_schedule = StopSchedule()
        self.view = FleetView(clock.now)
        self.address = random_address()
        handler = RequestHandler(
            OwnCallerInterface(),
            self.view,
            lambda call, caller: self.execute(call, caller),
            LatencyEstimator(),
            RetryBudget(1.0, 100.0, lambda: 1, clock.now),
            lambda service, key, work_s: None,
            self.metrics,
            RequestLog(),
            self.stop_schedule,
        )
        self.server = FrontServer(self.address, handler, self._limits, self.metrics)
        self.server.start_serving()
        self._configured_limits = limits

    def configure(self) -> None:
        """Apply a configuration and an ownership table."""
        document = json.dumps(make_document(**self._configured_limits))
        self.view.update_routes(to_route_table(read_configuration(document), 1), document.encode())
        self.view.begin_term(1)
        key_range = KeyRange("desk", 0, KEY_COUNT - 1, "u1", 1)
        self.view.update_ownership(1, 1, OwnershipTable([key_range]))

    def request(
        self, method: str, target: str, headers: dict[str, str] | None = None, body: bytes = b""
    ) -> CallerResponse:
        """Send a request and return the complete response."""
        conn = http.client.HTTPConnection(*self.address, timeout=WAIT_TIMEOUT_S)
        try:
            conn.request(method, target, body or None, headers or {})
            response = conn.getresponse()
            found_headers = {name.lower(): value for name, value in response.getheaders()}
            return CallerResponse(response.status, found_headers, response.read())
        finally:
            conn.close()

    def connect(self) -> socket.socket:
        """Open a TCP connection to the front server."""
        return socket.create_connection(self.address, timeout=WAIT_TIMEOUT_S)

    def stop(self) -> None:
        self.upstreams.release.set()
        if not self.server.is_draining:
            self.server.drain()
        if not self.server._stopping.is_set():
            self.server.stop_accepting()

    def _limits(self) -> FrontLimits:
        routes = self.view.routes
        return routes.limits if routes is not None else FrontLimits()
