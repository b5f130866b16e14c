"""Checks that no slot and no key had two owners at one moment."""

from collections import defaultdict
from collections.abc import Iterator

from foxtailshunt.ownership import slot_of_key
from standins.records._format import RunRecord
from standins.records._holdings import Holding
from standins.records._spans import Overlap, Span, overlap_of, overlaps_among
from standins.records._violations import TwoOwners


class OwnershipCheck:
    """Finds slots and keys that two upstreams held at one moment, work in progress included.

    :param holdings: what upstreams held.
    :param runs: runs that took effect.
    :param slot_counts: number of slots by service; without it a pinned key is compared with slots
        only if a run tells its slot.
    """

    def __init__(
        self, holdings: list[Holding], runs: list[RunRecord], slot_counts: dict[str, int]
    ) -> None:
        self._runs = runs
        self._slot_counts = slot_counts
        self._by_slot: dict[tuple[str, int], list[Holding]] = defaultdict(list)
        self._by_pin: dict[tuple[str, str], list[Holding]] = defaultdict(list)
        self._run_slots: dict[tuple[str, str], int] = {}
        for holding in holdings:
            self._add(holding)
        for run in runs:
            self._run_slots[run.incarnation.service, run.key] = run.slot

    def violations(self) -> Iterator[TwoOwners]:
        """Yield the violations."""
        yield from self._slots_held_twice()
        yield from self._pins_held_twice()
        yield from self._runs_on_keys_held_elsewhere()
        yield from self._runs_on_one_key()

    def _add(self, holding: Holding) -> None:
        service = holding.incarnation.service
        for slot in holding.slots:
            self._by_slot[service, slot].append(holding)
        for pin in holding.pins:
            self._by_pin[service, pin].append(holding)

    def _slots_held_twice(self) -> Iterator[TwoOwners]:
        for (service, slot), holdings in self._by_slot.items():
            for overlap in overlaps_among(map(_span_of_holding, holdings)):
                yield _two_owners(service, slot, None, overlap)

    def _pins_held_twice(self) -> Iterator[TwoOwners]:
        for (service, key), pin_holdings in self._by_pin.items():
            slot = self._slot_of(service, key)
            for overlap in overlaps_among(map(_span_of_holding, pin_holdings)):
                yield _two_owners(service, slot, key, overlap)
            slot_holdings = [] if slot is None else self._by_slot.get((service, slot), [])
            others = [holding for holding in slot_holdings if key not in holding.excluded]
            for pin_holding in pin_holdings:
                yield from _against(_span_of_holding(pin_holding), others, service, slot, key)

    def _runs_on_keys_held_elsewhere(self) -> Iterator[TwoOwners]:
        for run in self._runs:
            service = run.incarnation.service
            candidates = self._by_slot.get((service, run.slot), [])
            candidates = candidates + self._by_pin.get((service, run.key), [])
            others = [holding for holding in candidates if holding.covers(run.slot, run.key)]
            yield from _against(_span_of_run(run), others, service, run.slot, run.key)

    def _runs_on_one_key(self) -> Iterator[TwoOwners]:
        by_key: dict[tuple[str, str], list[RunRecord]] = defaultdict(list)
        for run in self._runs:
            by_key[run.incarnation.service, run.key].append(run)
        for (service, key), runs in by_key.items():
            for overlap in overlaps_among(map(_span_of_run, runs)):
                yield _two_owners(service, runs[0].slot, key, overlap)

    def _slot_of(self, service: str, key: str) -> int | None:
        slot_count = self._slot_counts.get(service)
        if slot_count is not None:
            return slot_of_key(key, slot_count)
        return self._run_slots.get((service, key))


def _against(
    span: Span, holdings: list[Holding], service: str, slot: int | None, key: str
) -> Iterator[TwoOwners]:
    for holding in holdings:
        overlap = overlap_of(span, _span_of_holding(holding))
        if overlap is not None:
            yield _two_owners(service, slot, key, overlap)


def _span_of_holding(holding: Holding) -> Span:
    return Span(holding.incarnation.upstream, holding.start, holding.end)


def _span_of_run(run: RunRecord) -> Span:
    return Span(run.incarnation.upstream, run.start, run.end)


def _two_owners(service: str, slot: int | None, key: str | None, overlap: Overlap) -> TwoOwners:
    return TwoOwners(service, slot, key, overlap.upstreams, overlap.start, overlap.end)
