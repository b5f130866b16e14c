"""Steps for the operation router, the routing table and request ids."""

import json
import uuid
from datetime import datetime

from behave import given, then, when
from behave.runner import Context
from entry_support import operation

from foxtailshunt.config import configuration_from_json
from foxtailshunt.entry._operation_router import OperationRouter
from foxtailshunt.entry._request_ids import (
    check_request_id,
    check_timed_request_id,
    draw_request_id,
)
from foxtailshunt.entry._routing_table import RoutingTable
from foxtailshunt.errors import FoxtailshuntError
from foxtailshunt.membership import View
from foxtailshunt.ownership import Fence, ProcessRef, Table, UpstreamRow, table_to_json
from foxtailshunt.telemetry import Metrics

_SERVICE = "desk"


class RouterSubject:
    """A router over the operations of a table."""

    def __init__(self, rows: list[dict[str, str]]) -> None:
        services = []
        for number, name in enumerate(sorted({row["service"] for row in rows})):
            upstream = {"id": name, "zone": "z", "address": f"127.0.0.1:{number + 1}"}
            operations = [
                operation(row["name"], row["method"], row["path"], "urgent", **_key_query(row))
                for row in rows
                if row["service"] == name
            ]
            services.append(
                {"name": name, "slots": 4, "upstreams": [upstream], "operations": operations}
            )
        document = {"fleet": "f", "zones": ["z"], "services": services}
        self._router = OperationRouter(configuration_from_json(json.dumps(document), 1))

    def match(self, request: str) -> str:
        method, _, target = request.partition(" ")
        try:
            found = self._router.match(method, target)
        except FoxtailshuntError as exc:
            return exc.code.name
        return f"{found.service.name} {found.operation.name} {found.key}"


class RoutingSubject:
    """A routing table over the rows of a table."""

    def __init__(self) -> None:
        self._view = View(Metrics())
        self._routes = RoutingTable(self._view)
        self._version = 0

    def publish(self, rows: list[dict[str, str]]) -> None:
        self._version += 1
        for zone in {row["zone"] for row in rows}:
            own = [row for row in rows if row["zone"] == zone]
            self._view.accept_table(table_to_json(self._make_table(zone, own)))

    def find(self, slot: int, key: str) -> str:
        routes = self._routes.find(_SERVICE, slot, key)
        return " ".join(
            f"{route.upstream_id}:{','.join(name for name, _ in route.dispatchers)}"
            for route in routes
        )

    def _make_table(self, zone: str, rows: list[dict[str, str]]) -> Table:
        fence = Fence(1, self._version)
        names = {name for row in rows for name in row["dispatchers"].split()} - {"gone"}
        refs = tuple(ProcessRef(name, ("127.0.0.1", 1), name) for name in sorted(names))
        upstreams = {row["upstream"]: _make_row(row, fence) for row in rows}
        return Table(zone, "0", fence, "token", 1, refs, (), upstreams, ())


class FixedClock:
    """A clock that stands still until it is moved."""

    def __init__(self, wall_time_s: float) -> None:
        self.wall_time_s = wall_time_s

    def now(self) -> float:
        return 0.0

    def wall_time(self) -> float:
        return self.wall_time_s


def _key_query(row: dict[str, str]) -> dict[str, str]:
    return {"key_query": row["key_query"]} if row["key_query"] else {}


def _make_row(row: dict[str, str], fence: Fence) -> UpstreamRow:
    first, _, last = row["slots"].partition("-")
    return UpstreamRow(
        upstream_id=row["upstream"],
        service=_SERVICE,
        address=("127.0.0.1", 1),
        fence=fence,
        slots=frozenset(range(int(first), int(last or first) + 1)),
        pins=frozenset(row["pins"].split()),
        excluded=frozenset(row["excluded"].split()),
        dispatchers=tuple(row["dispatchers"].split()),
        draining=False,
    )


def _rows(context: Context) -> list[dict[str, str]]:
    return [row.as_dict() for row in context.table]


@given("the operations")
def make_router(context: Context) -> None:
    context.router = RouterSubject(_rows(context))


@when('a request "{request}" is matched')
def match(context: Context, request: str) -> None:
    context.result = context.router.match(request)


@then('the match is "{expected}"')
def check_match(context: Context, expected: str) -> None:
    assert context.result == expected, context.result


@given("the rows")
def make_routing(context: Context) -> None:
    context.routing = RoutingSubject()
    context.routing.publish(_rows(context))


@when("the rows change to")
def change_routing(context: Context) -> None:
    context.routing.publish(_rows(context))


@when('the owner of key "{key}" in slot {slot:d} is looked up')
def find_owner(context: Context, key: str, slot: int) -> None:
    context.result = context.routing.find(slot, key)


@then('the routes are "{expected}"')
def check_routes(context: Context, expected: str) -> None:
    assert context.result == expected, context.result


@then('the routes are ""')
def check_no_routes(context: Context) -> None:
    assert context.result == "", context.result


@given("a clock at {moment} and a skew of {skew:d} s")
def make_clock(context: Context, moment: str, skew: int) -> None:
    context.clock = FixedClock(datetime.fromisoformat(moment).timestamp())
    context.skew_s = skew


@when('the request id "{request_id}" is checked')
def check_id(context: Context, request_id: str) -> None:
    try:
        check_request_id(request_id)
        check_timed_request_id(request_id, context.clock, context.skew_s)
    except FoxtailshuntError as exc:
        context.result = str(exc)
    else:
        context.result = "ok"


@then('the check says "{words}"')
def check_words(context: Context, words: str) -> None:
    assert words in context.result, context.result


@when("{count:d} request ids are drawn, one each 2 ms")
def draw_ids(context: Context, count: int) -> None:
    context.ids = []
    for _ in range(count):
        context.ids.append(draw_request_id(context.clock))
        context.clock.wall_time_s += 0.002


@then("they differ, pass the check and sort by time")
def check_ids(context: Context) -> None:
    for request_id in context.ids:
        check_timed_request_id(request_id, context.clock, context.skew_s)
        assert uuid.UUID(request_id).variant == uuid.RFC_4122
        assert uuid.UUID(request_id).version == 7
    assert len(set(context.ids)) == len(context.ids)
    assert sorted(context.ids) == context.ids
