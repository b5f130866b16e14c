"""Which dispatchers each upstream has, in which order."""

from collections import Counter

#: Dispatchers named for each upstream: the one that sends, and those that follow it.
DISPATCHERS_PER_UPSTREAM = 3


def choose_dispatchers(
    current: dict[str, tuple[str, ...]], live: tuple[str, ...], moves: int
) -> dict[str, tuple[str, ...]]:
    """Return the dispatchers of each upstream.

    Lost dispatchers are dropped and the next in order follows. Free places are filled with the
    dispatchers that are named least. First places are then evened out.

    :param current: instance ids of each upstream's dispatchers now.
    :param live: instance ids of the live dispatchers.
    :param moves: most first places to move for balance.
    :returns: instance ids of each upstream's dispatchers, the sender first.
    """
    lists = {
        name: [instance_id for instance_id in current[name] if instance_id in live]
        for name in sorted(current)
    }
    _fill_first_places(lists, live)
    _fill_other_places(lists, live)
    for _ in range(moves):
        if not _move_first_place(lists, live):
            break
    return {name: tuple(names) for name, names in lists.items()}


def _firsts(lists: dict[str, list[str]], live: tuple[str, ...]) -> Counter[str]:
    firsts = Counter(dict.fromkeys(live, 0))
    firsts.update(names[0] for names in lists.values() if names)
    return firsts


def _least(counts: Counter[str], candidates: list[str]) -> str:
    return min(candidates, key=lambda name: (counts[name], name))


def _fill_first_places(lists: dict[str, list[str]], live: tuple[str, ...]) -> None:
    if not live:
        return
    firsts = _firsts(lists, live)
    for names in lists.values():
        if not names:
            chosen = _least(firsts, list(live))
            names.append(chosen)
            firsts[chosen] += 1


def _fill_other_places(lists: dict[str, list[str]], live: tuple[str, ...]) -> None:
    named: Counter[str] = Counter()
    for names in lists.values():
        named.update(names)
    for names in lists.values():
        del names[DISPATCHERS_PER_UPSTREAM:]
        while len(names) < min(DISPATCHERS_PER_UPSTREAM, len(live)):
            chosen = _least(named, [name for name in live if name not in names])
            names.append(chosen)
            named[chosen] += 1


def _move_first_place(lists: dict[str, list[str]], live: tuple[str, ...]) -> bool:
    firsts = _firsts(lists, live)
    if not firsts:
        return False
    least = _least(firsts, list(live))
    most = max(live, key=lambda name: (firsts[name], name))
    if firsts[most] - firsts[least] < 2:
        return False
    candidates = [name for name, names in lists.items() if names[0] == most]
    chosen = min(candidates, key=lambda name: (least not in lists[name], name))
    names = lists[chosen]
    if least in names:
        names.remove(least)
    names.insert(0, least)
    del names[DISPATCHERS_PER_UPSTREAM:]
    return True
