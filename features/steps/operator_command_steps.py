"""Steps for the operator command line."""

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
from features.operator_support import (
    FailsAfterWriteStore,
    NodeSubject,
    StoreSubject,
    make_member,
    set_field,
)
from foxtailshunt.cli.operator import main
from foxtailshunt.config import (
    CONFIG_KEY,
)
from foxtailshunt.errors import FoxtailshuntError
from foxtailshunt.fleet import KeyRange
from foxtailshunt.network import format_address
from foxtailshunt.operator import ConfigApplier, exit_code_of
from standins.http import HttpServer, json_response


class OperatorSubject:
    """An operator with a configuration file who runs commands.

    Arguments may contain placeholders for paths and addresses, such as FILE, STORE and NODE.
    """

    def __init__(self, context: Context) -> None:
        folder = tempfile.TemporaryDirectory()
        context.add_cleanup(folder.cleanup)
        self.file = Path(folder.name) / "fleet.json"
        self.placeholders = {"FILE": str(self.file), "CLOSED": format_address(random_address())}
        self.result: Result | None = None

    def write(self, document: Any) -> None:
        self.file.write_text(json.dumps(document), encoding="utf-8")

    def run(self, arguments: str) -> Result:
        values = [self.placeholders.get(word, word) for word in arguments.split()]
        self.result = CliRunner().invoke(main, values)
        return self.result


class AdvancingClock:
    """A clock that advances by one second at each call."""

    def __init__(self) -> None:
        self._now = 0.0

    def now(self) -> float:
        self._now += 1
        return self._now


def _operator(context: Context) -> OperatorSubject:
    if not hasattr(context, "operator"):
        context.operator = OperatorSubject(context)
        context.operator.write(make_document())
    return context.operator


@given("a valid configuration file")
def write_valid(context: Context) -> None:
    _operator(context).write(make_document())


@given("a configuration file with {field} set to {value}")
def write_changed(context: Context, field: str, value: str) -> None:
    document = make_document()
    set_field(document, field, value)
    _operator(context).write(document)


@given("a configuration file that contains the first service twice")
def write_duplicate_services(context: Context) -> None:
    document = make_document()
    document["services"] *= 2
    _operator(context).write(document)


@given("a configuration file with a second service that has the same operations")
def write_shared_paths(context: Context) -> None:
    document = make_document()
    upstream = {"id": "u2", "zone": "wanaka", "address": "127.0.0.1:1002"}
    document["services"].append({**document["services"][0], "name": "desk2"})
    document["services"][1]["upstreams"] = [upstream]
    _operator(context).write(document)


@given("a file that contains {content}")
def write_content(context: Context, content: str) -> None:
    contents = {
        "nothing": b"",
        "half a document": json.dumps(make_document()).encode()[:100],
        "a list": b"[1, 2]",
        "bytes": b"\xff\xfe\x00",
        "a megabyte": b'"' + b"a" * 1_000_000 + b'"',
    }
    _operator(context).file.write_bytes(contents[content])


@when('the operator runs "{arguments}"')
def run_command(context: Context, arguments: str) -> None:
    _operator(context).run(arguments)


@then("the exit code is {code:d}")
def check_exit_code(context: Context, code: int) -> None:
    result = context.operator.result
    assert result.exit_code == code, (result.exit_code, result.output, result.exception)


@then('the error contains "{message}" and the output has no traceback')
def check_error(context: Context, message: str) -> None:
    result = context.operator.result
    assert message in " ".join(result.stderr.split()), result.stderr
    assert "Traceback" not in result.output
    assert result.exception is None or isinstance(result.exception, SystemExit), result.exception


@then('the output is "{text}"')
def check_output(context: Context, text: str) -> None:
    assert context.operator.result.stdout == text + "\n", context.operator.result.output


@then('the output contains "{first}" and "{second}" and "{third}"')
def check_output_parts(context: Context, first: str, second: str, third: str) -> None:
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
    _operator(context).placeholders["STORE"] = format_address(context.store_subject.server.address)


@given("a store with version {version:d} and a valid configuration file")
def start_store_with_version(context: Context, version: int) -> None:
    start_store(context)
    context.store_subject.put_version(version)


@when("the store loses the response to the next write")
def lose_response(context: Context) -> None:
    context.store_subject.server.responses_to_lose_by_key[CONFIG_KEY] = 1


