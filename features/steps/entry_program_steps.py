"""Steps for the entry as a process."""

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
from entry_support import PATIENCE_S, random_address, wait_until

_PROGRAM = str(Path(sys.executable).parent / "foxtailshunt-entry")
_SAMPLE = re.compile(r'[a-z_:]+(\{([a-z_]+="[^"]*",?)*\})? [0-9.e+-]+(inf)?', re.I)


class EntryProcess:
    """An entry program with its settings."""

    def __init__(self, context: Context) -> None:
        folder = tempfile.TemporaryDirectory()
        context.add_cleanup(folder.cleanup)
        self.path = Path(folder.name) / "settings.json"
        self._context = context
        self.places = ["{}:{}".format(*random_address()) for _ in range(6)]
        self.settings: dict = {
            "instance_id": "i1",
            "zone": "wanaka",
            "entry": {"listen": self.places[0], "operator": self.places[1]},
            "dispatcher": {"listen": self.places[2], "operator": self.places[3]},
            "assigner": {"listen": self.places[4], "operator": self.places[5]},
            "platform": ["127.0.0.1:1"],
        }

    def set(self, place: str, value: str) -> None:
        *path, last = place.split(".")
        target = self.settings
        for part in path:
            target = target[part]
        if value == "-":
            del target[last]
        else:
            target[last] = self._take_address() if value == "TAKEN" else json.loads(value)

    def start(self) -> None:
        if self.settings:
            self.path.write_text(json.dumps(self.settings), encoding="utf-8")
        self.process = subprocess.Popen([_PROGRAM, str(self.path)], stderr=subprocess.PIPE)
        self._context.add_cleanup(self._end)

    def listens(self, place: str) -> bool:
        host, _, port = place.partition(":")
        with socket.socket() as probe:
            return probe.connect_ex((host, int(port))) == 0

    def get(self, path: str) -> urllib3.BaseHTTPResponse:
        return urllib3.request("GET", f"http://{self.places[1]}{path}", retries=False)

    def _take_address(self) -> str:
        holder = socket.create_server(random_address())
        self._context.add_cleanup(holder.close)
        return "{}:{}".format(*holder.getsockname())

    def _end(self) -> None:
        self.process.kill()
        self.process.wait()
        self.process.stderr.close()


@given("settings of an entry")
def make_settings(context: Context) -> None:
    context.process = EntryProcess(context)


@given("settings of an entry with {place} set to {value}")
def make_changed_settings(context: Context, place: str, value: str) -> None:
    context.process = EntryProcess(context)
    context.process.set(place, value)


@when("the entry program is run")
def run_program(context: Context) -> None:
    context.process.start()


@when("the entry program is run without its settings file")
def run_without_settings(context: Context) -> None:
    context.process = EntryProcess(context)
    context.process.settings = {}
    context.process.start()


@then('it ends with exit code {code:d} and says "{words}"')
def check_end(context: Context, code: int, words: str) -> None:
    _, error = context.process.process.communicate(timeout=PATIENCE_S)
    assert context.process.process.returncode == code, error
    assert words in error.decode() and b"Traceback" not in error, error


@then("nothing listens at its addresses")
def check_nothing_listens(context: Context) -> None:
    assert not any(context.process.listens(place) for place in context.process.places)


@when("the entry program is started and a caller sends {count:d} requests")
def start_and_request(context: Context, count: int) -> None:
    process = context.process
    process.start()
    wait_until(lambda: all(process.listens(place) for place in process.places[:2]), "start")
    for _ in range(count):
        url = f"http://{process.places[0]}/k/a1"
        assert urllib3.request("GET", url, retries=False).status == 503


@then('its health is {status:d} and its dump names the program "{name}"')
def check_health(context: Context, status: int, name: str) -> None:
    assert context.process.get("/health").status == status
    assert context.process.get("/dump").json()["program"] == name


@then("its metrics parse, and count {count:d} answers with code {code:d}")
def check_metrics(context: Context, count: int, code: int) -> None:
    text = context.process.get("/metrics").data.decode()
    lines = [line for line in text.splitlines() if line]
    samples = [line for line in lines if not line.startswith("#")]
    assert samples and all(_SAMPLE.fullmatch(line) for line in samples), samples
    helped = {line.split()[2] for line in lines if line.startswith("# HELP")}
    typed = {line.split()[2] for line in lines if line.startswith("# TYPE")}
    names = {re.sub(r"_(bucket|sum|count)$", "", re.split(r"[ {]", line)[0]) for line in samples}
    assert names == helped == typed, (names, helped, typed)
    counted = [
        line
        for line in samples
        if line.startswith("foxtailshunt_entry_requests_total") and f'code="{code}"' in line
    ]
    assert [float(line.split()[-1]) for line in counted] == [count], counted


@when("the program gets SIGTERM")
def terminate(context: Context) -> None:
    context.process.process.send_signal(signal.SIGTERM)


@then("the entry program is gone and left code {code:d}")
def check_exit(context: Context, code: int) -> None:
    assert context.process.process.wait(PATIENCE_S) == code
