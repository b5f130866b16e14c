"""Which dispatchers each upstream has, in which order."""

from collections import Counter

#: Dispatchers named for each upstream: the one that sends, and those that follow it.
DISPATCHERS_PER_UPSTREAM = 3


def choose_dispatchers(
    current: dict[str, tuple[str, ...]],
    live: tuple[str, ...],
    senders: dict[str, str],
    moves: int,
) -> dict[str, tuple[str, ...]]:
    """Return the dispatchers of each upstream.

    Lost dispatchers are dropped and the next in order follows. A listed dispatcher that is the
    sender comes first. Free places are filled with the dispatchers that are named least. First
    places are then evened out: the sender is left out of the list, which makes it hand over, and
    is not named again before it has.

    :param current: instance ids of each upstream's dispatchers now.
    :param live: instance ids of the live dispatchers.
    :param senders: the dispatcher that sends to each upstream, where known.
    :param moves: most first places to move for balance.
    :returns: instance ids of each upstream's dispatchers, the sender first.
    """
    lists = {
        name: [instance_id for instance_id in current[name] if instance_id in live]
        for name in sorted(current)
    }
    _put_senders_first(lists, senders)
    _fill_first_places(lists, live)
    _fill_other_places(lists, live, senders)
    for _ in range(moves):
        if not _move_first_place(lists, live):
            break
    _fill_other_places(lists, live, senders)
    return {name: tuple(names) for name, names in lists.items()}


def _put_senders_first(lists: dict[str, list[str]], senders: dict[str, str]) -> None:
    for name, names in lists.items():
        sender = senders.get(name)
        if sender in names:
            names.remove(sender)
            names.insert(0, sender)


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


def _fill_other_places(
    lists: dict[str, list[str]], live: tuple[str, ...], senders: dict[str, str]
) -> None:
    named: Counter[str] = Counter()
    for names in lists.values():
        named.update(names)
    for name, names in lists.items():
        del names[DISPATCHERS_PER_UPSTREAM:]
        free = [other for other in live if other not in names and other != senders.get(name)]
        for _ in range(min(DISPATCHERS_PER_UPSTREAM - len(names), len(free))):
            chosen = _least(named, free)
            free.remove(chosen)
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
    names.remove(most)
    if least in names:
        names.remove(least)
    names.insert(0, least)
    return True
