"""Plans which upstream owns which keys.

A few keys get much of the traffic, and which ones they are changes within seconds; upstreams
differ in speed, join and leave. To balance the load, only short runs of keys at the ends of ranges
move, from the busiest upstream to the one with the most spare capacity. The module performs no I/O
and reads no clock.
"""

from bisect import bisect_left, bisect_right
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass

from foxtailshunt.fleet import KeyRange
from foxtailshunt.routing import KEY_COUNT

#: Smallest difference in utilization of two upstreams at which keys move between them.
MIN_UTILIZATION_GAP = 0.15
#: Utilization below which keys are not moved away from an upstream: it answers without a queue.
MIN_UTILIZATION_TO_REBALANCE = 0.45
#: Factor by which the load of a run of keys may exceed the target load.
MAX_TARGET_RATIO = 1.25
#: A run of keys moves only if its load exceeds the first share of the target load or the second
#: share of its owner's capacity. The second matters for an upstream that owns many small ranges.
MIN_SHARE_OF_TARGET, MIN_SHARE_OF_CAPACITY = 0.15, 0.03


#: Share of its limit that a cold upstream without keys is given at once, and share of the source
#: range, by number of keys, that it is given if no demand is known.
COLD_SHARE_OF_LIMIT, COLD_SHARE_OF_KEYS = 0.5, 1 / 16


@dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream that may be assigned keys."""

    #: Id of the upstream.
    upstream_id: str
    #: Work done per second, in seconds at the average speed of all upstreams.
    capacity: float
    #: Most demand that it may be given while it is cold, in slots; None if it is warm.
    limit: float | None = None
    #: False if it may keep keys but is to get no further ones.
    accepts_keys: bool = True


@dataclass(frozen=True, slots=True)
class Move:
    """A run of keys that is to change its owner."""

    #: The range that contains the keys, with its current owner.
    keys: KeyRange
    #: First key that moves.
    first: int
    #: Last key that moves.
    last: int
    #: Id of the upstream that is to own the keys.
    new_owner: str


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


class _Loads:
    """Demand by key, and the load of each candidate while moves are being planned."""

    def __init__(
        self, ranges: Iterable[KeyRange], demand: dict[int, float], candidates: Sequence[Candidate]
    ) -> None:
        self.keys = sorted(demand)
        self.demand = demand
        #: The most demand that each cold candidate may be given.
        self.limit = {
            candidate.upstream_id: candidate.limit
            for candidate in candidates
            if candidate.limit is not None
        }
        self.capacity = {
            candidate.upstream_id: max(
                0.05, min(candidate.capacity, self.limit.get(candidate.upstream_id, float("inf")))
            )
            for candidate in candidates
        }
        #: The candidates that may get keys; all of them if none accepts keys.
        self.receivers = [item.upstream_id for item in candidates if item.accepts_keys] or list(
            self.capacity
        )
        self.load = dict.fromkeys(self.capacity, 0.0)
        self.owned: dict[str, list[KeyRange]] = {
            candidate.upstream_id: [] for candidate in candidates
        }
        for item in ranges:
            if item.owner in self.load:
                self.load[item.owner] += self.demand_between(item.first, item.last)
                self.owned[item.owner].append(item)

    def demand_between(self, first: int, last: int) -> float:
        return sum(self.demand[key] for key in self.keys_between(first, last))

    def keys_between(self, first: int, last: int) -> list[int]:
        return self.keys[bisect_left(self.keys, first) : bisect_right(self.keys, last)]

    def utilization(self, upstream_id: str) -> float:
        return self.load[upstream_id] / self.capacity[upstream_id]

    def room(self, upstream_id: str) -> float:
        """Return how much more demand an upstream may be given; infinite if it is warm."""
        return self.limit.get(upstream_id, float("inf")) - self.load[upstream_id]

    def transfer(self, previous_owner: str | None, new_owner: str, amount: float) -> None:
        if previous_owner in self.load:
            self.load[previous_owner] -= amount
        self.load[new_owner] += amount


def plan_moves(
    ranges: Sequence[KeyRange],
    demand: dict[int, float],
    candidates: Sequence[Candidate],
    max_moves: int,
    evacuated: Collection[str] = (),
    max_evacuations: int = 0,
) -> list[Move]:
    """Plan moves that assign every key to a live upstream and balance the load.

    :param ranges: the ranges of one service; ranges that are already moving are left out.
    :param demand: slots that the requests for each key occupy on average.
    :param candidates: upstreams that may be assigned keys; at least one.
    :param max_moves: limit on moves that only balance the load; keys without a live owner and
        upstreams without keys don't count towards it.
    :param evacuated: ids of owners in evacuated zones, which still hold their keys.
    :param max_evacuations: limit on moves of their keys, those with the most demand first.
    """
    loads = _Loads(ranges, demand, candidates)
    held = [item for item in ranges if item.owner in evacuated and not item.moving]
    held.sort(key=lambda item: loads.demand_between(item.first, item.last), reverse=True)
    unowned = [item for item in ranges if item.owner not in evacuated]
    moves = _assign_unowned([*unowned, *held[:max_evacuations]], loads)
    not_moving = [item for item in ranges if not item.moving]
    moves += _assign_to_idle(loads, {move.keys for move in moves}, not_moving)
    moved = {move.keys for move in moves}
    for _ in range(max_moves):
        move = _offload_busiest(loads, moved)
        if move is None:
            break
        moved.add(move.keys)
        moves.append(move)
    return moves


def _assign_unowned(ranges: Sequence[KeyRange], loads: _Loads) -> list[Move]:
    moves = []
    for item in ranges:
        if item.owner in loads.load or item.moving:
            continue
        amount = loads.demand_between(item.first, item.last)
        new_owner = min(
            loads.receivers,
            key=lambda name: (
                loads.room(name) < amount,
                (loads.load[name] + amount) / loads.capacity[name],
            ),
        )
        loads.transfer(None, new_owner, amount)
        moves.append(Move(item, item.first, item.last, new_owner))
    return moves


def _assign_to_idle(
    loads: _Loads, planned: set[KeyRange], ranges: Sequence[KeyRange]
) -> list[Move]:
    """Assign upstreams without keys a part of a range of the busiest owner of a divisible range.

    A warm one gets half of the range, a cold one a run that leaves room below its limit.
    """
    moves: list[Move] = []
    new_owners = {move.new_owner for move in moves}
    current_owners = {item.owner for item in ranges}
    for idle in loads.receivers:
        if loads.owned[idle] or idle in new_owners or idle in current_owners:
            continue
        divisible = [
            item
            for item in ranges
            if item not in planned and item.last > item.first and item.owner in loads.load
        ]
        if not divisible:
            return moves
        divisible.sort(
            key=lambda item: (loads.utilization(item.owner), item.last - item.first), reverse=True
        )
        if idle in loads.limit:
            source, first = _cold_start(divisible, loads, loads.limit[idle] * COLD_SHARE_OF_LIMIT)
        else:
            source, first = divisible[0], _middle(divisible[0], loads)
        amount = loads.demand_between(first, source.last)
        loads.transfer(source.owner, idle, amount)
        planned = planned | {source}
        moves.append(Move(source, first, source.last, idle))
    return moves


def _cold_start(sources: Sequence[KeyRange], loads: _Loads, limit: float) -> tuple[KeyRange, int]:
    """Return a range and the first key of its end that a cold upstream without keys is given.

    :param sources: ranges with at least two keys, that of the busiest owner first.
    :param loads: demand by key.
    :param limit: the most demand of the keys, in slots.
    """
    for item in sources:
        half = loads.demand_between(item.first, item.last) / 2
        found: int | None = None
        amount = 0.0
        for key in reversed(loads.keys_between(item.first + 1, item.last)):
            amount += loads.demand[key]
            if amount > min(limit, half):
                break
            found = key
        if found is not None:
            return item, found
    # No key with demand fits: the run at the end of a range that has the least of it.
    item = min(sources, key=lambda item: loads.demand_between(_last_keys(item), item.last))
    return item, _last_keys(item)


def _last_keys(item: KeyRange) -> int:
    """Return the first key of a run at the end of a range."""
    count = max(1, int((item.last - item.first + 1) * COLD_SHARE_OF_KEYS))
    return item.last - count + 1


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


def _offload_busiest(loads: _Loads, moved: set[KeyRange]) -> Move | None:
    by_utilization = sorted(loads.load, key=loads.utilization, reverse=True)
    receivers = sorted(loads.receivers, key=loads.utilization)
    # A cold upstream may have no room for any run.
    targets = [receivers[0], *(name for name in receivers if name not in loads.limit)]
    for target in targets[: 2 if targets[0] in loads.limit else 1]:
        move = _offload(by_utilization[:3], target, loads, moved)
        if move is not None:
            return move
    return None


def _offload(
    owners: Sequence[str], target: str, loads: _Loads, moved: set[KeyRange]
) -> Move | None:
    for owner in owners:
        if (
            loads.utilization(owner) < MIN_UTILIZATION_TO_REBALANCE
            or loads.utilization(owner) - loads.utilization(target) < MIN_UTILIZATION_GAP
        ):
            return None
        is_cold = owner in loads.limit
        if is_cold and loads.room(owner) >= 0:
            # It has less demand than it may take, and its warm-up ends soon.
            continue
        capacity_sum = loads.capacity[owner] + loads.capacity[target]
        target_load = (
            loads.load[owner] * loads.capacity[target] - loads.load[target] * loads.capacity[owner]
        ) / capacity_sum
        target_load = min(target_load, loads.room(target) / MAX_TARGET_RATIO)
        if is_cold:
            target_load = min(target_load, -loads.room(owner))
        move = _best_run(owner, target, target_load, loads, moved)
        if move is not None:
            loads.transfer(owner, target, loads.demand_between(move.first, move.last))
            return move
    return None


def _best_run(
    owner: str, new_owner: str, target_load: float, loads: _Loads, moved: set[KeyRange]
) -> Move | None:
    """Return the run at an end of one of the owner's ranges that is closest to the target load."""
    best: Move | None = None
    best_gap = target_load - min(
        target_load * MIN_SHARE_OF_TARGET, loads.capacity[owner] * MIN_SHARE_OF_CAPACITY
    )
    for item in loads.owned[owner]:
        if item in moved or item.moving:
            continue
        for first, last, amount in _runs(item, target_load * MAX_TARGET_RATIO, loads):
            gap = abs(target_load - amount)
            if gap < best_gap:
                best, best_gap = Move(item, first, last, new_owner), gap
    return best


def _runs(item: KeyRange, limit: float, loads: _Loads) -> Iterable[tuple[int, int, float]]:
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
