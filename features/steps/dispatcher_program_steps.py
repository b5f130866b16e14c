"""Steps for the dispatcher program: real processes, a scripted assigner."""

import json
import signal
import subprocess
import sys
import tempfile
import threading
import time
import uuid
from collections.abc import Callable
from pathlib import Path

import urllib3
from behave import given, then, when
from behave.runner import Context

from foxtailshunt.errors import PeerUnreachableError, ResultCode
from foxtailshunt.ownership import Address, Fence, ProcessRef
from foxtailshunt.ownership.authority import fence_to_message
from foxtailshunt.protocol import ClientPool, ExecuteReply, ExecuteRequest
from foxtailshunt.protocol.gen import Dispatcher
from standins import StandinProcess
from standins.ownership import (
    ZONE,
    ScriptedAssigner,
    config_document,
    random_host,
    row_of,
    table_document,
)

_WAIT_S = 30.0
_DEADLINE_MS = 5000
_KEY = "k1"
_SLOT = 3
_ALL_SLOTS = range(16)
_PROGRAM = [sys.executable, "-c", "from foxtailshunt.cli.dispatcher import main; main()"]


def _wait_until(condition: Callable[[], bool]) -> None:
    deadline = time.monotonic() + _WAIT_S
    while not condition():
        assert time.monotonic() < deadline, "the state was not reached"
        time.sleep(0.02)


class DispatcherProcess:
    """One dispatcher process on an instance of its own."""

    def __init__(self, name: str, folder: Path, assigner: Address) -> None:
        host = random_host()
        self.name = name
        self.address = (host, 7001)
        self.operator = f"http://{host}:7002"
        ports = {"entry": 7003, "dispatcher": 7001, "assigner": 7005}
        settings = {
            "instance_id": name,
            "zone": ZONE,
            "platform": [f"{host}:7009"],
            "peers": [f"{assigner[0]}:{assigner[1]}"],
        }
        for program, port in ports.items():
            listen, operator = f"{host}:{port}", f"{host}:{port + 1}"
            settings[program] = {"listen": listen, "operator": operator}
        path = folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        self.process = subprocess.Popen([*_PROGRAM, str(path)], stderr=subprocess.DEVNULL)

    def end(self) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


class FleetSubject:
    """Dispatcher processes, an upstream's stand-in and a scripted assigner."""

    def __init__(self, names: list[str]) -> None:
        self._folder = tempfile.TemporaryDirectory()
        self.upstream = StandinProcess(
            "standins.upstream", ["--id", "u1", "--listen", "127.0.0.1:0"]
        )
        host, port = self.upstream.address
        addresses = {"u1": f"{host}:{port}"}
        document = config_document(["u1"], deadline_ms=_DEADLINE_MS, addresses=addresses)
        self.assigner = ScriptedAssigner(ZONE, document)
        folder = Path(self._folder.name)
        self.dispatchers = {
            name: DispatcherProcess(name, folder, self.assigner.address) for name in names
        }
        self.clients = ClientPool(Dispatcher, 2)
        self.fence = Fence(1, 1)
        self.replies: list[ExecuteReply] = []

    def close(self) -> None:
        for dispatcher in self.dispatchers.values():
            dispatcher.end()
        self.assigner.stop()
        self.upstream.kill()
        self._folder.cleanup()

    def publish(self, names: list[str]) -> None:
        _wait_until(lambda: self.dispatchers.keys() <= self.assigner.senders.keys())
        members = [self.assigner.senders[name] for name in sorted(self.dispatchers)]
        refs = [
            ProcessRef(member.instance_id, (member.host, member.port), member.boot_id)
            for member in members
        ]
        self.fence = Fence(1, self.fence.version + 1)
        row = row_of("u1", self.fence, _ALL_SLOTS, names)
        document = table_document(self.fence, [row], refs, [[ref.boot_id for ref in refs]])
        self.assigner.publish(fence_to_message(self.fence), document)

    def send(self, name: str) -> ResultCode | None:
        req = ExecuteRequest(
            request_id=str(uuid.uuid4()),
            service_name="hire-desk",
            operation="issue",
            rank="careful",
            key=_KEY,
            slot=_SLOT,
            upstream_id="u1",
            fence=fence_to_message(self.fence),
            attempt=1,
            remaining_ms=_DEADLINE_MS,
            method="POST",
            target=f"/beacons/{_KEY}",
            headers=[],
            body=b"",
            drawn_by_entry=True,
        )
        req.request_id = _uuid7()
        try:
            reply = self.clients.call(self.dispatchers[name].address, "execute", req, _WAIT_S)
        except PeerUnreachableError:
            return None
        self.replies.append(reply)
        return ResultCode(reply.code)

    def send_until(self, name: str, code: ResultCode) -> None:
        _wait_until(lambda: self.send(name) is code)


