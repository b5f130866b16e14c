"""Steps for the placement of keys by load."""

import random
from dataclasses import replace

from behave import given, then, when
from behave.runner import Context

from foxtailshunt.assigning import Candidate, Move, plan_moves, split_evenly
from foxtailshunt.fleet import KeyRange, OwnershipTable

_KEYS = 65_536
_MOST_MOVES = 5


class PlacementSubject:
    """Ranges, demand and seats, on which planned moves are carried out at once."""

    def __init__(self, seats: int, slots: int) -> None:
        self.seats = [Candidate(f"u{number}", float(slots)) for number in range(seats)]
        self.ranges = split_evenly("desk", self.seats, 1)
        self.demand: dict[int, float] = {}
        self.moves: list[Move] = []

    def plan(self) -> None:
        moves = plan_moves(self.ranges, self.demand, self.seats, _MOST_MOVES)
        for move in moves:
            self._carry_out(move)
        self.moves += moves

    def owner(self, key: int) -> str:
        found = [item for item in self.ranges if item.first <= key <= item.last]
        assert len(found) == 1, f"key {key} lies in {found}"
        return found[0].owner

    def busy(self) -> dict[str, float]:
        load = {seat.upstream_id: 0.0 for seat in self.seats}
        table = OwnershipTable(self.ranges)
        for key, amount in self.demand.items():
            owner = table.find("desk", key)
            assert owner is not None
            load[owner.owner] += amount
        return {seat.upstream_id: load[seat.upstream_id] / seat.capacity for seat in self.seats}

    def _carry_out(self, move: Move) -> None:
        self.ranges.remove(move.keys)
        moved = KeyRange("desk", move.first, move.last, move.new_owner, move.keys.fence + 1)
        self.ranges.append(moved)
        if move.first > move.keys.first:
            self.ranges.append(replace(move.keys, last=move.first - 1))
        if move.last < move.keys.last:
            self.ranges.append(replace(move.keys, first=move.last + 1))


def _subject(context: Context) -> PlacementSubject:
    return context.placement_by_load


@given("{seats:d} upstreams of {slots:d} slots with equal ranges")
def _(context: Context, seats: int, slots: int) -> None:
    context.placement_by_load = PlacementSubject(seats, slots)


@given("every 64th key keeps {work:g} slots busy")
def _(context: Context, work: float) -> None:
    for key in range(0, _KEYS, 64):
        _subject(context).demand[key] = work


@given("{count:d} keys from key {first:d} on keep {work:g} slots busy in all")
def _(context: Context, count: int, first: int, work: float) -> None:
    for key in range(first, first + count):
        _subject(context).demand[key] = work / count


@given("upstream {number:d} does a quarter of the work of the others")
def _(context: Context, number: int) -> None:
    seats = _subject(context).seats
    seats[number] = replace(seats[number], capacity=seats[number].capacity / 4)


@given("upstream {number:d} is gone")
def _(context: Context, number: int) -> None:
    subject = _subject(context)
    subject.seats = [seat for seat in subject.seats if seat.upstream_id != f"u{number}"]


@given("upstream {number:d} joins")
def _(context: Context, number: int) -> None:
    _subject(context).seats.append(Candidate(f"u{number}", 2.0))


@when("moves are planned {times:d} times")
def _(context: Context, times: int) -> None:
    for _round in range(times):
        _subject(context).plan()


@then("the busiest upstream has at most {most:g} of its slots busy")
def _(context: Context, most: float) -> None:
    busy = _subject(context).busy()
    assert max(busy.values()) <= most + 1e-9, busy


@then("every key has exactly one owner")
def _(context: Context) -> None:
    subject = _subject(context)
    ordered = sorted(subject.ranges, key=lambda item: item.first)
    assert ordered[0].first == 0
    assert ordered[-1].last == _KEYS - 1
    for left, right in zip(ordered, ordered[1:], strict=False):
        assert left.last + 1 == right.first, (left, right)


@then("key {key:d} has moved at most once")
def _(context: Context, key: int) -> None:
    moved = [move for move in _subject(context).moves if move.first <= key <= move.last]
    assert len(moved) <= 1, moved


