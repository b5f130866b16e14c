"""Steps for the assigner program on an in-memory platform and real sockets."""

import json

from assigner_support import make_cfg_document, make_member, random_address, wait_until
from assigner_support._assigner_node import (
    FakeDispatcher,
    owned_once,
    slots_by_upstream,
    start_assigner,
)
from assigner_support._memory_platform import MemoryPlatform
from behave import given, step, then, when
from behave.runner import Context

from foxtailshunt.assigner import CONFIG_KEY, AssignerProgram, table_key
from foxtailshunt.ownership import Table, table_from_json
from foxtailshunt.timing import MonotonicClock

_ZONE = "wanaka"


class ZoneSubject:
    """A zone's assigners and dispatchers."""

    def __init__(self, context: Context, assigners: int, dispatchers: int, slots: int) -> None:
        self._context = context
        self.slots = slots
        self.platform = MemoryPlatform(MonotonicClock())
        self.addresses = tuple(random_address() for _ in range(assigners))
        self.assigners: dict[str, AssignerProgram] = {}
        self.dispatchers: dict[str, FakeDispatcher] = {}
        self.before: Table | None = None
        for number, address in enumerate(self.addresses):
            name = f"a{number}"
            program = start_assigner(name, _ZONE, address, self.addresses, self.platform)
            context.add_cleanup(program.stop)
            self.assigners[name] = program
        for number in range(dispatchers):
            self.add_dispatcher(f"d{number}")

    def add_dispatcher(self, name: str) -> FakeDispatcher:
        dispatcher = FakeDispatcher(make_member(name, "dispatcher", _ZONE), self.addresses)
        dispatcher.start()
        self._context.add_cleanup(dispatcher.stop)
        self.dispatchers[name] = dispatcher
        return dispatcher

    def table(self) -> Table | None:
        """Return the table in the store."""
        with self.platform._changed:
            record = self.platform._records.get(table_key(_ZONE))
        return table_from_json(record.value) if record else None

    def settled_table(self) -> Table:
        """Return a table with an owner for each slot and with witnesses."""
        wait_until(self._is_settled)
        return self.table()

    def _is_settled(self) -> bool:
        table = self.table()
        return table is not None and owned_once(table, self.slots) and bool(table.witness_sets)

    def active(self) -> str | None:
        names = [name for name, program in self.assigners.items() if self._is_active(program)]
        return names[0] if len(names) == 1 else None

    def firsts(self) -> dict[str, int]:
        names = [row.dispatchers[0] for row in self.table().rows.values() if row.dispatchers]
        return {name: names.count(name) for name in sorted(set(names))}

    def _is_active(self, program: AssignerProgram) -> bool:
        dump = program.dump()
        return bool(dump["lease"]["held"] and dump["term"])


@given(
    "{assigners:d} assigners and {dispatchers:d} dispatchers of wanaka, "
    "with {upstreams:d} upstreams and {slots:d} slots"
)
def start_zone(
    context: Context, assigners: int, dispatchers: int, upstreams: int, slots: int
) -> None:
    context.zone = ZoneSubject(context, assigners, dispatchers, slots)
    document = make_cfg_document({f"u{number}": _ZONE for number in range(upstreams)}, slots)
    record = json.dumps({"version": 1, "token": "t", "document": document})
    context.zone.platform.compare_and_swap(CONFIG_KEY, record, 0)


@step("each of the zone's slots has one owner")
def check_owned(context: Context) -> None:
    context.zone.before = context.zone.settled_table()


@when("the active assigner stops")
def stop_active(context: Context) -> None:
    wait_until(lambda: context.zone.active() is not None)
    context.zone.stopped = context.zone.active()
    context.zone.assigners.pop(context.zone.stopped).stop()


@when("upstream {upstream_id} is lost while its grants may still be in force")
def lose_upstream(context: Context, upstream_id: str) -> None:
    for dispatcher in context.zone.dispatchers.values():
        dispatcher.held_back.add(upstream_id)
        dispatcher.unreachable.add(upstream_id)
        dispatcher.agent.wake()


@when("the grants of upstream {upstream_id} have lapsed")
def lapse(context: Context, upstream_id: str) -> None:
    for dispatcher in context.zone.dispatchers.values():
        dispatcher.held_back.discard(upstream_id)
        dispatcher.agent.wake()


@when("the memory platform lists {upstream_id} as leaving")
def leave(context: Context, upstream_id: str) -> None:
    context.zone.platform.leaving = (upstream_id,)


@when("the zone's dispatcher {name} is lost")
def lose_dispatcher(context: Context, name: str) -> None:
    context.zone.dispatchers.pop(name).stop()


@when("the answers to the memory platform's next {count:d} writes are lost")
def lose_answers(context: Context, count: int) -> None:
    context.zone.platform.answers_to_lose = count


