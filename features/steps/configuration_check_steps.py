"""Steps for findings and differences that ``check`` reports."""

import json
from typing import Any

from behave import given, then
from behave.runner import Context

from features.front_support import make_document, random_address
from features.operator_support import set_field
from foxtailshunt.config import CONFIG_KEY, ConfigRecord, config_record_to_json
from foxtailshunt.network import format_address
from foxtailshunt.platform import CONFIGURATION_KEY, decode_configuration
from foxtailshunt.routing import RequestLine
from foxtailshunt.telemetry import Metrics, OperatorServer


def _route(prefix: str, service: str) -> dict[str, Any]:
    return {
        "host": "shop.example",
        "prefix": prefix,
        "route_type": "safe",
        "timeout": "1s",
        "aim": "500ms",
        "priority": 1,
        "max_attempts": 2,
        "service": service,
    }


def _document() -> dict[str, Any]:
    return {
        "version": "r7",
        "routes": {"r-a": _route("/a/", "one"), "r-b": _route("/b/", "two")},
        "services": {"one": {"sharded": True}, "two": {}},
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1000,
            "header_timeout": "3s",
            "idle_timeout": "15s",
        },
    }


def _write(context: Context, text: str) -> None:
    context.execute_steps("Given a valid configuration file")
    context.operator.file.write_text(text, encoding="utf-8")


@given("a platform configuration with {field} set to {value}")
def write_platform_configuration(context: Context, field: str, value: str) -> None:
    document = _document()
    set_field(document, field, value)
    _write(context, json.dumps(document))


@given("a platform configuration in which the route r-b has the name r-a")
def write_repeated_name(context: Context) -> None:
    _write(context, json.dumps(_document()).replace('"r-b"', '"r-a"'))


@given("the store holds the platform configuration")
def store_platform_configuration(context: Context) -> None:
    context.store_subject.store.put(CONFIGURATION_KEY, json.dumps(_document()).encode())


@given("the store holds a malformed record")
def store_malformed_record(context: Context) -> None:
    context.store_subject.store.put(CONFIG_KEY, b"{}")


@given("a node at NODE that has the platform configuration, and one at EMPTY without")
def start_nodes(context: Context) -> None:
    _start_node(context, "NODE", json.dumps(_document()).encode())
    _start_node(context, "EMPTY", b"")


def _start_node(context: Context, name: str, configuration: bytes) -> None:
    address = random_address()
    server = OperatorServer(address, Metrics(), lambda: {}, lambda: True, lambda: configuration)
    server.start()
    context.add_cleanup(server.stop)
    context.operator.placeholders[name] = format_address(address)


def _stored_value(text: str) -> tuple[str, bytes]:
    """Return the key and the value of a version such as ``own 1/3`` or ``platform r7``."""
    fmt, _, version = text.partition(" ")
    if fmt == "platform":
        return CONFIGURATION_KEY, json.dumps(_document() | {"version": version}).encode()
    if version == "nothing":
        return CONFIG_KEY, b""
    era, number = map(int, version.split("/"))
    record = ConfigRecord(number, "token", json.dumps(make_document()), era)
    return CONFIG_KEY, config_record_to_json(record).encode()


@given("a store of era {era:d} that holds {stored}, and a node at NODE that has {in_force}")
def start_store_and_node(context: Context, era: int, stored: str, in_force: str) -> None:
    context.execute_steps("Given a store and a valid configuration file")
    store = context.store_subject.store
    store.era = era
    key, value = _stored_value(stored)
    if value:
        store.put(key, value)
    if in_force == "unreachable":
        context.operator.placeholders["NODE"] = format_address(random_address())
    else:
        _start_node(context, "NODE", _stored_value(in_force)[1])


@given("a configuration file of the format of {stored}")
def write_file_of_format(context: Context, stored: str) -> None:
    document = _document() if stored.startswith("platform") else make_document()
    _write(context, json.dumps(document))


@then("the comparison is with version {version:d}, read from {source}")
def check_comparison(context: Context, version: int, source: str) -> None:
    comparison = json.loads(context.operator.result.stdout)["comparison"]
    source = context.operator.placeholders.get(source, source)
    assert (comparison["version"], comparison["source"]) == (version, source), comparison


@given('settings of a node in the region "{region}" with the zone "{zone}" in "{other}"')
def write_settings(context: Context, region: str, zone: str, other: str) -> None:
    settings = {
        "instance_id": "n1",
        "zone": "ridge",
        "host": "127.0.0.1",
        "callers": "127.0.0.1:1",
        "readiness": "127.0.0.1:2",
        "peer_port": 3,
        "operator_port": 4,
        "store": context.operator.placeholders["STORE"],
        "grace": "6s",
        "repeat_ratio": 0.2,
        "repeat_reserve": 10,
        "region": region,
        "zone_regions": {zone: other},
    }
    path = context.operator.file.with_name("settings.json")
    path.write_text(json.dumps(settings), encoding="utf-8")
    context.operator.placeholders["SETTINGS"] = str(path)


@then('the exit code is {code:d} and the findings are "{findings}"')
def check_findings(context: Context, code: int, findings: str) -> None:
    result = context.operator.result
    document = json.loads(result.stdout)
    found = [
        f"{item['category']} {item['kind']} {item['location']}" for item in document["findings"]
    ]
    assert ", ".join(found) == findings, found
    assert all(item["message"] for item in document["findings"]), document
    assert (result.exit_code, document["exit_code"]) == (code, code), result.output


@then('the exit code is {code:d} and the findings are ""')
def check_no_findings(context: Context, code: int) -> None:
    check_findings(context, code, "")


@then('a request of "{host}" for "{target}" is routed to {name}')
def check_routing(context: Context, host: str, target: str, name: str) -> None:
    routes = decode_configuration(context.operator.file.read_bytes())
    found = routes.match(RequestLine("GET", host, target))
    assert (found.route.name if found else "none") == name, found


@then('the output ends with the lines "{lines}"')
def check_last_lines(context: Context, lines: str) -> None:
    expected = lines.split(" / ")
    found = context.operator.result.stdout.splitlines()[-len(expected) :]
    assert found == expected, found


@then("the differences from version {version:d} are {differences}")
def check_differences(context: Context, version: int, differences: str) -> None:
    comparison = json.loads(context.operator.result.stdout)["comparison"]
    found = [[it["kind"], it["location"], it["old"], it["new"]] for it in comparison["differences"]]
    assert (comparison["version"], found) == (version, json.loads(differences)), comparison


@then('the last line of the output contains "{text}"')
def check_last_line(context: Context, text: str) -> None:
    last = context.operator.result.stdout.splitlines()[-1]
    assert text in last, last
