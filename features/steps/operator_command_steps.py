"""Steps for the operators' command line."""

import json
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

import urllib3
from assigner_support import SyncNode, make_member
from behave import given, then, when
from behave.runner import Context
from click.testing import CliRunner, Result
from entry_support import PATIENCE_S, SLOTS, make_document, random_address, wait_until

from foxtailshunt.assigner import table_key
from foxtailshunt.cli.operator import main
from foxtailshunt.config import (
    CONFIG_KEY,
    ConfigRecord,
    Settings,
    config_record_from_json,
    config_record_to_json,
)
from foxtailshunt.entry._program import EntryProgram
from foxtailshunt.errors import FoxtailshuntError, StoreUnavailableError, StoreUnknownError
from foxtailshunt.kvstore import HttpPlatform, StoreRecord
from foxtailshunt.membership import SyncAgent, View
from foxtailshunt.operator import ConfigApplier, exit_code_of
from foxtailshunt.ownership import Address, Fence, ProcessRef, Table, UpstreamRow, table_to_json
from foxtailshunt.telemetry import Metrics
from standins import StandinProcess

_REMOVED = "-"


def format_place(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


def make_table() -> str:
    """Return a table that gives all slots to u1."""
    fence = Fence(3, 7)
    row = UpstreamRow(
        upstream_id="u1",
        service="desk",
        address=("127.0.0.1", 1001),
        fence=fence,
        slots=frozenset(range(SLOTS)),
        pins=frozenset(),
        excluded=frozenset(),
        dispatchers=("i1", "i2"),
        draining=False,
    )
    refs = tuple(ProcessRef(name, ("127.0.0.1", 1), name) for name in row.dispatchers)
    return table_to_json(Table("wanaka", "0", fence, "token", 1, refs, (), {"u1": row}, ()))


class OperatorSubject:
    """An operator with a file, who runs commands; FILE, PLATFORM and others stand for places."""

    def __init__(self, context: Context) -> None:
        folder = tempfile.TemporaryDirectory()
        context.add_cleanup(folder.cleanup)
        self.file = Path(folder.name) / "fleet.json"
        self.places = {"FILE": str(self.file), "CLOSED": format_place(random_address())}
        self.result: Result | None = None

    def write(self, document: Any) -> None:
        self.file.write_text(json.dumps(document), encoding="utf-8")

    def run(self, arguments: str) -> Result:
        words = [self.places.get(word, word) for word in arguments.split()]
        self.result = CliRunner().invoke(main, words)
        return self.result


class PlatformSubject:
    """A stand-in platform that holds versions of the file."""

    def __init__(self, context: Context) -> None:
        self.process = StandinProcess("standins.platform", ["--listen", "127.0.0.1:0"])
        context.add_cleanup(self.process.kill)
        self.client = HttpPlatform((self.process.address,), Metrics())

    def put_version(self, version: int) -> None:
        record = ConfigRecord(version, "first", json.dumps(make_document()))
        self.client.compare_and_swap(CONFIG_KEY, config_record_to_json(record), 0)

    def record(self) -> ConfigRecord:
        stored = self.client.read(CONFIG_KEY)
        assert stored is not None
        return config_record_from_json(stored.value)

    def set_faults(self, **faults: object) -> None:
        url = f"http://{format_place(self.process.address)}/standin/faults"
        assert urllib3.request("PUT", url, json=faults).status == 200


class VanishingPlatform:
    """A platform that takes one write, loses its answer and is down from then on."""

    def __init__(self, platform: HttpPlatform) -> None:
        self._platform = platform
        self._is_down = False

    def read(self, key: str) -> StoreRecord | None:
        if self._is_down:
            raise StoreUnavailableError("down")
        return self._platform.read(key)

    def compare_and_swap(self, key: str, value: str, revision: int) -> int:
        self._platform.compare_and_swap(key, value, revision)
        self._is_down = True
        raise StoreUnknownError("lost")


class JumpingClock:
    """A clock that jumps a second with each look."""

    def __init__(self) -> None:
        self._now = 0.0

    def now(self) -> float:
        self._now += 1
        return self._now

    def wall_time(self) -> float:
        return self._now


def _operator(context: Context) -> OperatorSubject:
    if not hasattr(context, "operator"):
        context.operator = OperatorSubject(context)
        context.operator.write(make_document())
    return context.operator


def _set_place(document: Any, place: str, value: str) -> None:
    *path, last = [int(part) if part.isdigit() else part for part in place.split(".")]
    for part in path:
        document = document[part]
    if value == _REMOVED:
        del document[last]
    else:
        document[last] = json.loads(value)


@given("a valid configuration file")
def write_valid(context: Context) -> None:
    _operator(context).write(make_document())


@given("a configuration file with {place} set to {value}")
def write_changed(context: Context, place: str, value: str) -> None:
    document = make_document()
    _set_place(document, place, value)
    _operator(context).write(document)


@given("a configuration file with the first service written twice")
def write_doubled(context: Context) -> None:
    document = make_document()
    document["services"] *= 2
    _operator(context).write(document)


@given("a configuration file with a second service of the same operations")
def write_shared_paths(context: Context) -> None:
    document = make_document()
    upstream = {"id": "u2", "zone": "wanaka", "address": "127.0.0.1:1002"}
    document["services"].append({**document["services"][0], "name": "desk2"})
    document["services"][1]["upstreams"] = [upstream]
    _operator(context).write(document)


@given("a file that holds {what}")
def write_content(context: Context, what: str) -> None:
    contents = {
        "nothing": b"",
        "half a document": json.dumps(make_document()).encode()[:100],
        "a list": b"[1, 2]",
        "bytes": b"\xff\xfe\x00",
        "a megabyte": b'"' + b"a" * 1_000_000 + b'"',
    }
    _operator(context).file.write_bytes(contents[what])


@when('the operator runs "{arguments}"')
def run_command(context: Context, arguments: str) -> None:
    _operator(context).run(arguments)


@then("the exit code is {code:d}")
def check_exit_code(context: Context, code: int) -> None:
    result = context.operator.result
    assert result.exit_code == code, (result.exit_code, result.output, result.exception)


@then('the error says "{words}" and the output has no traceback')
def check_error(context: Context, words: str) -> None:
    result = context.operator.result
    assert words in " ".join(result.stderr.split()), result.stderr
    assert "Traceback" not in result.output
    assert result.exception is None or isinstance(result.exception, SystemExit), result.exception


@then('the output is "{text}"')
def check_output(context: Context, text: str) -> None:
    assert context.operator.result.stdout == text + "\n", context.operator.result.output


@then('the output says "{first}" and "{second}" and "{third}"')
def check_words(context: Context, first: str, second: str, third: str) -> None:
    output = context.operator.result.stdout
    assert first in output and second in output and third in output, output


@then("the output has the lines")
def check_lines(context: Context) -> None:
    lines = context.operator.result.stdout.splitlines()
    for row in context.table:
        assert row["line"] in lines, lines


@then("the output is a JSON document with version = {version:d} and changed = true")
def check_json(context: Context, version: int) -> None:
    assert json.loads(context.operator.result.stdout) == {"version": version, "changed": True}


@given("a platform and a valid configuration file")
def start_platform(context: Context) -> None:
    context.platform = PlatformSubject(context)
    _operator(context).places["PLATFORM"] = format_place(context.platform.process.address)


@given("a platform with version {version:d} and a valid configuration file")
def start_filled_platform(context: Context, version: int) -> None:
    start_platform(context)
    context.platform.put_version(version)


@given("a platform with version {version:d} and a table that gives all slots to u1")
def start_platform_with_table(context: Context, version: int) -> None:
    start_filled_platform(context, version)
    context.platform.client.compare_and_swap(table_key("wanaka"), make_table(), 0)


@when("the platform loses the answer to the next write")
def lose_answer(context: Context) -> None:
    context.platform.set_faults(lose_next_answers=1)


@when("a change is applied and the store goes down as soon as it has taken the write")
def apply_before_outage(context: Context) -> None:
    document = make_document()
    document["services"][0]["max_moves"] = 3
    applier = ConfigApplier(VanishingPlatform(context.platform.client), JumpingClock())
    try:
        applier.apply(json.dumps(document), 1)
    except FoxtailshuntError as exc:
        context.error = exc


@then("the operator is told {name} with exit code {code:d}")
def check_error_code(context: Context, name: str, code: int) -> None:
    assert (context.error.code.name, exit_code_of(context.error)) == (name, code)


@then("the store still holds version {version:d}")
def check_version(context: Context, version: int) -> None:
    assert context.platform.record().version == version


@when("two operators apply different files over version 1 at the same time")
def race(context: Context) -> None:
    context.racers = [OperatorSubject(context) for _ in range(2)]
    commands = []
    for number, racer in enumerate(context.racers):
        document = make_document()
        document["services"][0]["max_moves"] = number + 2
        racer.write(document)
        place = context.operator.places["PLATFORM"]
        commands.append(["apply", str(racer.file), "--platform", place, "--expect-version", "1"])
    program = str(Path(sys.executable).parent / "foxtailshunt")
    processes = [subprocess.Popen([program, *command]) for command in commands]
    context.race_codes = [process.wait(PATIENCE_S) for process in processes]


@then("one exit code is {first:d} and the other {second:d}")
def check_race(context: Context, first: int, second: int) -> None:
    assert sorted(context.race_codes) == [first, second], context.race_codes


@then("the store holds version {version:d} with the winner's content")
def check_winner(context: Context, version: int) -> None:
    winner = context.racers[context.race_codes.index(0)]
    record = context.platform.record()
    assert (record.version, record.document) == (version, winner.file.read_text())


@given("an assigner with a table that gives all slots to u1")
def start_assigner(context: Context) -> None:
    context.node = SyncNode("a", "wanaka", random_address(), ())
    context.node.view.accept_config(1, json.dumps(make_document()))
    context.node.view.accept_table(make_table())
    context.node.start()
    context.add_cleanup(context.node.stop)
    _operator(context).places["ASSIGNER"] = format_place(context.node.address)


@given("an entry that is known to the assigner")
def start_entry_program(context: Context) -> None:
    addresses = [format_place(random_address()) for _ in range(6)]
    names = ("listen", "operator")
    settings = Settings.model_validate(
        {
            "instance_id": "i1",
            "zone": "wanaka",
            "entry": dict(zip(names, addresses[:2], strict=True)),
            "dispatcher": dict(zip(names, addresses[2:4], strict=True)),
            "assigner": dict(zip(names, addresses[4:], strict=True)),
            "platform": ("127.0.0.1:1",),
            "peers": (format_place(context.node.address),),
        }
    )
    context.program = EntryProgram(settings, "boot-i1")
    context.program.start()
    context.add_cleanup(context.program.stop)
    wait_until(lambda: _is_listed(context, "i1"), "the entry among the members")


@given("a process that is known to the assigner but does not answer")
def add_silent(context: Context) -> None:
    silent = make_member(
        "i2", "dispatcher", operator_address=format_place(random_address()), zone="wanaka"
    )
    seeds = (context.node.address,)
    agent = SyncAgent(View(Metrics()), lambda: silent, seeds, list, "wanaka", Metrics())
    agent.start()
    context.add_cleanup(agent.stop)
    wait_until(lambda: _is_listed(context, "i2"), "the silent process among the members")


def _is_listed(context: Context, instance: str) -> bool:
    members = context.node.registry.members()
    return any(member.instance_id == instance for member in members)


@then("the status shows the entry with version {version:d} and the other process as unreachable")
def check_processes(context: Context, version: int) -> None:
    status = json.loads(context.operator.result.stdout)
    found = {item["instance"]: item for item in status["processes"]}
    assert (found["i1"]["cfg_version"], found["i1"]["reachable"]) == (version, True), found
    assert (found["i2"]["cfg_version"], found["i2"]["reachable"]) == (None, False), found
    text = context.operator.run(f"status --peer {context.operator.places['ASSIGNER']}").stdout
    assert "unreachable" in text and "version 1" in text, text


@then("the status shows upstream u1 with {slots:d} slots")
def check_upstreams(context: Context, slots: int) -> None:
    context.operator.run(f"status --peer {context.operator.places['ASSIGNER']} --json")
    (upstream,) = json.loads(context.operator.result.stdout)["upstreams"]
    assert (upstream["upstream"], upstream["slots"]) == ("u1", slots)
