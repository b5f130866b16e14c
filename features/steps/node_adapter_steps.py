"""Steps for the platform adapter."""

import json
from typing import Any

from behave import given, then, when
from behave.runner import Context

from foxtailshunt.errors import FoxtailshuntError
from foxtailshunt.fleet import KeyRange
from foxtailshunt.platform import (
    KeyGrantClient,
    UpstreamReplacedError,
    UpstreamResponse,
    classify_response,
    decode_configuration,
    decode_upstream,
    states_leaving,
    upstream_request_headers,
)
from foxtailshunt.routing import RequestLine, Route
from standins.keyowner import KeyOwner

_GRANT_TIMEOUT_S = 10.0

_CONFIGURATION: dict[str, Any] = {
    "version": "r7",
    "routes": {
        "r-a": {
            "host": "shop.example",
            "prefix": "/a/",
            "route_type": "safe",
            "timeout": "1000ms",
            "aim": "500ms",
            "priority": 1,
            "max_attempts": 2,
            "service": "one",
        }
    },
    "services": {"one": {"max_conns": 10, "sharded": True}},
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 1000,
        "header_timeout": "3000ms",
        "idle_timeout": "15s",
    },
}
_ENTRY: dict[str, Any] = {
    "service": "one",
    "address": "10.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "warmup_left": "0ms",
    "seq": 4,
}


class AdapterSubject:
    """Creates documents with one changed field."""

    @staticmethod
    def with_field(document: dict[str, Any], path: str, value: str) -> bytes:
        copy = json.loads(json.dumps(document))
        *parents, last = path.split(".")
        inner = copy
        for name in parents:
            inner = inner[name]
        inner[last] = json.loads(value)
        return json.dumps(copy).encode()


def _route_row(route: Route | None) -> dict[str, str]:
    if route is None:
        return {"route": "none"}
    return {
        "route": route.name,
        "idempotent": "yes" if route.idempotent else "no",
        "timeout s": str(route.timeout_s),
        "aim s": str(route.latency_objective_s),
        "rank": str(route.rank),
        "upstreams": str(route.max_upstreams),
        "services": ", ".join(part.service for part in route.services),
    }


@when("this configuration is decoded")
def _(context: Context) -> None:
    context.routes = decode_configuration(context.text.encode())


@when("a configuration is decoded in which {part} is {value}")
def _(context: Context, part: str, value: str) -> None:
    document = AdapterSubject.with_field(_CONFIGURATION, part, value)
    context.rejection = None
    try:
        decode_configuration(document)
    except FoxtailshuntError as exc:
        context.rejection = exc.message


@when("an entry is decoded in which {part} is {value}")
def _(context: Context, part: str, value: str) -> None:
    document = AdapterSubject.with_field(_ENTRY, part, value)
    try:
        context.upstream = decode_upstream("servers/u1", document)
    except ValueError:
        context.upstream = None


@when("upstream {upstream_id} responds to request {request_id} with {status:d} and {headers}")
def _(context: Context, upstream_id: str, request_id: str, status: int, headers: str) -> None:
    pairs = tuple(
        (name.strip(), value.strip())
        for name, _, value in (part.partition(":") for part in headers.split(",") if part)
    )
    context.response = UpstreamResponse(status, pairs, b"")
    context.attempt_result = classify_response(context.response, request_id, upstream_id)


@given("an upstream {kind} at the address of u1, which has terminated")
def _(context: Context, kind: str) -> None:
    owner = KeyOwner("u2", "desk", "zone-a", None, keyed=kind == "with keys")
    context.add_cleanup(owner.stop)
    context.client = KeyGrantClient(owner.address, "u1")
    context.add_cleanup(context.client.close)


@when("keys are {call} u1")
def _(context: Context, call: str) -> None:
    keys = KeyRange("desk", 0, 9, "u1", 3)
    context.replaced = None
    try:
        if call == "granted to":
            context.client.grant(keys, 1.0, None, _GRANT_TIMEOUT_S)
        else:
            context.client.release(keys, _GRANT_TIMEOUT_S)
    except UpstreamReplacedError as exc:
        context.replaced = exc


@then("the call reports that u1 has terminated")
def _(context: Context) -> None:
    assert context.replaced is not None


@when("a request goes to upstream {upstream_id} with {left:d} ms left and these headers")
def _(context: Context, upstream_id: str, left: int) -> None:
    headers = [(row["name"], row["value"]) for row in context.table]
    context.sent_headers = upstream_request_headers(
        tuple(headers), "r1", 7, upstream_id, left / 1000
    )


@then("its version is {version:d}")
def _(context: Context, version: int) -> None:
    assert context.routes.version == version


@then("the routes are")
def _(context: Context) -> None:
    for row in context.table:
        match = context.routes.match(RequestLine("GET", "SHOP.example:80", row["path"]))
        found = _route_row(match.route if match is not None else None)
        expected = {name: row[name] for name in found}
        assert found == expected, (found, expected)


@then("the sharded services are {names}")
def _(context: Context, names: str) -> None:
    sharded = [name for name, info in context.routes.services.items() if info.keyed]
    assert sharded == names.split(", "), sharded


@then("the configuration is rejected at {field}")
def _(context: Context, field: str) -> None:
    assert context.rejection is not None, "the configuration was accepted"
    assert context.rejection.startswith(field), context.rejection


@then("the entry is of a {state} upstream")
def _(context: Context, state: str) -> None:
    assert context.upstream is not None
    assert context.upstream.leaving == (state == "leaving")
    assert (context.upstream.upstream_id, context.upstream.slots) == ("u1", 2)


@then("the entry is rejected")
def _(context: Context) -> None:
    assert context.upstream is None, context.upstream


@then("the response is classified as {result}")
def _(context: Context, result: str) -> None:
    assert context.attempt_result.value == result, context.attempt_result


@then("the upstream receives these headers")
def _(context: Context) -> None:
    expected = [(row["name"], row["value"]) for row in context.table]
    assert list(context.sent_headers) == expected, context.sent_headers


@then("the response states that the upstream is {state:w}")
def _(context: Context, state: str) -> None:
    assert context.response.states_leaving == (state == "leaving"), context.response
    relayed = context.response.caller_headers()
    assert states_leaving(relayed) == (state == "leaving"), relayed


@then("the upstream wants no requests for {seconds} s")
def _(context: Context, seconds: str) -> None:
    expected = None if seconds == "no" else float(seconds)
    assert context.response.retry_after_s == expected, context.response.retry_after_s
