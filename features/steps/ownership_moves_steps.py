"""Steps for plans of tables, proofs of release and the handover of witnesses."""

from dataclasses import replace

from assigner_support import ManualClock, make_cfg_document, make_member, wait_until
from assigner_support._refusing_witnesses import RefusingWitnesses
from assigner_support._slot_text import format_slots, parse_numbers, parse_slots
from behave import given, then, when
from behave.runner import Context

from foxtailshunt.assigner import (
    HearingWatch,
    PinPlan,
    PlanInput,
    ReportBook,
    TransitKey,
    TransitWatch,
    UpstreamStates,
    WitnessWatch,
    plan_table,
)
from foxtailshunt.config import configuration_from_json
from foxtailshunt.ownership import Fence, ProcessRef, Table, Transit, UpstreamRow, slot_of_key
from foxtailshunt.protocol import FenceMessage, UpstreamReport

_ZONE = "wanaka"
_SLOTS = 8
_OLD = Fence(1, 1)
_NONE: frozenset[str] = frozenset()


def make_ref(name: str) -> ProcessRef:
    """Return a dispatcher; ``c@c2`` is incarnation ``c2`` of instance c's process."""
    instance_id, _, boot_id = name.partition("@")
    return ProcessRef(instance_id, ("127.0.0.1", ord(instance_id[0])), boot_id or instance_id)


def make_row(upstream_id: str, slots: frozenset[int], address: tuple[str, int]) -> UpstreamRow:
    return UpstreamRow(
        upstream_id, "desk", address, _OLD, slots, _NONE, _NONE, ("d0",), draining=False
    )


def make_table(rows: dict[str, UpstreamRow], transits: tuple[Transit, ...] = ()) -> Table:
    return Table(_ZONE, "0", _OLD, "t", 1, (make_ref("d0"),), (("d0",),), rows, transits)


class PlanSubject:
    """A table and the plan that follows it."""

    def __init__(self, rows: str, transits: str) -> None:
        self.slots = parse_slots(rows)
        taken = [
            Transit("desk", name, _OLD, slots, _NONE)
            for name, slots in parse_slots(transits).items()
            if slots
        ]
        self.transits = tuple(taken)
        self.key = next(f"k{n}" for n in range(99) if slot_of_key(f"k{n}", _SLOTS) in range(4))

    def start(self, events: dict[str, str]) -> None:
        names = sorted(self.slots | dict.fromkeys(_names(events, "added"), frozenset()))
        zones = {name: _ZONE for name in names if name not in _names(events, "removed")}
        self.cfg = configuration_from_json(
            make_cfg_document(zones, _SLOTS, int(events.get("max", 16))), 1
        )
        addresses = {u.upstream_id: u.address for u in self.cfg.services["desk"].upstreams}
        gone = ("127.0.0.1", 9)
        self.table = make_table(
            {
                name: make_row(name, slots, addresses.get(name, gone))
                for name, slots in self.slots.items()
            },
            self.transits,
        )

    def plan(self, events: dict[str, str], pins: PinPlan | None = None) -> None:
        table = self.table
        lost, new = _names(events, "lost"), _names(events, "new")
        ready = frozenset(table.rows) - lost - new
        numbers = {name: events.get(name, "").replace(",", " ") for name in ("giving", "homed")}
        is_known = numbers["homed"] != "unknown"
        homed = {"desk": parse_numbers(numbers["homed"] or "0-7")} if is_known else {}
        finished = _names(events, "finished")
        inputs = PlanInput(
            cfg=self.cfg,
            zone=_ZONE,
            homed=homed,
            giving={"desk": parse_numbers(numbers["giving"])},
            states=UpstreamStates(
                new=new,
                ready=ready,
                settled=ready - _names(events, "unsettled"),
                lost=lost,
                draining=_names(events, "draining"),
            ),
            weights={},
            finished=frozenset(
                TransitKey.of(transit)
                for transit in table.transits
                if transit.upstream_id in finished
            ),
            live_dispatchers=(make_ref(events.get("dispatchers", "d0")),),
            unfit_dispatchers=frozenset(),
            senders={},
            dispatcher_moves=0,
            witness_sets=((events.get("sets", "d0"),),),
            pins=pins or PinPlan(),
        )
        fence = Fence(table.fence.term, table.fence.version + 1)
        self.table = plan_table(table, inputs, fence)

    def rows_text(self) -> str:
        return format_slots({name: row.slots for name, row in self.table.rows.items()})

    def transits_text(self) -> str:
        slots: dict[str, frozenset[int]] = {}
        for transit in self.table.transits:
            slots[transit.upstream_id] = slots.get(transit.upstream_id, _NONE) | transit.slots
        return format_slots(slots)

    def play(self, step: str) -> None:
        """Plan one step in the life of the hot key."""
        events = {}
        pins = PinPlan()
        if step in ("pin", "wait", "end") and not self.was_pinned():
            pins = PinPlan(wanted={self.key: "u2"})
        if step == "end":
            events["finished"] = "u0,u1,u2"
        if step == "unpin":
            pins = PinPlan(unpin=frozenset({self.key}))
        if step == "lose":
            events["lost"] = "u2"
        if step == "give":
            events["giving"] = "0-3"
        events["unsettled"] = "u0,u1,u2"
        self.plan(events, pins)

    def was_pinned(self) -> bool:
        return any(transit.upstream_id == "u2" for transit in self.table.transits)

    def place(self) -> str:
        rows = self.table.rows.values()
        pinned = [row.upstream_id for row in rows if self.key in row.pins]
        excluded = [row.upstream_id for row in rows if self.key in row.excluded]
        moving = any(self.key in transit.pins for transit in self.table.transits)
        slot = slot_of_key(self.key, _SLOTS)
        owners = [row.upstream_id for row in rows if row.owns(slot, self.key)]
        at = f"excluded at {excluded[0]}" if excluded else "excluded nowhere"
        if moving:
            assert owners == [], owners
            return f"in transit and {at}"
        assert len(owners) == 1, owners
        if pinned:
            return f"pinned at {pinned[0]} and {at}"
        assert not excluded
        return f"owned by {owners[0]} in its slot"


