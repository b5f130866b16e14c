"""Steps for the routes, keys and request ids of the product's own caller interface."""

import json
from typing import Any

from behave import given, then, when
from behave.runner import Context

from features.front_support import operation
from foxtailshunt.callers import OwnCallerInterface
from foxtailshunt.config import read_configuration, to_route_table
from foxtailshunt.errors import FoxtailshuntError
from foxtailshunt.routing import RequestLine, key_number


class ConfiguredRoutes:
    """The routes of a configuration that is built from a table of operations."""

    def __init__(self, rows: list[dict[str, str]]) -> None:
        services = []
        for number, name in enumerate(sorted({row["service"] for row in rows})):
            upstream = {"id": name, "zone": "z", "address": f"127.0.0.1:{number + 1}"}
            operations = [
                operation(row["name"], row["method"], row["path"], "urgent", **_key_query(row))
                for row in rows
                if row["service"] == name
            ]
            services.append({"name": name, "upstreams": [upstream], "operations": operations})
        document = {"fleet": "f", "zones": ["z"], "services": services}
        self._routes = to_route_table(read_configuration(json.dumps(document)), 1)

    def match(self, request: str) -> str:
        method, _, target = request.partition(" ")
        try:
            route_match = self._routes.match(RequestLine(method, "", target))
        except FoxtailshuntError as exc:
            return exc.code.name
        if route_match is None:
            return "NO_ROUTE"
        return f"{route_match.route.name.replace('.', ' ')} {route_match.key}"


def _key_query(row: dict[str, str]) -> dict[str, Any]:
    return {"key_query": row["key_query"]} if row["key_query"] else {}


@given("the operations")
def _(context: Context) -> None:
    context.routes = ConfiguredRoutes([row.as_dict() for row in context.table])


@when('a request "{request}" is matched')
def _(context: Context, request: str) -> None:
    context.match = context.routes.match(request)


@then('the match is "{result}"')
def _(context: Context, result: str) -> None:
    assert context.match == result, context.match


@then('key "{key}" has the number {number:d}')
def _(context: Context, key: str, number: int) -> None:
    assert key_number(key) == number, key_number(key)


@then('key "" has the number {number:d}')
def _(context: Context, number: int) -> None:
    assert key_number("") == number, key_number("")


@when('the request id "{request_id}" is read')
def _(context: Context, request_id: str) -> None:
    try:
        context.read_result = OwnCallerInterface().request_id((("X-Request-Id", request_id),))
    except FoxtailshuntError as exc:
        context.read_result = exc.message
    context.given_id = request_id


@then('the validation result is "{result}"')
def _(context: Context, result: str) -> None:
    if result == "ok":
        assert context.read_result == context.given_id, context.read_result
    else:
        assert result in context.read_result, context.read_result


@when("{count:d} request ids are generated")
def _(context: Context, count: int) -> None:
    context.generated_ids = [OwnCallerInterface().request_id(()) for _ in range(count)]


@then("they are unique and valid as ids of callers")
def _(context: Context) -> None:
    assert len(set(context.generated_ids)) == len(context.generated_ids)
    for generated_id in context.generated_ids:
        assert OwnCallerInterface().request_id((("x-request-id", generated_id),)) == generated_id