@when("a change is applied and the store becomes unavailable after it has executed the write")
def apply_before_outage(context: Context) -> None:
    document = make_document()
    document["services"][0]["connections"] = 3
    applier = ConfigApplier(FailsAfterWriteStore(context.store_subject.client), AdvancingClock())
    try:
        applier.apply(json.dumps(document), 1)
    except FoxtailshuntError as exc:
        context.error = exc


@then("the result is {name} with exit code {code:d}")
def check_error_code(context: Context, name: str, code: int) -> None:
    assert (context.error.code.name, exit_code_of(context.error)) == (name, code)


@then("the store holds version {version:d}")
def check_version(context: Context, version: int) -> None:
    assert context.store_subject.record().version == version


@when("two operators apply different files over version 1 at the same time")
def apply_concurrently(context: Context) -> None:
    context.operators = [OperatorSubject(context) for _ in range(2)]
    commands = []
    for number, subject in enumerate(context.operators):
        document = make_document()
        document["services"][0]["connections"] = number + 2
        subject.write(document)
        store = context.operator.placeholders["STORE"]
        commands.append(["apply", str(subject.file), "--store", store, "--expect-version", "1"])
    program = str(Path(sys.executable).parent / "foxtailshunt")
    processes = [
        subprocess.Popen([program, *command], stderr=subprocess.PIPE, text=True)
        for command in commands
    ]
    context.errors = [process.communicate(timeout=WAIT_TIMEOUT_S)[1] for process in processes]
    context.exit_codes = [process.returncode for process in processes]


@then("one exit code is {first:d} and the other {second:d}")
def check_exit_codes(context: Context, first: int, second: int) -> None:
    assert sorted(context.exit_codes) == [first, second], (context.exit_codes, context.errors)


@then("the store holds version {version:d} with the content of the successful operator")
def check_stored_content(context: Context, version: int) -> None:
    successful = context.operators[context.exit_codes.index(0)]
    record = context.store_subject.record()
    assert (record.version, record.document) == (version, successful.file.read_text())


@given("a server at OTHER that is not a node")
def start_other(context: Context) -> None:
    server = HttpServer(("127.0.0.1", 0), lambda req: json_response(200, {"status": "up"}), 2)
    server.start()
    context.add_cleanup(server.stop)
    _operator(context).placeholders["OTHER"] = format_address(server.address)


@given("a node with these key ranges")
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
    _operator(context).placeholders["NODE"] = format_address(context.node.address)


@given("another member of its fleet, and one that does not respond")
def add_members(context: Context) -> None:
    other = NodeSubject(context, "n2", leads=True)
    other.ranges = context.node.ranges
    unreachable = make_member("n3", random_address())
    context.node.members += [other.member(), unreachable]


@then(
    "the status shows the nodes n1 and n2 with version {version:d}, n2 as leader, "
    "and n3 as unreachable"
)
def check_nodes(context: Context, version: int) -> None:
    status = json.loads(context.operator.result.stdout)
    nodes = {item["instance"]: item for item in status["nodes"]}
    assert [nodes[name]["cfg_version"] for name in ("n1", "n2")] == [version] * 2, nodes
    assert [nodes[name]["reachable"] for name in ("n1", "n2", "n3")] == [True, True, False], nodes
    assert nodes["n2"]["leads"] and status["leader"] == "n2", status
    assert nodes["n1"]["load"] == [2, 1] and nodes["n3"]["load"] is None, nodes


@then(
    "the status shows u1 with {keys:d} keys, u2 with {moving:d} in handover, "
    "and {share:g}% of keys with an owner"
)
def check_upstreams(context: Context, keys: int, moving: int, share: float) -> None:
    status = json.loads(context.operator.result.stdout)
    upstreams = {item["upstream"]: item for item in status["upstreams"]}
    assert (upstreams["u1"]["keys"], upstreams["u1"]["moving_keys"]) == (keys, 0), upstreams
    assert (upstreams["u2"]["keys"], upstreams["u2"]["moving_keys"]) == (0, moving), upstreams
    assert upstreams["u3"]["leaving"] and not upstreams["u1"]["leaving"], upstreams
    assert round(100 * status["owned_share"], 1) == share, status["owned_share"]