class ReleaseSubject:
    """One transit, a report book, and witnesses that answer as told."""

    def __init__(self, upstream_id: str, sets: str) -> None:
        self.clock = ManualClock()
        self.reports = ReportBook(self.clock, lambda: None)
        self.witnesses = RefusingWitnesses()
        self.watch = TransitWatch(_ZONE, self.reports, self.witnesses, self.clock)
        fence = Fence(2, 5)
        slots = frozenset({1})
        row = replace(make_row(upstream_id, frozenset(), ("127.0.0.1", 1)), fence=fence)
        table = make_table({upstream_id: row}, (Transit("desk", upstream_id, fence, slots, _NONE),))
        members = tuple(tuple(part.split()) for part in sets.split(", "))
        refs = tuple(make_ref(name) for part in members for name in part)
        self.table = replace(table, fence=fence, dispatchers=refs, witness_sets=members)
        self.cfg = configuration_from_json(
            make_cfg_document({"u0": _ZONE, "u1-plain": _ZONE}, _SLOTS), 1
        )

    def has_ended(self) -> bool:
        return bool(self.watch.finished(self.table, self.cfg))

    def report(self, text: str) -> None:
        values = dict(part.partition("=")[::2] for part in text.split())
        confirmed = values.get("confirmed", "none")
        message = UpstreamReport(
            upstream_id="u0",
            confirmed_fence=None if confirmed == "none" else _message(confirmed),
            lapsed="lapsed" in values,
            fence=_message(values["fence"]),
            reachable="unreachable" not in values,
            draining=False,
            load=0.0,
            key_load={},
            in_flight=0,
            queued=0,
        )
        self.reports.note(make_member("d0", "dispatcher"), [message])

    def ask_witnesses(self, answers: str) -> None:
        """Let the time without a report pass, and wait until the witnesses have answered."""
        self.witnesses.set_answers(answers)
        assert not self.has_ended()
        self.clock.time_s += 1.01
        assert not self.has_ended()
        wait_until(self.witnesses.all_answered)


class HandoverSubject:
    """A table's witness sets and those that should follow."""

    def __init__(self, sets: str, live: str) -> None:
        self.clock = ManualClock()
        self.witnesses = RefusingWitnesses()
        self.watch = WitnessWatch(_ZONE, self.witnesses, self.clock)
        self.live = tuple(make_ref(name) for name in live.split())
        members = tuple(tuple(part.split()) for part in sets.split(", ") if part)
        names = sorted({name for part in members for name in part})
        self.table = replace(
            make_table({}),
            dispatchers=tuple(make_ref(name) for name in names),
            witness_sets=members,
        )
        self.sets = members

    def step(self) -> None:
        self.sets = self.watch.next_sets(self.table, self.live)


def _message(text: str) -> FenceMessage:
    term, version = text.split(".")
    return FenceMessage(int(term), int(version))


def _names(events: dict[str, str], name: str) -> frozenset[str]:
    return frozenset(events[name].split(",")) if name in events else frozenset()


@given('a table with rows "{rows}" and transits ""')
def make_quiet_table(context: Context, rows: str) -> None:
    context.plan = PlanSubject(rows, "")


@given('a table with rows "{rows}" and transits "{transits}"')
def make_moving_table(context: Context, rows: str, transits: str) -> None:
    context.plan = PlanSubject(rows, transits)


@when('the next table is planned with ""')
def plan_quiet(context: Context) -> None:
    plan(context, "")


