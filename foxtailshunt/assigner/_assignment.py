"""How many slots each upstream of a zone should own, and which slots move for it."""

import heapq
from collections.abc import Iterable


def quotas(total: int, weights: dict[str, float], counts: dict[str, int]) -> dict[str, int]:
    """Divide slots in proportion to weights.

    Where rounding leaves a choice, the upstream that owns more keeps more.

    :param total: slots to divide.
    :param weights: positive weight of each upstream.
    :param counts: slots that each upstream owns now.
    :returns: slots for each upstream; they add up to ``total``.
    """
    if not weights:
        return {}
    weight_sum = sum(weights.values())
    exact = {name: total * weight / weight_sum for name, weight in weights.items()}
    result = {name: int(share) for name, share in exact.items()}
    remainders = sorted(
        exact, key=lambda name: (-round(exact[name] - result[name], 9), -counts.get(name, 0), name)
    )
    for name in remainders[: total - sum(result.values())]:
        result[name] += 1
    return result


def distribute(
    unowned: Iterable[int], weights: dict[str, float], counts: dict[str, int]
) -> dict[str, frozenset[int]]:
    """Give slots without an owner to upstreams, the least filled first.

    Each upstream gets neighbouring slots, which keeps table documents short.

    :param unowned: the slots.
    :param weights: positive weight of each upstream that may get slots.
    :param counts: slots that each upstream owns now.
    :returns: the slots that each upstream gets; empty if there is no upstream.
    """
    slots = sorted(unowned)
    if not weights:
        return {}
    given = _fill(len(slots), weights, counts)
    result: dict[str, frozenset[int]] = {}
    first = 0
    for name in sorted(given):
        result[name] = frozenset(slots[first : first + given[name]])
        first += given[name]
    return result


def surplus(
    slots: dict[str, frozenset[int]], weights: dict[str, float], limit: int
) -> dict[str, frozenset[int]]:
    """Choose slots to take from upstreams that own more than their quota.

    :param slots: slots that each upstream owns now.
    :param weights: positive weight of each upstream.
    :param limit: most slots to take.
    :returns: the slots to take from each upstream, empty if the assignment is balanced.
    """
    counts = {name: len(slots.get(name, ())) for name in weights}
    target = quotas(sum(counts.values()), weights, counts)
    result: dict[str, frozenset[int]] = {}
    by_excess = sorted(weights, key=lambda name: (target[name] - counts[name], name))
    for name in by_excess:
        take = min(counts[name] - target[name], limit)
        if take > 0:
            result[name] = frozenset(sorted(slots[name])[-take:])
            limit -= take
    return result


def _fill(number: int, weights: dict[str, float], counts: dict[str, int]) -> dict[str, int]:
    given = dict.fromkeys(weights, 0)
    heap = [((counts.get(name, 0) + 1) / weight, name) for name, weight in weights.items()]
    heapq.heapify(heap)
    for _ in range(number):
        _, name = heap[0]
        given[name] += 1
        filled = (counts.get(name, 0) + given[name] + 1) / weights[name]
        heapq.heapreplace(heap, (filled, name))
    return given