@then("nothing moves")
def _(context: Context) -> None:
    assert not _subject(context).moves, _subject(context).moves


@then("upstream {number:d} owns nothing")
def _(context: Context, number: int) -> None:
    owned = [item for item in _subject(context).ranges if item.owner == f"u{number}"]
    assert not owned, owned


@then("upstream {number:d} owns keys that are asked for")
def _(context: Context, number: int) -> None:
    subject = _subject(context)
    asked = [key for key in subject.demand if subject.owner(key) == f"u{number}"]
    assert asked, subject.ranges


_QUIET_PLANS = 60
_MOST_SEATS = 12
#: A mean load of half the capacity leaves room to level what one key does not exceed.
_MEAN_BUSY = 0.5


class RandomHistory:
    """Upstreams that join, leave and change their speed, under a demand that shifts."""

    def __init__(self, steps: int, seed: int) -> None:
        self._random = random.Random(seed)
        self._joined = 4
        self.subject = PlacementSubject(4, 2)
        self.faults: list[str] = []
        for _ in range(steps):
            self._change()
            self._plan()
        self._demand_evenly()
        for _ in range(_QUIET_PLANS):
            self._plan()

    def _change(self) -> None:
        draw = self._random.random()
        seats = self.subject.seats
        if draw < 0.1 and len(seats) < _MOST_SEATS:
            seats.append(Candidate(f"u{self._joined}", self._random.choice((1.0, 2.0, 4.0))))
            self._joined += 1
        elif draw < 0.2 and len(seats) > 2:
            seats.pop(self._random.randrange(len(seats)))
        elif draw < 0.3:
            place = self._random.randrange(len(seats))
            seats[place] = replace(seats[place], capacity=self._random.choice((0.5, 1.0, 2.0)))
        elif draw < 0.7:
            self._demand_run()

    def _demand_run(self) -> None:
        first = self._random.randrange(_KEYS - 300)
        step = self._random.choice((1, 3, 17))
        self.subject.demand = dict.fromkeys(range(first, first + 300, step), 0.05)

    def _demand_evenly(self) -> None:
        capacity = sum(seat.capacity for seat in self.subject.seats)
        keys = range(0, _KEYS, 64)
        self.subject.demand = dict.fromkeys(keys, _MEAN_BUSY * capacity / len(keys))

    def _plan(self) -> None:
        subject = self.subject
        living = {seat.upstream_id for seat in subject.seats}
        before = OwnershipTable(subject.ranges)
        done = len(subject.moves)
        subject.plan()
        for move in subject.moves[done:]:
            self._check_move(move, before, living)
        self._check_table(living)

    def _check_move(self, move: Move, before: OwnershipTable, living: set[str]) -> None:
        owner = before.find("desk", move.first)
        if owner is None or move.keys.owner != owner.owner or move.new_owner == owner.owner:
            self.faults.append(f"move not from the owner: {move}")
        if move.new_owner not in living:
            self.faults.append(f"move to one that is gone: {move}")
        if not move.keys.first <= move.first <= move.last <= move.keys.last:
            self.faults.append(f"move of more than the range: {move}")

    def _check_table(self, living: set[str]) -> None:
        ranges = sorted(self.subject.ranges, key=lambda item: item.first)
        firsts = [item.first for item in ranges]
        lasts = [item.last for item in ranges]
        if firsts != [0, *(last + 1 for last in lasts[:-1])] or lasts[-1] != _KEYS - 1:
            self.faults.append(f"keys without one owner: {ranges}")
        gone = [item for item in ranges if item.owner not in living]
        if gone:
            self.faults.append(f"one that is gone owns keys: {gone}")


@given("a random history of {steps:d} plans with seed {seed:d}")
def _(context: Context, steps: int, seed: int) -> None:
    context.history = RandomHistory(steps, seed)


@then("after each plan every key had exactly one owner")
@then("each move went from the owner of its keys to another upstream that lived")
@then("after each plan no upstream that was gone owned a key")
def _(context: Context) -> None:
    assert not context.history.faults, context.history.faults[:3]


@then("at the end of a quiet time no upstream is asked for more than it can do")
def _(context: Context) -> None:
    busy = context.history.subject.busy()
    assert max(busy.values()) <= 1.0, busy
