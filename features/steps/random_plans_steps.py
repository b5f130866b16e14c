"""Steps that plan tables over random histories and check each change."""

import random

from assigner_support import make_cfg_document
from behave import given, then
from behave.runner import Context

from foxtailshunt.assigner import PinPlan, PlanInput, TransitKey, UpstreamStates, plan_table
from foxtailshunt.config import Configuration, configuration_from_json
from foxtailshunt.ownership import Fence, ProcessRef, Table, UpstreamRow, slot_of_key

_SLOTS = 40
_UPSTREAMS = ("u0", "u1", "u2", "u3", "u4")
_DISPATCHERS = ("a", "b", "c", "d")
_KEYS = tuple(f"k{number}" for number in range(6))
_QUIET_STEPS = 12


class HistorySubject:
    """Tables that follow each other, with what was live and what had ended at each."""

    def __init__(self, steps: int, seed: int) -> None:
        self._random = random.Random(seed)
        self.tables = [Table("wanaka", "0", Fence(1, 0), "t", 1, (), (), {}, ())]
        self.finished: list[frozenset[TransitKey]] = []
        self.inputs: list[PlanInput] = []
        self.live: list[frozenset[str]] = []
        self._configured = set(_UPSTREAMS[:3])
        for _ in range(steps):
            self._step()
        for _ in range(_QUIET_STEPS):
            self._plan(self._quiet_input(), frozenset(_DISPATCHERS))

    def changes(self) -> list[tuple[Table, Table, frozenset[TransitKey]]]:
        return list(zip(self.tables, self.tables[1:], self.finished, strict=False))

    def _step(self) -> None:
        draw = self._random
        if draw.random() < 0.1:
            self._configured ^= {draw.choice(_UPSTREAMS)}
            self._configured |= {"u0"}
        lost = self._some(_UPSTREAMS, 0.15)
        ready = frozenset(_UPSTREAMS) - lost - self._some(_UPSTREAMS, 0.1)
        live = frozenset(_DISPATCHERS) - self._some(_DISPATCHERS, 0.3)
        wanted = {key: draw.choice(_UPSTREAMS) for key in self._some(_KEYS, 0.3)}
        inputs = PlanInput(
            cfg=self._cfg(),
            zone="wanaka",
            homed={"desk": frozenset(range(_SLOTS))},
            giving=(
                {"desk": frozenset(draw.sample(range(_SLOTS), 3))} if draw.random() < 0.2 else {}
            ),
            states=UpstreamStates(
                new=frozenset(),
                ready=ready,
                settled=ready - self._some(_UPSTREAMS, 0.2),
                lost=lost,
                draining=self._some(_UPSTREAMS, 0.1),
            ),
            weights={name: draw.choice((0.7, 1.0, 1.4)) for name in _UPSTREAMS},
            finished=self._some_transits(0.5),
            live_dispatchers=tuple(_ref(name) for name in sorted(live)),
            unfit_dispatchers=self._some(_DISPATCHERS, 0.1),
            senders={name: draw.choice(_DISPATCHERS) for name in self._some(_UPSTREAMS, 0.5)},
            dispatcher_moves=draw.randint(0, 2),
            witness_sets=(),
            pins=PinPlan(wanted=wanted, unpin=self._some(_KEYS, 0.2)),
        )
        self._plan(inputs, live)

    def _quiet_input(self) -> PlanInput:
        everything = frozenset(_UPSTREAMS)
        none: frozenset[str] = frozenset()
        return PlanInput(
            cfg=self._cfg(),
            zone="wanaka",
            homed={"desk": frozenset(range(_SLOTS))},
            giving={},
            states=UpstreamStates(none, everything, everything, none, none),
            weights={},
            finished=self._some_transits(1.0),
            live_dispatchers=tuple(_ref(name) for name in _DISPATCHERS),
            unfit_dispatchers=none,
            senders={},
            dispatcher_moves=1,
            witness_sets=(),
        )

    def _plan(self, inputs: PlanInput, live: frozenset[str]) -> None:
        table = self.tables[-1]
        fence = Fence(table.fence.term, table.fence.version + 1)
        self.tables.append(plan_table(table, inputs, fence))
        self.finished.append(inputs.finished)
        self.inputs.append(inputs)
        self.live.append(live)

    def _cfg(self) -> Configuration:
        zones = dict.fromkeys(sorted(self._configured), "wanaka")
        return configuration_from_json(make_cfg_document(zones, _SLOTS, 7), 1)

    def _some(self, names: tuple[str, ...], share: float) -> frozenset[str]:
        return frozenset(name for name in names if self._random.random() < share)

    def _some_transits(self, share: float) -> frozenset[TransitKey]:
        keys = sorted(
            {TransitKey.of(transit) for transit in self.tables[-1].transits},
            key=lambda key: (key.upstream_id, key.fence),
        )
        return frozenset(key for key in keys if self._random.random() < share)