def _uuid7() -> str:
    value = int(time.time() * 1000) << 80 | uuid.uuid4().int & (1 << 80) - 1
    value = value & ~(0xF << 76) | 0x7 << 76
    value = value & ~(0x3 << 62) | 0x2 << 62
    return str(uuid.UUID(int=value))


@given("an upstream process u1 and dispatcher processes {names}")
def start_fleet(context: Context, names: str) -> None:
    context.dispatcher_program_subject = FleetSubject(names.split(", "))
    context.add_cleanup(context.dispatcher_program_subject.close)


@given("a table that lists {names} for u1")
@when("the dispatchers' table lists {names} for u1")
def publish(context: Context, names: str) -> None:
    context.dispatcher_program_subject.publish(names.split(", "))


@when("a request is sent to dispatcher {name} until it runs")
@then("a request to dispatcher {name} runs")
def send_until_run(context: Context, name: str) -> None:
    context.dispatcher_program_subject.send_until(name, ResultCode.OK)


@then("dispatcher {name} answers NOT_DISPATCHER")
def check_not_dispatcher(context: Context, name: str) -> None:
    assert context.dispatcher_program_subject.send(name) is ResultCode.NOT_DISPATCHER


@then("the assigner hears that u1 confirmed the table's fence from dispatcher {name}")
def check_report(context: Context, name: str) -> None:
    subject = context.dispatcher_program_subject

    def is_reported() -> bool:
        return any(
            report.upstream_id == "u1"
            and report.confirmed_fence == fence_to_message(subject.fence)
            and report.reachable
            for req in list(subject.assigner.requests)
            if req.sender.instance_id == name
            for report in req.reports
        )

    _wait_until(is_reported)


@when("dispatcher {name} is killed")
def kill(context: Context, name: str) -> None:
    context.dispatcher_program_subject.dispatchers[name].end()


@when("dispatcher {name} is told to stop")
def stop(context: Context, name: str) -> None:
    context.dispatcher_program_subject.dispatchers[name].process.send_signal(signal.SIGTERM)


@then("the assigner hears that dispatcher {name} is stopping")
def check_stopping(context: Context, name: str) -> None:
    _wait_until(lambda: context.dispatcher_program_subject.assigner.senders[name].stopping)


@then("dispatcher {name} ends with exit code {code:d}")
def check_exit(context: Context, name: str, code: int) -> None:
    assert context.dispatcher_program_subject.dispatchers[name].process.wait(_WAIT_S) == code


@when("a request that takes 1 s is at u1")
def send_slow(context: Context) -> None:
    subject = context.dispatcher_program_subject
    host, port = subject.upstream.address
    control = f"http://{host}:{port}/standin/control"
    assert urllib3.request("PUT", control, body=b'{"service_ms": 1000}').status == 200
    subject.replies.clear()
    subject.slow = threading.Thread(target=subject.send, args=("a",))
    subject.slow.start()
    _wait_until(lambda: _dump(subject, "a")["dispatch"]["upstreams"]["u1"]["in_flight"] == 1)


def _dump(subject: FleetSubject, name: str) -> dict:
    return urllib3.request("GET", f"{subject.dispatchers[name].operator}/dump").json()


@then("the request that takes 1 s runs")
def check_slow(context: Context) -> None:
    subject = context.dispatcher_program_subject
    subject.slow.join(_WAIT_S)
    assert [reply.code for reply in subject.replies] == [ResultCode.OK], subject.replies


@then("the dump of dispatcher {name} shows that it holds u1")
def check_dump(context: Context, name: str) -> None:
    dump = _dump(context.dispatcher_program_subject, name)
    assert dump["authority"]["upstreams"]["u1"]["holds_assent"] is True, dump


@given("a settings file that names no zone")
def write_bad_settings(context: Context) -> None:
    context.folder = tempfile.TemporaryDirectory()
    context.add_cleanup(context.folder.cleanup)
    context.path = Path(context.folder.name) / "settings.json"
    context.path.write_text('{"instance_id": "a"}')


@when("the dispatcher program is run with it")
def run_program(context: Context) -> None:
    command = [*_PROGRAM, str(context.path)]
    context.result = subprocess.run(command, capture_output=True, text=True, timeout=_WAIT_S)


@then("the dispatcher program ends with exit code 2 and names the missing field")
def check_bad_settings(context: Context) -> None:
    assert context.result.returncode == 2
    assert "zone: Field required" in context.result.stderr, context.result.stderr
