"""Which upstream should own which keys.

Load it answers: few keys get much of the traffic, and which ones changes within seconds; upstreams
differ in speed, join and leave. Only short runs of keys at the ends of ranges move, from the
busiest upstream to the one with the most room. It knows no network and no clock.
"""

from bisect import bisect_left, bisect_right
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from foxtailshunt.fleet import KeyRange
from foxtailshunt.routing import KEY_COUNT

#: Upstreams whose load differs by less of their capacity are left alone.
TOLERANCE = 0.15
#: An upstream that is less busy than this is not relieved; it answers without a queue.
CALM = 0.45
#: A run of keys may exceed the wanted load by this factor.
OVERSHOOT = 1.25
#: A run is not worth a move if it is below this share of the wanted load and below this share of
#: the giver's capacity. The second counts where an upstream owns many small ranges.
WORTHWHILE, WORTHWHILE_OF_CAPACITY = 0.15, 0.03


@dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream that may own keys."""

    #: The upstream.
    upstream_id: str
    #: Work that it does, in seconds at common speed for each second.
    capacity: float


@dataclass(frozen=True, slots=True)
class Move:
    """Keys that go from one upstream to another."""

    #: The keys with their owner before.
    keys: KeyRange
    #: First key that moves.
    first: int
    #: Last key that moves.
    last: int
    #: The upstream that gets them.
    new_owner: str


def split_evenly(service: str, candidates: Sequence[Candidate], fence: int) -> list[KeyRange]:
    """Return equal ranges of all keys, one for each upstream.

    :param service: name of the service.
    :param seats: the upstreams; at least one.
    :param fence: fencing token of the grants.
    """
    count = len(candidates)
    bounds = [KEY_COUNT * place // count for place in range(count + 1)]
    return [
        KeyRange(service, bounds[place], bounds[place + 1] - 1, seat.upstream_id, fence)
        for place, seat in enumerate(candidates)
    ]


class _Loads:
    """Demand by key, and the load of each seat while moves are planned."""

    def __init__(
        self, ranges: Iterable[KeyRange], demand: dict[int, float], candidates: Sequence[Candidate]
    ) -> None:
        self.keys = sorted(demand)
        self.demand = demand
        self.capacity = {seat.upstream_id: max(0.05, seat.capacity) for seat in candidates}
        self.load = dict.fromkeys(self.capacity, 0.0)
        self.owned: dict[str, list[KeyRange]] = {seat.upstream_id: [] for seat in candidates}
        for item in ranges:
            if item.owner in self.load:
                self.load[item.owner] += self.between(item.first, item.last)
                self.owned[item.owner].append(item)

    def between(self, first: int, last: int) -> float:
        return sum(self.demand[key] for key in self.inside(first, last))

    def inside(self, first: int, last: int) -> list[int]:
        return self.keys[bisect_left(self.keys, first) : bisect_right(self.keys, last)]

    def busy(self, upstream_id: str) -> float:
        return self.load[upstream_id] / self.capacity[upstream_id]

    def shift(self, giver: str | None, new_owner: str, amount: float) -> None:
        if giver in self.load:
            self.load[giver] -= amount
        self.load[new_owner] += amount


def plan_moves(
    ranges: Sequence[KeyRange],
    demand: dict[int, float],
    candidates: Sequence[Candidate],
    max_moves: int,
) -> list[Move]:
    """Return moves that bring all keys to living upstreams and level their load.

    :param ranges: the ranges of one service; those in a move are left alone.
    :param demand: slots that each key keeps busy.
    :param seats: upstreams that may own keys; at least one.
    :param most: most moves that relieve busy upstreams; keys without a seat are always moved.
    """
    loads = _Loads(ranges, demand, candidates)
    moves = _place_orphans(ranges, loads)
    free = [item for item in ranges if not item.moving]
    moves += _seat_newcomers(loads, {move.keys for move in moves}, free)
    moved = {move.keys for move in moves}
    for _ in range(max_moves):
        move = _relieve_busiest(loads, moved)
        if move is None:
            break
        moved.add(move.keys)
        moves.append(move)
    return moves


def _place_orphans(ranges: Sequence[KeyRange], loads: _Loads) -> list[Move]:
    moves = []
    for item in ranges:
        if item.owner in loads.load or item.moving:
            continue
        amount = loads.between(item.first, item.last)
        new_owner = min(
            loads.load, key=lambda name: (loads.load[name] + amount) / loads.capacity[name]
        )
        loads.shift(None, new_owner, amount)
        moves.append(Move(item, item.first, item.last, new_owner))
    return moves


def _seat_newcomers(loads: _Loads, taken: set[KeyRange], ranges: Sequence[KeyRange]) -> list[Move]:
    """Give upstreams without keys half of a range of the busiest one that can be halved."""
    moves: list[Move] = []
    takers = {move.new_owner for move in moves}
    in_progress = {item.owner for item in ranges}
    for newcomer, owned in loads.owned.items():
        if owned or newcomer in takers or newcomer in in_progress:
            continue
        wide = [
            item
            for item in ranges
            if item not in taken and item.last > item.first and item.owner in loads.load
        ]
        if not wide:
            return moves
        source = max(wide, key=lambda item: (loads.busy(item.owner), item.last - item.first))
        middle = _middle(source, loads)
        amount = loads.between(middle, source.last)
        loads.shift(source.owner, newcomer, amount)
        taken = taken | {source}
        moves.append(Move(source, middle, source.last, newcomer))
    return moves


def _middle(item: KeyRange, loads: _Loads) -> int:
    """Return the first key of the upper half of a range, by demand if there is any."""
    keys = loads.inside(item.first, item.last)
    half = loads.between(item.first, item.last) / 2
    if half > 0:
        below = 0.0
        for key in keys:
            below += loads.demand[key]
            if below >= half:
                return min(item.last, max(item.first + 1, key))
    return (item.first + item.last + 1) // 2


def _relieve_busiest(loads: _Loads, moved: set[KeyRange]) -> Move | None:
    by_busy = sorted(loads.load, key=loads.busy, reverse=True)
    calmest = by_busy[-1]
    for giver in by_busy[:3]:
        if loads.busy(giver) < CALM or loads.busy(giver) - loads.busy(calmest) < TOLERANCE:
            return None
        capacity_sum = loads.capacity[giver] + loads.capacity[calmest]
        wanted = (
            loads.load[giver] * loads.capacity[calmest]
            - loads.load[calmest] * loads.capacity[giver]
        ) / capacity_sum
        move = _best_run(giver, calmest, wanted, loads, moved)
        if move is not None:
            loads.shift(giver, calmest, loads.between(move.first, move.last))
            return move
    return None


def _best_run(
    giver: str, new_owner: str, wanted: float, loads: _Loads, moved: set[KeyRange]
) -> Move | None:
    """Return the run at an end of one of a giver's ranges whose load is closest to the wanted."""
    best: Move | None = None
    best_gap = wanted - min(wanted * WORTHWHILE, loads.capacity[giver] * WORTHWHILE_OF_CAPACITY)
    for item in loads.owned[giver]:
        if item in moved or item.moving:
            continue
        for first, last, amount in _runs(item, wanted * OVERSHOOT, loads):
            gap = abs(wanted - amount)
            if gap < best_gap:
                best, best_gap = Move(item, first, last, new_owner), gap
    return best


def _runs(item: KeyRange, limit: float, loads: _Loads) -> Iterable[tuple[int, int, float]]:
    keys = loads.inside(item.first, item.last)
    amount = 0.0
    for key in keys:
        amount += loads.demand[key]
        if amount > limit:
            break
        yield item.first, key, amount
    amount = 0.0
    for key in reversed(keys):
        amount += loads.demand[key]
        if amount > limit:
            break
        yield key, item.last, amount
