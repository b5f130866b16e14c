"""Steps for the load-based placement of keys."""

import random
from dataclasses import replace

from behave import given, then, when
from behave.runner import Context

from foxtailshunt.assigning import Candidate, Move, plan_moves, split_evenly
from foxtailshunt.fleet import KeyRange, OwnershipTable

_KEYS = 65_536
_MAX_MOVES = 5


class PlacementSubject:
    """Ranges, demand and candidates, to which planned moves are applied immediately."""

    def __init__(self, candidates: int, slots: int) -> None:
        self.candidates = [Candidate(f"u{number}", float(slots)) for number in range(candidates)]
        self.ranges = split_evenly("desk", self.candidates, 1)
        self.demand: dict[int, float] = {}
        self.moves: list[Move] = []

    def plan(self) -> None:
        moves = plan_moves(self.ranges, self.demand, self.candidates, _MAX_MOVES)
        for move in moves:
            self._apply(move)
        self.moves += moves

    def owner(self, key: int) -> str:
        found = [item for item in self.ranges if item.first <= key <= item.last]
        assert len(found) == 1, f"key {key} is in {found}"
        return found[0].owner

    def utilization(self) -> dict[str, float]:
        load = {candidate.upstream_id: 0.0 for candidate in self.candidates}
        table = OwnershipTable(self.ranges)
        for key, amount in self.demand.items():
            owner = table.find("desk", key)
            assert owner is not None
            load[owner.owner] += amount
        return {
            candidate.upstream_id: load[candidate.upstream_id] / candidate.capacity
            for candidate in self.candidates
        }

    def _apply(self, move: Move) -> None:
        self.ranges.remove(move.keys)
        moved = KeyRange("desk", move.first, move.last, move.new_owner, move.keys.fence + 1)
        self.ranges.append(moved)
        if move.first > move.keys.first:
            self.ranges.append(replace(move.keys, last=move.first - 1))
        if move.last < move.keys.last:
            self.ranges.append(replace(move.keys, first=move.last + 1))


def _subject(context: Context) -> PlacementSubject:
    return context.placement_by_load


@given("{candidates:d} upstreams with {slots:d} slots and equal ranges")
def _(context: Context, candidates: int, slots: int) -> None:
    context.placement_by_load = PlacementSubject(candidates, slots)


@given("every 64th key has a demand of {work:g} slots")
def _(context: Context, work: float) -> None:
    for key in range(0, _KEYS, 64):
        _subject(context).demand[key] = work


@given("{count:d} keys starting at key {first:d} have a total demand of {work:g} slots")
def _(context: Context, count: int, first: int, work: float) -> None:
    for key in range(first, first + count):
        _subject(context).demand[key] = work / count


@given("upstream {number:d} has a quarter of the capacity of the others")
def _(context: Context, number: int) -> None:
    candidates = _subject(context).candidates
    candidates[number] = replace(candidates[number], capacity=candidates[number].capacity / 4)


@given("upstream {number:d} has left")
def _(context: Context, number: int) -> None:
    subject = _subject(context)
    subject.candidates = [
        candidate for candidate in subject.candidates if candidate.upstream_id != f"u{number}"
    ]


@given("upstream {number:d} joins")
def _(context: Context, number: int) -> None:
    _subject(context).candidates.append(Candidate(f"u{number}", 2.0))


@when("moves are planned {times:d} times")
def _(context: Context, times: int) -> None:
    for _round in range(times):
        _subject(context).plan()


@then("the busiest upstream has a utilization of at most {limit:g}")
def _(context: Context, limit: float) -> None:
    utilization = _subject(context).utilization()
    assert max(utilization.values()) <= limit + 1e-9, utilization


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


@then("no keys move")
def _(context: Context) -> None:
    assert not _subject(context).moves, _subject(context).moves


@then("upstream {number:d} owns no keys")
def _(context: Context, number: int) -> None:
    owned = [item for item in _subject(context).ranges if item.owner == f"u{number}"]
    assert not owned, owned


