"""Steps for the routes, keys and request ids of the own interface."""

import json
from typing import Any

from behave import given, then, when
from behave.runner import Context

from features.front_support import operation
from foxtailshunt.callers import OwnCallerInterface
from foxtailshunt.config import read_configuration, to_route_table
from foxtailshunt.errors import FoxtailshuntError
from foxtailshunt.routing import RequestLine, key_number


class RouterSubject:
    """The routes of a configuration with the operations of a table."""

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
            found = self._routes.match(RequestLine(method, "", target))
        except FoxtailshuntError as exc:
            return exc.code.name
        if found is None:
            return "NO_ROUTE"
        return f"{found.route.name.replace('.', ' ')} {found.key}"


def _key_query(row: dict[str, str]) -> dict[str, Any]:
    return {"key_query": row["key_query"]} if row["key_query"] else {}


@given("the operations")
def _(context: Context) -> None:
    context.router = RouterSubject([row.as_dict() for row in context.table])


@when('a request "{request}" is matched')
def _(context: Context, request: str) -> None:
    context.match = context.router.match(request)


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
        context.read_id = OwnCallerInterface().request_id((("X-Request-Id", request_id),))
    except FoxtailshuntError as exc:
        context.read_id = exc.message
    context.given_id = request_id


@then('the id says "{result}"')
def _(context: Context, result: str) -> None:
    if result == "ok":
        assert context.read_id == context.given_id, context.read_id
    else:
        assert result in context.read_id, context.read_id


@when("{count:d} request ids are drawn")
def _(context: Context, count: int) -> None:
    context.drawn = [OwnCallerInterface().request_id(()) for _ in range(count)]


@then("they differ and are ids that a caller may send")
def _(context: Context) -> None:
    assert len(set(context.drawn)) == len(context.drawn)
    for drawn in context.drawn:
        assert OwnCallerInterface().request_id((("x-request-id", drawn),)) == drawn
