"""Steps for the node program as a process."""

import json
import re
import signal
import socket
import subprocess
import sys
import tempfile
from pathlib import Path

import urllib3
from behave import given, then, when
from behave.runner import Context

from features.front_support import WAIT_TIMEOUT_S, random_address, wait_until
from standins.http import free_port

_NODE_PROGRAM = str(Path(sys.executable).parent / "foxtailshunt-node")
_SAMPLE_PATTERN = re.compile(r'[a-z_:]+(\{([a-z_]+="[^"]*",?)*\})? [0-9.e+-]+(inf)?', re.I)


class NodeProgramSubject:
    """A node program with its settings file."""

    def __init__(self, context: Context) -> None:
        folder = tempfile.TemporaryDirectory()
        context.add_cleanup(folder.cleanup)
        self.path = Path(folder.name) / "settings.json"
        self.log_path = Path(folder.name) / "log"
        self._context = context
        self.host, peer_port = random_address()
        self.operator_port = free_port(self.host)
        callers = f"{self.host}:{free_port(self.host)}"
        readiness = f"{self.host}:{free_port(self.host)}"
        self.addresses = [callers, readiness, f"{self.host}:{self.operator_port}"]
        self.settings: dict = {
            "instance_id": "n1",
            "zone": "wanaka",
            "host": self.host,
            "callers": callers,
            "readiness": readiness,
            "peer_port": peer_port,
            "operator_port": self.operator_port,
            "store": "127.0.0.1:1",
            "grace": "6s",
            "repeat_ratio": 0.2,
            "repeat_reserve": 10,
        }

    def set(self, field: str, value: str) -> None:
        if value == "-":
            del self.settings[field]
        elif value.startswith("TAKEN"):
            address = self._occupy_address()
            self.settings[field] = address[1] if "PORT" in value else f"{address[0]}:{address[1]}"
        else:
            self.settings[field] = json.loads(value)

    def write(self) -> None:
        self.path.write_text(json.dumps(self.settings), encoding="utf-8")

    def start(self) -> None:
        if self.settings:
            self.write()
        with self.log_path.open("wb") as log:
            command = [_NODE_PROGRAM, "--settings", str(self.path)]
            self.process = subprocess.Popen(command, stdout=log, stderr=subprocess.PIPE)
        self._context.add_cleanup(self._end)

    def listens(self, address: str) -> bool:
        host, _, port = address.partition(":")
        with socket.socket() as probe:
            return probe.connect_ex((host, int(port))) == 0

    def get(self, path: str) -> urllib3.BaseHTTPResponse:
        return urllib3.request("GET", f"http://{self.addresses[2]}{path}", retries=False)

    def _occupy_address(self) -> tuple[str, int]:
        listener = socket.create_server((self.host, 0))
        self._context.add_cleanup(listener.close)
        return listener.getsockname()

    def _end(self) -> None:
        self.process.kill()
        self.process.wait()
        self.process.stderr.close()


@given("settings of a node")
def make_settings(context: Context) -> None:
    context.program = NodeProgramSubject(context)


@given("settings of a node with {field} set to {value}")
def make_changed_settings(context: Context, field: str, value: str) -> None:
    context.program = NodeProgramSubject(context)
    context.program.set(field, value)


@when("the node program is run")
def run_program(context: Context) -> None:
    context.program.start()


@when("the node program is run without its settings file")
def run_without_settings(context: Context) -> None:
    context.program = NodeProgramSubject(context)
    context.program.settings = {}
    context.program.start()


@then('it exits with code {code:d} and prints "{message}"')
def check_end(context: Context, code: int, message: str) -> None:
    _, error = context.program.process.communicate(timeout=WAIT_TIMEOUT_S)
    assert context.program.process.returncode == code, error
    assert message in error.decode() and b"Traceback" not in error, error


@then("no address of the node accepts connections")
def check_nothing_listens(context: Context) -> None:
    assert not any(context.program.listens(address) for address in context.program.addresses)


@when("the node program is started and a caller sends {count:d} requests")
def start_and_request(context: Context, count: int) -> None:
    program = context.program
    program.start()
    wait_until(
        lambda: all(program.listens(address) for address in program.addresses), "start of the node"
    )
    for _ in range(count):
        url = f"http://{program.addresses[0]}/k/a1"
        assert urllib3.request("GET", url, retries=False).status == 503


@then("it has no configuration yet")
def check_no_configuration(context: Context) -> None:
    response = context.program.get("/configuration")
    assert (response.status, response.data) == (200, b""), (response.status, response.data)


@then('its health is {status:d} and its dump names the instance "{name}"')
def check_health(context: Context, status: int, name: str) -> None:
    assert context.program.get("/health").status == status
    assert context.program.get("/dump").json()["instance"] == name


@then("its metrics are well-formed, and count {count:d} requests with the result {result}")
def check_metrics(context: Context, count: int, result: str) -> None:
    text = context.program.get("/metrics").data.decode()
    lines = [line for line in text.splitlines() if line]
    samples = [line for line in lines if not line.startswith("#")]
    assert samples and all(_SAMPLE_PATTERN.fullmatch(line) for line in samples), samples
    help_names = {line.split()[2] for line in lines if line.startswith("# HELP")}
    type_names = {line.split()[2] for line in lines if line.startswith("# TYPE")}
    names = {re.sub(r"_(bucket|sum|count)$", "", re.split(r"[ {]", line)[0]) for line in samples}
    assert names == help_names == type_names, (names, help_names, type_names)
    matching = [
        line
        for line in samples
        if line.startswith("foxtailshunt_requests_total") and f'result="{result}"' in line
    ]
    assert [float(line.split()[-1]) for line in matching] == [count], matching


@then("its metrics include queue lengths, versions, leadership and calls to the store")
def check_gauges(context: Context) -> None:
    expected_samples = (
        "foxtailshunt_waiting_requests 0",
        "foxtailshunt_running_requests 0",
        "foxtailshunt_configuration_version 0",
        "foxtailshunt_leads_ratio 0",
        'foxtailshunt_store_calls_total{answer="none",call="kv-range"}',
    )

    def has_all_samples() -> bool:
        text = context.program.get("/metrics").data.decode()
        return all(line in text for line in expected_samples)

    wait_until(has_all_samples, "all samples")


@when("the program receives SIGHUP after a change of its settings")
def change_settings(context: Context) -> None:
    context.program.set("repeat_ratio", "0.1")
    context.program.write()
    context.program.process.send_signal(signal.SIGHUP)


@then("its log names the changed settings")
def check_reloaded(context: Context) -> None:
    path = context.program.log_path
    wait_until(
        lambda: '"changed":["repeat_ratio"]' in path.read_text(encoding="utf-8"), "the reload"
    )


@when("the program receives SIGTERM")
def terminate(context: Context) -> None:
    context.program.process.send_signal(signal.SIGTERM)


@then("the node program ends with code {code:d}")
def check_exit(context: Context, code: int) -> None:
    assert context.program.process.wait(WAIT_TIMEOUT_S) == code