def _ref(name: str) -> ProcessRef:
    return ProcessRef(name, ("127.0.0.1", 1), name)


def _grant(row: UpstreamRow) -> tuple[object, ...]:
    return (row.slots, row.pins, row.excluded, row.draining, row.address)


def _owns(row: UpstreamRow, slot: int, key: str) -> bool:
    return row.owns(slot, key)


@given("a random history of {steps:d} tables with seed {seed:d}")
def make_history(context: Context, steps: int, seed: int) -> None:
    context.history = HistorySubject(steps, seed)


@then("no table gives a slot or a key to two upstreams")
def check_single_owner(context: Context) -> None:
    for table in context.history.tables:
        holders = [row.slots for row in table.rows.values()]
        holders += [transit.slots for transit in table.transits]
        assert sum(map(len, holders)) == len(frozenset().union(*holders)), table.fence
        for key in _KEYS:
            slot = slot_of_key(key, _SLOTS)
            owners = [row for row in table.rows.values() if _owns(row, slot, key)]
            in_transit = [transit for transit in table.transits if key in transit.pins]
            assert len(owners) + len(in_transit) <= 1, (table.fence, key)


@then("no slot or key leaves an upstream but into a transit")
def check_leaving(context: Context) -> None:
    for before, after, _ in context.history.changes():
        for name, row in before.rows.items():
            new = after.rows.get(name)
            taken = [t for t in after.transits if t.upstream_id == name and t.fence == after.fence]
            lost = row.slots - (new.slots if new else frozenset())
            assert lost == frozenset().union(*(t.slots for t in taken)), (after.fence, name)
            pins = row.pins - (new.pins if new else frozenset())
            assert pins <= frozenset().union(*(t.pins for t in taken)), (after.fence, name)


@then("a row whose grant changed has the table's fence, and no other row's fence changed")
def check_fences(context: Context) -> None:
    for before, after, _ in context.history.changes():
        for name, row in after.rows.items():
            old = before.rows.get(name)
            is_same = old is not None and _grant(old) == _grant(row)
            expected = old.fence if is_same else after.fence
            assert row.fence == expected, (after.fence, name)


@then("nothing in transit is given before its transit has ended")
def check_transits(context: Context) -> None:
    for before, after, finished in context.history.changes():
        kept = [t for t in before.transits if TransitKey.of(t) not in finished]
        assert all(transit in after.transits for transit in kept), after.fence
        held = frozenset().union(*(transit.slots for transit in kept))
        for name, row in after.rows.items():
            old = before.rows.get(name)
            given = row.slots - (old.slots if old else frozenset())
            assert not given & held, (after.fence, name)


@then("no row names a dispatcher twice or a dispatcher that was not live")
def check_dispatchers(context: Context) -> None:
    history = context.history
    for table, live in zip(history.tables[1:], history.live, strict=True):
        for row in table.rows.values():
            names = row.dispatchers
            assert len(set(names)) == len(names), (table.fence, names)
            assert not live or set(names) <= live, (table.fence, names)


@then("no sender is replaced for balance while slots are on their way")
def check_senders(context: Context) -> None:
    history = context.history
    for before, after, inputs in zip(
        history.tables, history.tables[1:], history.inputs, strict=False
    ):
        fit = {ref.instance_id for ref in inputs.live_dispatchers} - inputs.unfit_dispatchers
        for name, row in after.rows.items() if after.transits else ():
            old = before.rows.get(name)
            if old is None or old.address != row.address:
                continue  # Another upstream has the name now.
            if not old.dispatchers or old.dispatchers[0] not in fit:
                continue
            if inputs.senders.get(name) in (None, old.dispatchers[0]):
                assert row.dispatchers[0] == old.dispatchers[0], (after.fence, name)


@then("at the end of a quiet time every slot is owned and the owners are balanced")
def check_end(context: Context) -> None:
    table = context.history.tables[-1]
    counts = [len(row.slots) for row in table.rows.values()]
    assert sum(counts) == _SLOTS, counts
    assert max(counts) - min(counts) <= 1, counts
    firsts = [row.dispatchers[0] for row in table.rows.values()]
    assert len(set(firsts)) == min(len(firsts), len(_DISPATCHERS)), firsts
