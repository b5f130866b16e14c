"""Plans which upstream owns which keys.

A few keys get much of the traffic, and which ones they are changes within seconds; upstreams
differ in speed, join and leave. To balance the load, only short runs of keys at the ends of ranges
move, from the busiest upstream to the one with the most spare capacity. The module performs no I/O
and reads no clock.
"""

from bisect import bisect_left, bisect_right
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from foxtailshunt.fleet import KeyRange
from foxtailshunt.routing import KEY_COUNT

#: Smallest difference in utilization of two upstreams at which keys move between them.
MIN_UTILIZATION_GAP = 0.15
#: How far above the average utilization a move may bring its new owner.
MAX_UTILIZATION_ABOVE_MEAN = 0.15
#: Utilization below which keys are not moved away from an upstream: it answers without a queue.
MIN_UTILIZATION_TO_REBALANCE = 0.45
#: Factor by which the load of a run of keys may exceed the target load.
MAX_TARGET_RATIO = 1.25
#: A run of keys moves only if its load exceeds the first share of the target load or the second
#: share of its owner's capacity. The second matters for an upstream that owns many small ranges.
MIN_SHARE_OF_TARGET, MIN_SHARE_OF_CAPACITY = 0.15, 0.03
#: Balancing moves that one plan may start: at least so many, and more for each upstream of a large
#: service, so that a hot run of keys is spread in about as many plans on services of any size.
MIN_MOVES_PER_PLAN, MOVES_PER_UPSTREAM = 5, 0.15


@dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream that may be assigned keys."""

    #: Id of the upstream.
    upstream_id: str
    #: Work done per second, in seconds at the average speed of all upstreams.
    capacity: float


@dataclass(frozen=True, slots=True)
class Move:
    """A run of keys that is to change its owner."""

    #: The range that contains the keys, with its current owner; several moves may have the same.
    keys: KeyRange
    #: First key that moves.
    first: int
    #: Last key that moves.
    last: int
    #: Id of the upstream that is to own the keys.
    new_owner: str


def max_moves_per_plan(candidate_count: int) -> int:
    """Return how many moves that only balance the load one plan may start.

    :param candidate_count: number of upstreams that may be assigned keys.
    """
    return max(MIN_MOVES_PER_PLAN, round(MOVES_PER_UPSTREAM * candidate_count))


def split_evenly(service: str, candidates: Sequence[Candidate], fence: int) -> list[KeyRange]:
    """Split the key space into equal ranges, one for each candidate.

    :param service: name of the service.
    :param candidates: the upstreams that get a range; at least one.
    :param fence: fencing token of the grants.
    """
    count = len(candidates)
    bounds = [KEY_COUNT * index // count for index in range(count + 1)]
    return [
        KeyRange(service, bounds[index], bounds[index + 1] - 1, candidate.upstream_id, fence)
        for index, candidate in enumerate(candidates)
    ]


def split_range(keys: KeyRange, moves: Iterable[Move], first_fence: int) -> list[KeyRange]:
    """Return the ranges that replace the source range of moves, the moved keys first.

    :param keys: the source range.
    :param moves: its moves, which do not overlap.
    :param first_fence: fencing token of the first move; each further one has the next token.
    """
    moved: list[KeyRange] = []
    kept: list[KeyRange] = []
    first = keys.first
    for move in sorted(moves, key=lambda move: move.first):
        if move.first > first:
            kept.append(replace(keys, first=first, last=move.first - 1))
        moved.append(
            KeyRange(
                keys.service,
                move.first,
                move.last,
                move.new_owner,
                first_fence + len(moved),
                keys.owner,
                moving=True,
            )
        )
        first = move.last + 1
    if first <= keys.last:
        kept.append(replace(keys, first=first))
    return moved + kept


@dataclass(frozen=True, slots=True)
class _Remainder:
    """What the moves that have been planned leave of a range."""

    #: The range.
    keys: KeyRange
    #: First key that is left.
    first: int
    #: Last key that is left.
    last: int

    def without(self, move: Move) -> "_Remainder | None":
        """Return what is left after a move of keys at one end, or None if nothing is."""
        if move.first == self.first and move.last == self.last:
            return None
        if move.first == self.first:
            return _Remainder(self.keys, move.last + 1, self.last)
        return _Remainder(self.keys, self.first, move.first - 1)


class _Loads:
    """Demand by key, and the load of each candidate while moves are being planned."""

    def __init__(
        self, ranges: Iterable[KeyRange], demand: dict[int, float], candidates: Sequence[Candidate]
    ) -> None:
        self.keys = sorted(demand)
        self.demand = demand
        self.capacity = {
            candidate.upstream_id: max(0.05, candidate.capacity) for candidate in candidates
        }
        self.load = dict.fromkeys(self.capacity, 0.0)
        self.owned: dict[str, list[_Remainder]] = {
            candidate.upstream_id: [] for candidate in candidates
        }
        for item in ranges:
            if item.owner in self.load:
                self.load[item.owner] += self.demand_between(item.first, item.last)
                self.owned[item.owner].append(_Remainder(item, item.first, item.last))
        self._mean_utilization = sum(self.load.values()) / sum(self.capacity.values())

    def demand_between(self, first: int, last: int) -> float:
        return sum(self.demand[key] for key in self.keys_between(first, last))

    def keys_between(self, first: int, last: int) -> list[int]:
        return self.keys[bisect_left(self.keys, first) : bisect_right(self.keys, last)]

    def utilization(self, upstream_id: str) -> float:
        return self.load[upstream_id] / self.capacity[upstream_id]

    def spare_load(self, upstream_id: str) -> float:
        """Return what an upstream is short of a load a little above the average."""
        target = self._mean_utilization + MAX_UTILIZATION_ABOVE_MEAN
        return target * self.capacity[upstream_id] - self.load[upstream_id]

    def transfer(self, previous_owner: str | None, new_owner: str, amount: float) -> None:
        if previous_owner in self.load:
            self.load[previous_owner] -= amount
        self.load[new_owner] += amount


def plan_moves(
    ranges: Sequence[KeyRange],
    demand: dict[int, float],
    candidates: Sequence[Candidate],
    max_moves: int,
) -> list[Move]:
    """Plan moves that assign every key to a live upstream and balance the load.

    :param ranges: the ranges of one service; ranges that are already moving are left out.
    :param demand: slots that the requests for each key occupy on average.
    :param candidates: upstreams that may be assigned keys; at least one.
    :param max_moves: limit on moves that only balance the load; keys without a live owner and
        upstreams without keys don't count towards it.
    """
    loads = _Loads(ranges, demand, candidates)
    moves = _assign_unowned(ranges, loads)
    not_moving = [item for item in ranges if not item.moving]
    moves += _assign_to_idle(loads, {move.keys for move in moves}, not_moving)
    excluded = {move.keys for move in moves}
    for _ in range(max_moves):
        move = _offload_busiest(loads, excluded)
        if move is None:
            break
        moves.append(move)
    return moves


def _assign_unowned(ranges: Sequence[KeyRange], loads: _Loads) -> list[Move]:
    moves = []
    for item in ranges:
        if item.owner in loads.load or item.moving:
            continue
        amount = loads.demand_between(item.first, item.last)
        new_owner = min(
            loads.load, key=lambda name: (loads.load[name] + amount) / loads.capacity[name]
        )
        loads.transfer(None, new_owner, amount)
        moves.append(Move(item, item.first, item.last, new_owner))
    return moves


def _assign_to_idle(
    loads: _Loads, planned: set[KeyRange], ranges: Sequence[KeyRange]
) -> list[Move]:
    """Assign upstreams without keys half of a range of the busiest owner of a divisible range."""
    moves: list[Move] = []
    new_owners = {move.new_owner for move in moves}
    current_owners = {item.owner for item in ranges}
    for idle, owned in loads.owned.items():
        if owned or idle in new_owners or idle in current_owners:
            continue
        divisible = [
            item
            for item in ranges
            if item not in planned and item.last > item.first and item.owner in loads.load
        ]
        if not divisible:
            return moves
        source = max(
            divisible, key=lambda item: (loads.utilization(item.owner), item.last - item.first)
        )
        middle = _middle(source, loads)
        amount = loads.demand_between(middle, source.last)
        loads.transfer(source.owner, idle, amount)
        planned = planned | {source}
        moves.append(Move(source, middle, source.last, idle))
    return moves


def _middle(item: KeyRange, loads: _Loads) -> int:
    """Return the first key of the upper half of a range, by demand or else by key count."""
    keys = loads.keys_between(item.first, item.last)
    half = loads.demand_between(item.first, item.last) / 2
    if half > 0:
        below = 0.0
        for key in keys:
            below += loads.demand[key]
            if below >= half:
                return min(item.last, max(item.first + 1, key))
    return (item.first + item.last + 1) // 2


def _offload_busiest(loads: _Loads, excluded: set[KeyRange]) -> Move | None:
    by_utilization = sorted(loads.load, key=loads.utilization, reverse=True)
    least_utilized = by_utilization[-1]
    for owner in by_utilization[:3]:
        if (
            loads.utilization(owner) < MIN_UTILIZATION_TO_REBALANCE
            or loads.utilization(owner) - loads.utilization(least_utilized) < MIN_UTILIZATION_GAP
        ):
            return None
        capacity_sum = loads.capacity[owner] + loads.capacity[least_utilized]
        balanced_load = (
            loads.load[owner] * loads.capacity[least_utilized]
            - loads.load[least_utilized] * loads.capacity[owner]
        ) / capacity_sum
        # Balancing with a very busy owner alone would overload the new owner too.
        spare_load = loads.spare_load(least_utilized)
        target_load = min(balanced_load, spare_load) if spare_load > 0 else balanced_load
        best = _best_run(owner, least_utilized, target_load, loads, excluded)
        if best is not None:
            remainder, move = best
            loads.transfer(owner, least_utilized, loads.demand_between(move.first, move.last))
            loads.owned[owner].remove(remainder)
            left = remainder.without(move)
            if left is not None:
                loads.owned[owner].append(left)
            return move
    return None


def _best_run(
    owner: str, new_owner: str, target_load: float, loads: _Loads, excluded: set[KeyRange]
) -> tuple[_Remainder, Move] | None:
    """Return the run at an end of one of the owner's ranges that is closest to the target load."""
    best: tuple[_Remainder, Move] | None = None
    best_gap = target_load - min(
        target_load * MIN_SHARE_OF_TARGET, loads.capacity[owner] * MIN_SHARE_OF_CAPACITY
    )
    for item in loads.owned[owner]:
        if item.keys in excluded or item.keys.moving:
            continue
        for first, last, amount in _runs(item, target_load * MAX_TARGET_RATIO, loads):
            gap = abs(target_load - amount)
            if gap < best_gap:
                best, best_gap = (item, Move(item.keys, first, last, new_owner)), gap
    return best


def _runs(item: _Remainder, limit: float, loads: _Loads) -> Iterable[tuple[int, int, float]]:
    """Yield the first key, last key and load of each run at either end of a range up to a load."""
    keys = loads.keys_between(item.first, item.last)
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
