"""The last decisions of an assigner, for operators."""

from collections import deque

from foxtailshunt.ownership import Table
from foxtailshunt.timing import Clock

_KEPT = 100


class DecisionLog:
    """Keeps one line for each table written.

    :param clock: the clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lines: deque[tuple[float, str]] = deque(maxlen=_KEPT)

    def add(self, line: str) -> None:
        """Add one line.

        :param line: what was decided.
        """
        self._lines.append((self._clock.now(), line))

    def lines(self) -> list[dict[str, object]]:
        """Return the lines with their ages, the newest last."""
        now = self._clock.now()
        return [{"age_s": round(now - at, 3), "what": line} for at, line in list(self._lines)]


def describe_change(before: Table, after: Table) -> str:
    """Return what a table changes: slots by upstream, dispatchers, witness sets.

    :param before: the table in force.
    :param after: the next table.
    """
    parts = [f"{after.fence.term}.{after.fence.version}"]
    for upstream_id in sorted(before.rows.keys() | after.rows.keys()):
        change = _describe_row(before, after, upstream_id)
        if change:
            parts.append(f"{upstream_id}: {change}")
    if len(after.transits) != len(before.transits):
        parts.append(f"{len(after.transits)} transits")
    if after.witness_sets != before.witness_sets:
        sizes = [str(len(members)) for members in after.witness_sets]
        parts.append(f"witness sets of {' and '.join(sizes) or 'none'}")
    return "; ".join(parts)


def slots_moved(before: Table, after: Table) -> int:
    """Return how many slots after got an owner that they did not have before.

    :param before: the table in force.
    :param after: the next table.
    """
    moved = 0
    for upstream_id, row in after.rows.items():
        old = before.rows.get(upstream_id)
        moved += len(row.slots - (old.slots if old else frozenset()))
    return moved


def _describe_row(before: Table, after: Table, upstream_id: str) -> str:
    old, new = before.rows.get(upstream_id), after.rows.get(upstream_id)
    if old is None:
        return f"added with {len(new.slots)} slots" if new else ""
    if new is None:
        return "removed"
    changes = []
    got, lost = len(new.slots - old.slots), len(old.slots - new.slots)
    if got or lost:
        changes.append(f"+{got} -{lost} slots")
    if new.pins != old.pins:
        changes.append(f"{len(new.pins)} pins")
    if new.draining != old.draining:
        changes.append("draining" if new.draining else "no longer draining")
    if new.dispatchers != old.dispatchers:
        changes.append(f"dispatchers {','.join(new.dispatchers) or 'none'}")
    return ", ".join(changes)
