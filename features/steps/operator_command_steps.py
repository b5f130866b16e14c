"""Steps for the operators' command line."""

import json
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

from behave import given, then, when
from behave.runner import Context
from click.testing import CliRunner, Result

from features.front_support import WAIT_TIMEOUT_S, make_document, random_address
from features.operator_support import NodeSubject, StoreSubject, VanishingStore, make_member
from foxtailshunt.cli.operator import main
from foxtailshunt.config import (
    CONFIG_KEY,
)
from foxtailshunt.errors import FoxtailshuntError
from foxtailshunt.fleet import KeyRange
from foxtailshunt.network import format_address
from foxtailshunt.operator import ConfigApplier, exit_code_of
from standins.http import HttpServer, json_response

_REMOVED = "-"


class OperatorSubject:
    """An operator with a file, who runs commands; FILE, PLATFORM and others stand for places."""

    def __init__(self, context: Context) -> None:
        folder = tempfile.TemporaryDirectory()
        context.add_cleanup(folder.cleanup)
        self.file = Path(folder.name) / "fleet.json"
        self.places = {"FILE": str(self.file), "CLOSED": format_address(random_address())}
        self.result: Result | None = None

    def write(self, document: Any) -> None:
        self.file.write_text(json.dumps(document), encoding="utf-8")

    def run(self, arguments: str) -> Result:
        words = [self.places.get(word, word) for word in arguments.split()]
        self.result = CliRunner().invoke(main, words)
        return self.result


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


@given("a store and a valid configuration file")
def start_store(context: Context) -> None:
    context.store_subject = StoreSubject(context)
    _operator(context).places["STORE"] = format_address(context.store_subject.server.address)


@given("a store with version {version:d} and a valid configuration file")
def start_filled_store(context: Context, version: int) -> None:
    start_store(context)
    context.store_subject.put_version(version)


@when("the store loses the answer to the next write")
def lose_answer(context: Context) -> None:
    context.store_subject.server.responses_to_lose_by_key[CONFIG_KEY] = 1


@when("a change is applied and the store goes down as soon as it has taken the write")
def apply_before_outage(context: Context) -> None:
    document = make_document()
    document["services"][0]["connections"] = 3
    applier = ConfigApplier(VanishingStore(context.store_subject.client), JumpingClock())
    try:
        applier.apply(json.dumps(document), 1)
    except FoxtailshuntError as exc:
        context.error = exc


@then("the operator is told {name} with exit code {code:d}")
def check_error_code(context: Context, name: str, code: int) -> None:
    assert (context.error.code.name, exit_code_of(context.error)) == (name, code)


@then("the store still holds version {version:d}")
def check_version(context: Context, version: int) -> None:
    assert context.store_subject.record().version == version


@when("two operators apply different files over version 1 at the same time")
def race(context: Context) -> None:
    context.racers = [OperatorSubject(context) for _ in range(2)]
    commands = []
    for number, racer in enumerate(context.racers):
        document = make_document()
        document["services"][0]["connections"] = number + 2
        racer.write(document)
        place = context.operator.places["STORE"]
        commands.append(["apply", str(racer.file), "--store", place, "--expect-version", "1"])
    program = str(Path(sys.executable).parent / "foxtailshunt")
    processes = [subprocess.Popen([program, *command]) for command in commands]
    context.race_codes = [process.wait(WAIT_TIMEOUT_S) for process in processes]


@then("one exit code is {first:d} and the other {second:d}")
def check_race(context: Context, first: int, second: int) -> None:
    assert sorted(context.race_codes) == [first, second], context.race_codes


@then("the store holds version {version:d} with the winner's content")
def check_winner(context: Context, version: int) -> None:
    winner = context.racers[context.race_codes.index(0)]
    record = context.store_subject.record()
    assert (record.version, record.document) == (version, winner.file.read_text())


@given("something that is no node at OTHER")
def start_other(context: Context) -> None:
    server = HttpServer(("127.0.0.1", 0), lambda req: json_response(200, {"status": "up"}), 2)
    server.start()
    context.add_cleanup(server.stop)
    _operator(context).places["OTHER"] = format_address(server.address)


@given("a node that knows")
def start_node(context: Context) -> None:
    context.node = NodeSubject(context, "n1", leads=False)
    context.node.ranges = [
        KeyRange(
            "desk",
            int(row["first"]),
            int(row["last"]),
            row["owner"],
            9,
            row["giver"] or None,
            row["moving"] == "yes",
        )
        for row in context.table
    ]
    context.node.members = [context.node.member()]
    _operator(context).places["NODE"] = format_address(context.node.address)


@given("another node that it knows, and one that does not answer")
def add_nodes(context: Context) -> None:
    other = NodeSubject(context, "n2", leads=True)
    other.ranges = context.node.ranges
    silent = make_member("n3", random_address())
    context.node.members += [other.member(), silent]


@then(
    "the status shows the nodes n1 and n2 with version {version:d}, n2 as leader, "
    "and n3 as unreachable"
)
def check_nodes(context: Context, version: int) -> None:
    status = json.loads(context.operator.result.stdout)
    found = {item["instance"]: item for item in status["nodes"]}
    assert [found[name]["cfg_version"] for name in ("n1", "n2")] == [version] * 2, found
    assert [found[name]["reachable"] for name in ("n1", "n2", "n3")] == [True, True, False], found
    assert found["n2"]["leads"] and status["leader"] == "n2", status
    assert found["n1"]["load"] == [2, 1] and found["n3"]["load"] is None, found


@then(
    "the status shows u1 with {keys:d} keys, u2 with {moving:d} on their way, "
    "and {share:g}% of keys with an owner"
)
def check_upstreams(context: Context, keys: int, moving: int, share: float) -> None:
    status = json.loads(context.operator.result.stdout)
    found = {item["upstream"]: item for item in status["upstreams"]}
    assert (found["u1"]["keys"], found["u1"]["moving_keys"]) == (keys, 0), found
    assert (found["u2"]["keys"], found["u2"]["moving_keys"]) == (0, moving), found
    assert found["u3"]["leaving"] and not found["u1"]["leaving"], found
    assert round(100 * status["owned_share"], 1) == share, status["owned_share"]