@when('the next table is planned with "{text}"')
def plan(context: Context, text: str) -> None:
    events = dict(part.split("=") for part in text.split())
    context.plan.start(events)
    context.plan.plan(events)


@then('its rows are "{rows}" and its transits "{transits}"')
def check_plan(context: Context, rows: str, transits: str) -> None:
    found = (context.plan.rows_text(), context.plan.transits_text())
    assert found == (rows, transits), found


@then('its rows are "{rows}" and its transits ""')
def check_plan_without_transits(context: Context, rows: str) -> None:
    check_plan(context, rows, "")


@then('its rows are "" and its transits "{transits}"')
def check_plan_without_rows(context: Context, transits: str) -> None:
    check_plan(context, "", transits)


@then('its rows are "" and its transits ""')
def check_plan_without_both(context: Context) -> None:
    check_plan(context, "", "")


@then('the rows with a new fence are ""')
def check_no_fences(context: Context) -> None:
    check_fences(context, "")


@then('the rows with a new fence are "{names}"')
def check_fences(context: Context, names: str) -> None:
    table = context.plan.table
    changed = [name for name, row in sorted(table.rows.items()) if row.fence == table.fence]
    assert " ".join(changed) == names, changed


@given('a table with rows "{rows}" and a hot key in the slots of u0')
def make_hot_table(context: Context, rows: str) -> None:
    context.plan = PlanSubject(rows, "")
    context.plan.start({})


@when('the next tables are planned with "{steps}"')
def play_steps(context: Context, steps: str) -> None:
    for step in steps.split():
        context.plan.play(step)


@then("the key is {place}")
def check_place(context: Context, place: str) -> None:
    assert context.plan.place() == place, context.plan.place()


@given("something was taken from u0 under fence 2.5")
def take(context: Context) -> None:
    context.release = ReleaseSubject("u0", "a")


@given('something was taken from {upstream_id} under fence 2.5, with witnesses "{sets}"')
def take_with_witnesses(context: Context, upstream_id: str, sets: str) -> None:
    context.release = ReleaseSubject(upstream_id, sets)


@when('its dispatcher reports "{text}"')
def report(context: Context, text: str) -> None:
    context.release.report(text)


@when('the witnesses answer "{answers}" and {time_s:g} s pass')
def answer(context: Context, answers: str, time_s: float) -> None:
    context.release.ask_witnesses(answers)
    context.release.clock.time_s += time_s


@then("the transit has ended")
def check_ended(context: Context) -> None:
    assert context.release.has_ended()
    context.release.watch.stop()


@then("the transit has not ended")
def check_not_ended(context: Context) -> None:
    assert not context.release.has_ended()
    context.release.watch.stop()


@given('a table with witnesses "{sets}" and live dispatchers "{live}"')
def make_witnesses(context: Context, sets: str, live: str) -> None:
    context.handover = HandoverSubject(sets, live)


@given('a table with witnesses "" and live dispatchers ""')
def make_no_witnesses(context: Context) -> None:
    context.handover = HandoverSubject("", "")


@given('a table with witnesses "" and live dispatchers "{live}"')
def make_first_witnesses(context: Context, live: str) -> None:
    context.handover = HandoverSubject("", live)


@given('a table with witnesses "{sets}" and live dispatchers ""')
def make_silent_witnesses(context: Context, sets: str) -> None:
    context.handover = HandoverSubject(sets, "")


@when('the witnesses answer "" and the times "{times}" pass')
def pass_times(context: Context, times: str) -> None:
    answer_and_pass(context, "", times)


@when('the witnesses answer "{answers}" and the times "{times}" pass')
def answer_and_pass(context: Context, answers: str, times: str) -> None:
    handover = context.handover
    handover.witnesses.set_answers(answers)
    handover.step()
    wait_until(handover.witnesses.all_answered)
    for time_s in times.split():
        handover.clock.time_s += float(time_s)
        handover.step()
    handover.watch.stop()


@then('the witness sets are ""')
def check_no_sets(context: Context) -> None:
    check_sets(context, "")


@then('the witness sets are "{sets}"')
def check_sets(context: Context, sets: str) -> None:
    found = ", ".join(" ".join(members) for members in context.handover.sets)
    assert found == sets, found


@when("the assigner listens for {time_s:d} s")
def listen(context: Context, time_s: int) -> None:
    handover = context.handover
    hearing = HearingWatch(handover.clock)
    enough = hearing.hears_enough(handover.table, handover.live)
    handover.clock.time_s += time_s
    enough = hearing.hears_enough(handover.table, handover.live) and enough
    state = "hears enough" if enough else "hears too little"
    context.hearing = f"{state} for long" if hearing.is_deaf() else state


@then("it hears {state}")
def check_hearing(context: Context, state: str) -> None:
    assert context.hearing == f"hears {state}", context.hearing
