"""Rebuilds from grant records what each upstream held and when."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, replace

from standins.records._format import GrantRecord, Incarnation, Record, StartRecord


@dataclass(frozen=True, slots=True)
class Holding:
    """What one incarnation of an upstream held over a time."""

    #: The upstream's process.
    incarnation: Incarnation
    #: Slots held.
    slots: frozenset[int]
    #: Keys held apart from their slots.
    pins: frozenset[str]
    #: Keys of the slots that are not held.
    excluded: frozenset[str]
    #: When it began.
    start: float
    #: When it ended: the grant lapsed, was replaced, or the process was started anew.
    end: float
    #: When the grant would have lapsed; work begun before the end may take effect until then.
    until: float

    def covers(self, slot: int, key: str) -> bool:
        """Return whether a key was held.

        :param slot: the key's slot.
        :param key: the key.
        """
        if key in self.pins:
            return True
        return slot in self.slots and key not in self.excluded


def holdings_of(records: Iterable[Record]) -> list[Holding]:
    """Return the holdings of all upstreams; renewals without a gap make one holding.

    :param records: the records, in order for each upstream.
    """
    by_upstream: dict[tuple[str, str], list[GrantRecord | StartRecord]] = defaultdict(list)
    for record in records:
        if isinstance(record, GrantRecord | StartRecord):
            incarnation = record.incarnation
            by_upstream[incarnation.service, incarnation.upstream].append(record)
    holdings: list[Holding] = []
    for own_records in by_upstream.values():
        holdings += _holdings_of_upstream(own_records)
    return holdings


def _holdings_of_upstream(records: list[GrantRecord | StartRecord]) -> list[Holding]:
    holdings: list[Holding] = []
    current: Holding | None = None
    for record in records:
        if isinstance(record, StartRecord):
            _add_ended(holdings, current, record.at)
            current = None
        elif current is not None and _renews(record, current):
            current = replace(current, end=record.until, until=record.until)
        else:
            _add_ended(holdings, current, record.start)
            current = _holding_of(record)
    _add_ended(holdings, current, float("inf"))
    return holdings


def _renews(record: GrantRecord, current: Holding) -> bool:
    same_content = (
        record.slots == current.slots
        and record.pins == current.pins
        and record.excluded == current.excluded
    )
    same_process = record.incarnation == current.incarnation
    return same_content and same_process and record.start <= current.end


def _holding_of(record: GrantRecord) -> Holding:
    return Holding(
        incarnation=record.incarnation,
        slots=record.slots,
        pins=record.pins,
        excluded=record.excluded,
        start=record.start,
        end=record.until,
        until=record.until,
    )


def _add_ended(holdings: list[Holding], holding: Holding | None, latest_end: float) -> None:
    if holding is None:
        return
    ended = replace(holding, end=min(holding.end, latest_end))
    if ended.start < ended.end:
        holdings.append(ended)
