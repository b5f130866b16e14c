"""Steps for what the assigner concludes from the dispatchers' reports."""

import re
from dataclasses import replace

from assigner_support import ManualClock, make_cfg_document, make_member
from behave import given, then, when
from behave.runner import Context

from foxtailshunt.assigner import (
    HotKeyWatch,
    LoadWeights,
    PinPlan,
    ReportBook,
    UpstreamStates,
    UpstreamWatch,
)
from foxtailshunt.config import configuration_from_json
from foxtailshunt.ownership import Fence, Table, UpstreamRow, slot_of_key
from foxtailshunt.protocol import FenceMessage, UpstreamReport

_SLOTS = 30
_NONE: frozenset[str] = frozenset()
_EVENT = re.compile(r"(\w\d)([+-])(\w)@([\d.]+)")


class WatchSubject:
    """Upstreams with equal shares of the slots, and reports at times that the test names."""

    def __init__(self, names: list[str]) -> None:
        self.clock = ManualClock()
        self._start = self.clock.time_s
        self.reports = ReportBook(self.clock, lambda: None)
        self.upstreams = UpstreamWatch(self.reports, self.clock)
        self.hot_keys = HotKeyWatch(self.reports, self.clock)
        self.weights = LoadWeights(self.reports, self.clock)
        zones = dict.fromkeys(names, "wanaka")
        self.cfg = configuration_from_json(make_cfg_document(zones, _SLOTS), 1)
        size = _SLOTS // len(names)
        rows = {
            name: _row(name, frozenset(range(place * size, (place + 1) * size)))
            for place, name in enumerate(names)
        }
        self.table = Table("wanaka", "0", Fence(1, 1), "t", 1, (), (), rows, ())
        self.key = next(
            f"k{n}" for n in range(999) if slot_of_key(f"k{n}", _SLOTS) in rows["u0"].slots
        )
        self.loads: dict[str, float] = {}
        self.key_load = 0.0
        self.result: UpstreamStates | PinPlan | dict[str, float] | None = None

    def play(self, event: str) -> None:
        match = _EVENT.fullmatch(event)
        self.clock.time_s = self._start + float(event.partition("@")[2])
        if match is None:
            self.result = self.upstreams.update(self.table, _NONE)
            return
        name, sign, dispatcher = match[1], match[2], match[3]
        self._report(name, dispatcher, sign == "+", 0.0, {})

    def report_loads(self) -> None:
        for name, load in self.loads.items():
            key_load = {self.key: self.key_load} if name == "u0" and self.key_load else {}
            self._report(name, "a", True, load, key_load)

    def plan_hot_keys(self) -> None:
        self.report_loads()
        self.result = self.hot_keys.plan(self.table, self.cfg, frozenset(self.loads))

    def pin(self) -> None:
        """Let the key have moved to u1 and back."""
        row = replace(self.table.rows["u1"], pins=frozenset({self.key}))
        before, self.table = self.table, replace(self.table, rows={**self.table.rows, "u1": row})
        self.plan_hot_keys()
        self.table = before

    def follow_weights(self, time_s: int) -> None:
        for _ in range(time_s * 10 + 1):
            self.report_loads()
            self.result = self.weights.update(self.table, self.cfg, frozenset(self.loads))
            self.clock.time_s += 0.1

    def _report(
        self, name: str, dispatcher: str, reached: bool, load: float, key_load: dict[str, float]
    ) -> None:
        fence = FenceMessage(1, 1)
        message = UpstreamReport(name, None, False, fence, reached, False, load, key_load, 0, 0)
        self.reports.note(make_member(dispatcher, "dispatcher"), [message])


def _row(name: str, slots: frozenset[int]) -> UpstreamRow:
    return UpstreamRow(
        name, "desk", ("127.0.0.1", 1), Fence(1, 1), slots, _NONE, _NONE, ("a",), draining=False
    )


def _text(names: frozenset[str]) -> str:
    return " ".join(sorted(names))


