"""Steps for the placement of keys by load."""

from dataclasses import replace

from behave import given, then, when
from behave.runner import Context

from foxtailshunt.assigning import Move, Seat, cut_evenly, plan_moves
from foxtailshunt.fleet import KeyRange, OwnershipTable

_KEYS = 65_536
_MOST_MOVES = 5


class PlacementSubject:
    """Ranges, demand and seats, on which planned moves are carried out at once."""

    def __init__(self, seats: int, slots: int) -> None:
        self.seats = [Seat(f"u{number}", float(slots)) for number in range(seats)]
        self.ranges = cut_evenly("desk", self.seats, 1)
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
        moved = KeyRange("desk", move.first, move.last, move.taker, move.keys.fence + 1)
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
    _subject(context).seats.append(Seat(f"u{number}", 2.0))


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