@when("the active assigner no longer hears dispatchers")
def deafen(context: Context) -> None:
    zone = context.zone
    wait_until(lambda: zone.active() is not None)
    registry = zone.assigners[zone.active()]._registry
    note = registry.note
    registry.note = lambda member: member.role != "dispatcher" and note(member)


@when("the active assigner pauses right before a write until another took over")
def pause_active(context: Context) -> None:
    zone = context.zone
    wait_until(lambda: zone.active() is not None)
    zone.paused = zone.assigners[zone.active()]
    term = zone.table().fence.term

    def take_over() -> None:
        zone.platform.end_all_leases()
        wait_until(lambda: zone.table().fence.term > term)

    zone.platform.before_next_cas = take_over
    zone.platform.leaving = ("u1",)
    wait_until(lambda: zone.platform.before_next_cas is None)
    wait_until(lambda: zone.table().fence.term > term)
    zone.new_term = term + 1


@when("the memory platform goes down until no assigner is active")
def store_down(context: Context) -> None:
    zone = context.zone
    zone.platform.is_down = True
    wait_until(lambda: not any(p.dump()["lease"]["held"] for p in zone.assigners.values()))


@when("the memory platform comes back and lists {upstream_id} as leaving")
def store_back(context: Context, upstream_id: str) -> None:
    context.zone.platform.is_down = False
    context.zone.platform.leaving = (upstream_id,)


@then("each upstream of the zone owns {least:d} or {most:d} slots")
def check_balance(context: Context, least: int, most: int) -> None:
    counts = slots_by_upstream(context.zone.table())
    assert set(counts.values()) == {least, most}, counts


@then("each dispatcher of the zone is first for {count:d} upstreams")
def check_firsts(context: Context, count: int) -> None:
    expected = dict.fromkeys(context.zone.dispatchers, count)
    wait_until(lambda: context.zone.firsts() == expected)


@then("each dispatcher of the zone but {name} is first for {count:d} upstreams")
def check_other_firsts(context: Context, name: str, count: int) -> None:
    assert name not in context.zone.dispatchers
    check_firsts(context, count)


@then("the zone's witnesses are the {count:d} dispatchers")
def check_witnesses(context: Context, count: int) -> None:
    expected = sorted(d.member.boot_id for d in context.zone.dispatchers.values())
    assert len(expected) == count
    wait_until(lambda: context.zone.table().witness_sets == (tuple(expected),))


@then("the zone's other assigner is active with a higher term")
def check_next_active(context: Context) -> None:
    zone = context.zone
    wait_until(lambda: zone.active() is not None)
    wait_until(lambda: zone.table().fence.term > zone.before.fence.term)


@then("no slot of the zone has moved")
def check_not_moved(context: Context) -> None:
    zone = context.zone
    for name, row in zone.table().rows.items():
        assert row.slots == zone.before.rows[name].slots, name


@then("no slot of the zone's other upstream has moved")
def check_others_kept(context: Context) -> None:
    zone = context.zone
    for name, row in zone.table().rows.items():
        kept = zone.first.rows[name].slots
        assert name == "u0" or kept <= row.slots, name


@then("the zone's slots of {upstream_id} have no owner")
def check_unowned(context: Context, upstream_id: str) -> None:
    zone = context.zone
    zone.first = zone.before
    wait_until(lambda: not zone.table().rows[upstream_id].slots)
    held = zone.before.rows[upstream_id].slots
    owned = [slot for row in zone.table().rows.values() for slot in row.slots]
    assert not held & set(owned)
    assert [transit.slots for transit in zone.table().transits] == [held]


@then("the zone's upstreams own {text} slots")
def check_counts(context: Context, text: str) -> None:
    expected = {name: int(count) for name, count in (part.split(":") for part in text.split())}
    wait_until(lambda: slots_by_upstream(context.zone.table()) == expected)


@then("the zone's term has not changed")
def check_term(context: Context) -> None:
    zone = context.zone
    assert zone.platform.answers_to_lose == 0
    terms = (zone.table().fence.term, zone.before.fence.term)
    assert terms[0] == 1, terms


@then("the paused assigner's write was refused as a conflict")
def check_conflict(context: Context) -> None:
    metrics = context.zone.paused._metrics
    name = "foxtailshunt_table_writes_total"
    wait_until(lambda: metrics.counter_value(name, {"outcome": "conflict"}) >= 1)


@then("the zone's table in the store is of the new term or a later one")
def check_new_term(context: Context) -> None:
    assert context.zone.table().fence.term >= context.zone.new_term


@then("a new dispatcher of the zone still gets the table")
def check_served(context: Context) -> None:
    zone = context.zone
    dispatcher = zone.add_dispatcher("d9")
    wait_until(lambda: dispatcher.view.table(_ZONE) is not None)
    assert dispatcher.view.table(_ZONE).fence == zone.table().fence