@given("the assigner watches upstreams u0, u1 and u2")
def watch(context: Context) -> None:
    context.watch = WatchSubject(["u0", "u1", "u2"])


@given('upstreams of 2 slots each with the loads "{loads}" and a key of u0 with load {key:g}')
def watch_loads(context: Context, loads: str, key: float) -> None:
    pairs = [part.split("=") for part in loads.split()]
    context.watch = WatchSubject([name for name, _ in pairs])
    context.watch.loads = {name: float(load) for name, load in pairs}
    context.watch.key_load = key


@when('the dispatchers\' reports are "{events}"')
def play_events(context: Context, events: str) -> None:
    for event in events.split():
        context.watch.play(event)


@when("the hot keys are planned once")
def plan_once(context: Context) -> None:
    context.watch.plan_hot_keys()


@when("the hot keys are planned twice")
def plan_twice(context: Context) -> None:
    context.watch.plan_hot_keys()
    context.watch.plan_hot_keys()


@when("the hot keys are planned after a move")
def plan_after_move(context: Context) -> None:
    context.watch.plan_hot_keys()
    assert context.watch.result.wanted
    context.watch.pin()
    context.watch.plan_hot_keys()


@when("the weights are followed for {time_s:d} s")
def follow(context: Context, time_s: int) -> None:
    context.watch.follow_weights(time_s)


def _check_states(context: Context, ready: str, settled: str, lost: str) -> None:
    states = context.watch.result
    found = (_text(states.ready), _text(states.settled), _text(states.lost))
    assert found == (ready, settled, lost), found


@then('ready are "{ready}", settled "{settled}" and lost "{lost}"')
def check_states(context: Context, ready: str, settled: str, lost: str) -> None:
    _check_states(context, ready, settled, lost)


@then('ready are "{ready}", settled "{settled}" and lost ""')
def check_none_lost(context: Context, ready: str, settled: str) -> None:
    _check_states(context, ready, settled, "")


@then('ready are "{ready}", settled "" and lost "{lost}"')
def check_none_settled(context: Context, ready: str, lost: str) -> None:
    _check_states(context, ready, "", lost)


@then('ready are "{ready}", settled "" and lost ""')
def check_only_ready(context: Context, ready: str) -> None:
    _check_states(context, ready, "", "")


@then('ready are "", settled "" and lost "{lost}"')
def check_only_lost(context: Context, lost: str) -> None:
    _check_states(context, "", "", lost)


@then('ready are "", settled "" and lost ""')
def check_nothing(context: Context) -> None:
    _check_states(context, "", "", "")


def _check_unfit(context: Context, lost: str, unfit: str) -> None:
    found = (_text(context.watch.result.lost), _text(context.watch.upstreams.unfit_dispatchers()))
    assert found == (lost, unfit), found


@then('lost are "{lost}" and unfit dispatchers "{unfit}"')
def check_unfit(context: Context, lost: str, unfit: str) -> None:
    _check_unfit(context, lost, unfit)


@then('lost are "" and unfit dispatchers "{unfit}"')
def check_unfit_only(context: Context, unfit: str) -> None:
    _check_unfit(context, "", unfit)


@then('lost are "{lost}" and unfit dispatchers ""')
def check_lost_only(context: Context, lost: str) -> None:
    _check_unfit(context, lost, "")


@then('lost are "" and unfit dispatchers ""')
def check_neither(context: Context) -> None:
    _check_unfit(context, "", "")


@then('the hot key is wanted at "{target}"')
def check_target(context: Context, target: str) -> None:
    watch = context.watch
    assert watch.result.wanted == {watch.key: target}, watch.result


@then('the hot key is wanted at ""')
def check_no_target(context: Context) -> None:
    assert context.watch.result.wanted == {}, context.watch.result


@then('the weights are "{weights}"')
def check_weights(context: Context, weights: str) -> None:
    found = " ".join(f"{name}={weight:.2f}" for name, weight in context.watch.result.items())
    assert found == weights, found


@then('the weights are ""')
def check_no_weights(context: Context) -> None:
    assert context.watch.result == {}, context.watch.result
