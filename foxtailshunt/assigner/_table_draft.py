"""The next version of a table while it is being planned."""

from dataclasses import replace

from foxtailshunt.assigner._arrivals import ArrivalDraft
from foxtailshunt.config import Upstream
from foxtailshunt.ownership import (
    Fence,
    ProcessRef,
    Table,
    Transit,
    UpstreamRow,
    slot_of_key,
)

_NOTHING: frozenset[int] = frozenset()
_NO_KEYS: frozenset[str] = frozenset()


class TableDraft:
    """Starts as a copy of a table; a row that changes what it grants gets the new fence.

    :param table: the table in force.
    :param fence: the fence of the next table.
    """

    def __init__(self, table: Table, fence: Fence) -> None:
        self._table = table
        self._fence = fence
        self.rows: dict[str, UpstreamRow] = dict(table.rows)
        self.transits: list[Transit] = list(table.transits)
        self._arrivals = ArrivalDraft(table.arrivals)

    def end_transits(self, ended: list[Transit]) -> None:
        """Remove transits that have surely ended; what they held may be given from now on.

        :param ended: transits of this draft.
        """
        self.transits = [transit for transit in self.transits if transit not in ended]
        self._arrivals.end_transits(ended)

    def add_row(self, service: str, upstream: Upstream) -> None:
        """Add a row that owns nothing.

        :param service: the upstream's service.
        :param upstream: the upstream as the configuration has it.
        """
        self.rows[upstream.upstream_id] = UpstreamRow(
            upstream_id=upstream.upstream_id,
            service=service,
            address=upstream.address,
            fence=self._fence,
            slots=_NOTHING,
            pins=_NO_KEYS,
            excluded=_NO_KEYS,
            dispatchers=(),
            draining=False,
        )

    def remove_row(self, upstream_id: str) -> None:
        """Remove a row; it must own nothing and have nothing in transit.

        :param upstream_id: the upstream.
        """
        del self.rows[upstream_id]

    def set_draining(self, upstream_id: str, draining: bool) -> None:
        """Mark an upstream as leaving or not.

        :param upstream_id: the upstream.
        :param draining: whether it is leaving.
        """
        if self.rows[upstream_id].draining != draining:
            self._change(upstream_id, draining=draining)

    def take(
        self, upstream_id: str, slots: frozenset[int], pins: frozenset[str] = _NO_KEYS
    ) -> None:
        """Take slots and pins from an upstream; they are in transit from then on.

        :param upstream_id: the upstream.
        :param slots: slots that it owns.
        :param pins: pins that it owns.
        """
        if not slots and not pins:
            return
        row = self.rows[upstream_id]
        self._change(upstream_id, slots=row.slots - slots, pins=row.pins - pins)
        self.transits.append(Transit(row.service, upstream_id, self._fence, slots, pins))
        self._arrivals.remove(row.service, slots)

    def start_pin(self, upstream_id: str, key: str) -> None:
        """Take one key out of an upstream's slots; it is in transit from then on.

        :param upstream_id: the upstream that owns the key by its slot.
        :param key: the key.
        """
        row = self.rows[upstream_id]
        keys = frozenset({key})
        self._change(upstream_id, excluded=row.excluded | keys)
        self.transits.append(Transit(row.service, upstream_id, self._fence, _NOTHING, keys))

    def give(
        self, upstream_id: str, slots: frozenset[int], pins: frozenset[str] = _NO_KEYS
    ) -> None:
        """Give slots and pins that nobody owns to an upstream.

        :param upstream_id: the upstream.
        :param slots: the slots.
        :param pins: the pins.
        """
        if slots or pins:
            row = self.rows[upstream_id]
            self._change(upstream_id, slots=row.slots | slots, pins=row.pins | pins)
            self._arrivals.add(row.service, upstream_id, self._fence, slots)

    def keys_away(self, service: str) -> frozenset[str]:
        """Return the keys that an upstream owns, or may still own, apart from their slots.

        :param service: the service.
        """
        pins = [row.pins for row in self.rows.values() if row.service == service]
        pins += [transit.pins for transit in self.transits if transit.service == service]
        return _NO_KEYS.union(*pins)

    def settle_excluded(self, service: str, slot_count: int) -> None:
        """Let each row exclude exactly the keys of its slots that are away.

        :param service: the service.
        :param slot_count: its number of slots.
        """
        slots = {key: slot_of_key(key, slot_count) for key in self.keys_away(service)}
        for upstream_id, row in list(self.rows.items()):
            if row.service != service:
                continue
            excluded = frozenset(key for key, slot in slots.items() if slot in row.slots)
            if excluded != row.excluded:
                self._change(upstream_id, excluded=excluded)

    def set_dispatchers(self, upstream_id: str, dispatchers: tuple[str, ...]) -> None:
        """Set an upstream's dispatchers; this changes nothing that the row grants.

        :param upstream_id: the upstream.
        :param dispatchers: instance ids in order.
        """
        self.rows[upstream_id] = replace(self.rows[upstream_id], dispatchers=dispatchers)

    def build(
        self,
        cfg_version: int,
        dispatchers: tuple[ProcessRef, ...],
        witness_sets: tuple[tuple[str, ...], ...],
    ) -> Table:
        """Return the table with the new fence; its writer token is still the old one.

        :param cfg_version: the configuration version that it was planned under.
        :param dispatchers: every dispatcher process of the zone.
        :param witness_sets: witness sets by boot id.
        """
        return replace(
            self._table,
            fence=self._fence,
            cfg_version=cfg_version,
            dispatchers=dispatchers,
            witness_sets=witness_sets,
            rows=self.rows,
            transits=tuple(self.transits),
            arrivals=self._arrivals.build(self.rows),
        )

    def _change(self, upstream_id: str, **values: object) -> None:
        self.rows[upstream_id] = replace(self.rows[upstream_id], fence=self._fence, **values)
