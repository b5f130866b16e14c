"""Steps for reading the list of upstreams from the store."""

import json

from behave import given, then, when
from behave.runner import Context

from foxtailshunt.assigning import UpstreamReader
from foxtailshunt.fleet import FleetView
from foxtailshunt.platform import StoreChange, StoreItem

_LEAVING = 17
_PAGE = 50


class HeartbeatStore:
    """A store in which upstreams write heartbeats, on a clock that the scenario advances.

    :param max_changes: maximum number of changes that one response carries.
    :param upstreams: number of upstreams.
    :param interval_s: time between two heartbeats of an upstream, in seconds.
    """

    def __init__(self, max_changes: int, upstreams: int, interval_s: float) -> None:
        self.now = 100.0
        self.calls = 0
        self.leaves_at = float("inf")
        self._has_left = False
        self._max_changes = max_changes
        self._interval_s = interval_s
        self._count = upstreams
        #: Each write with its time, in order; its revision is its position plus 1.
        self._writes: list[tuple[float, StoreItem]] = []
        self._next_write_at = [
            self.now - interval_s + interval_s * number / upstreams for number in range(upstreams)
        ]
        self.advance(0.0)

    def advance(self, seconds: float) -> None:
        self.now += seconds
        while (at := min(*self._next_write_at, self._leaving_write_at())) <= self.now:
            if at == self.leaves_at:
                self._has_left = True
                self._write(_LEAVING, at)
                continue
            number = self._next_write_at.index(at)
            self._next_write_at[number] = at + self._interval_s
            self._write(number, at)

    def _leaving_write_at(self) -> float:
        return float("inf") if self._has_left else self.leaves_at

    def list_items(self, prefix: str, stale: bool, timeout_s: float) -> tuple[list[StoreItem], int]:
        self.calls += -(-self._count // _PAGE)
        items = {item.key: item for _, item in self._writes}
        return list(items.values()), len(self._writes)

    def watch(self, prefix: str, after: int, wait_s: float) -> tuple[list[StoreChange], int]:
        self.calls += 1
        found = [item for _, item in self._writes[after : after + self._max_changes]]
        return [StoreChange(item.key, item) for item in found], after + len(found)

    def _write(self, number: int, at: float) -> None:
        is_leaving = number == _LEAVING and at >= self.leaves_at
        value = {
            "service": "desk",
            "address": f"10.0.{number // 250}.{number % 250 + 1}:80",
            "zone": "zone-a",
            "slots": 2,
            "state": "draining" if is_leaving else "ready",
            "born": 1,
        }
        revision = len(self._writes) + 1
        item = StoreItem(f"servers/u{number}", json.dumps(value).encode(), revision, 0)
        self._writes.append((at, item))


@given(
    "a store that returns at most {most:d} changes of {count:d} upstreams, "
    "which write every {interval:g} s"
)
def start_store(context: Context, most: int, count: int, interval: float) -> None:
    context.heartbeats = HeartbeatStore(most, count, interval)


@given("a node that has read the list of upstreams")
def read_first(context: Context) -> None:
    store = context.heartbeats
    context.reader = UpstreamReader(store, lambda: store.now, FleetView(lambda: store.now))
    context.lists = [context.reader.poll()]
    assert not context.lists[0][f"u{_LEAVING}"].leaving


@when("an upstream begins to leave {seconds:g} s later")
def leave(context: Context, seconds: float) -> None:
    context.heartbeats.leaves_at = context.heartbeats.now + seconds


@when("the node reads the list again after {seconds:g} s")
def read_again(context: Context, seconds: float) -> None:
    context.heartbeats.advance(seconds)
    context.lists.append(context.reader.poll())


@then("the upstream is leaving in the list")
def check_leaving(context: Context) -> None:
    assert context.lists[-1][f"u{_LEAVING}"].leaving


@then("no list that the node has read names an upstream as ready after it began to leave")
def check_no_old_list(context: Context) -> None:
    context.heartbeats.advance(0.3)
    assert context.reader.poll()[f"u{_LEAVING}"].leaving


@when("the node reads the list every {interval:g} s for {seconds:d} s")
def read_often(context: Context, interval: float, seconds: int) -> None:
    context.heartbeats.calls = 0
    context.reads = round(seconds / interval)
    for _ in range(context.reads):
        read_again(context, interval)


@then("it has made at most {most:d} calls for each time")
def check_calls(context: Context, most: int) -> None:
    assert context.heartbeats.calls <= most * context.reads, context.heartbeats.calls