@then("upstream {number:d} owns keys that have demand")
def _(context: Context, number: int) -> None:
    subject = _subject(context)
    asked = [key for key in subject.demand if subject.owner(key) == f"u{number}"]
    assert asked, subject.ranges


_EVEN_DEMAND_PLANS = 60
_MAX_CANDIDATES = 12
#: A mean utilization of 0.5 leaves enough spare capacity to balance evenly spread demand.
_MEAN_UTILIZATION = 0.5


class RandomHistory:
    """Upstreams that join, leave and change their capacity while the demand changes."""

    def __init__(self, steps: int, seed: int) -> None:
        self._random = random.Random(seed)
        self._joined = 4
        self.subject = PlacementSubject(4, 2)
        self.violations: list[str] = []
        for _ in range(steps):
            self._change()
            self._plan()
        self._demand_evenly()
        for _ in range(_EVEN_DEMAND_PLANS):
            self._plan()

    def _change(self) -> None:
        draw = self._random.random()
        candidates = self.subject.candidates
        if draw < 0.1 and len(candidates) < _MAX_CANDIDATES:
            candidates.append(Candidate(f"u{self._joined}", self._random.choice((1.0, 2.0, 4.0))))
            self._joined += 1
        elif draw < 0.2 and len(candidates) > 2:
            candidates.pop(self._random.randrange(len(candidates)))
        elif draw < 0.3:
            index = self._random.randrange(len(candidates))
            candidates[index] = replace(
                candidates[index], capacity=self._random.choice((0.5, 1.0, 2.0))
            )
        elif draw < 0.7:
            self._demand_run()

    def _demand_run(self) -> None:
        first = self._random.randrange(_KEYS - 300)
        step = self._random.choice((1, 3, 17))
        self.subject.demand = dict.fromkeys(range(first, first + 300, step), 0.05)

    def _demand_evenly(self) -> None:
        capacity = sum(candidate.capacity for candidate in self.subject.candidates)
        keys = range(0, _KEYS, 64)
        self.subject.demand = dict.fromkeys(keys, _MEAN_UTILIZATION * capacity / len(keys))

    def _plan(self) -> None:
        subject = self.subject
        live = {candidate.upstream_id for candidate in subject.candidates}
        before = OwnershipTable(subject.ranges)
        done = len(subject.moves)
        subject.plan()
        for move in subject.moves[done:]:
            self._check_move(move, before, live)
        self._check_table(live)

    def _check_move(self, move: Move, before: OwnershipTable, live: set[str]) -> None:
        owner = before.find("desk", move.first)
        if owner is None or move.keys.owner != owner.owner or move.new_owner == owner.owner:
            self.violations.append(f"move does not start at the owner: {move}")
        if move.new_owner not in live:
            self.violations.append(f"move to an upstream that has left: {move}")
        if not move.keys.first <= move.first <= move.last <= move.keys.last:
            self.violations.append(f"move exceeds its range: {move}")

    def _check_table(self, live: set[str]) -> None:
        ranges = sorted(self.subject.ranges, key=lambda item: item.first)
        firsts = [item.first for item in ranges]
        lasts = [item.last for item in ranges]
        if firsts != [0, *(last + 1 for last in lasts[:-1])] or lasts[-1] != _KEYS - 1:
            self.violations.append(f"not every key has exactly one owner: {ranges}")
        gone = [item for item in ranges if item.owner not in live]
        if gone:
            self.violations.append(f"an upstream that has left owns keys: {gone}")


@given("a random history of {steps:d} plans with seed {seed:d}")
def _(context: Context, steps: int, seed: int) -> None:
    context.history = RandomHistory(steps, seed)


@then("after each plan every key had exactly one owner")
@then("each move went from the owner of its keys to another live upstream")
@then("after each plan no upstream that had left owned a key")
def _(context: Context) -> None:
    assert not context.history.violations, context.history.violations[:3]


@then("after a period of even demand no upstream is overloaded")
def _(context: Context) -> None:
    utilization = context.history.subject.utilization()
    assert max(utilization.values()) <= 1.0, utilization
