"""Plans a zone's next table; pure, so that the same input gives the same table."""

from foxtailshunt.assigner._assignment import distribute, surplus
from foxtailshunt.assigner._dispatcher_lists import choose_dispatchers
from foxtailshunt.assigner._plan_input import PlanInput, TransitKey
from foxtailshunt.assigner._table_draft import TableDraft
from foxtailshunt.config import Service, Upstream
from foxtailshunt.ownership import Fence, ProcessRef, Table, slot_of_key

_NO_SLOTS: frozenset[int] = frozenset()


def plan_table(table: Table, inputs: PlanInput, fence: Fence) -> Table:
    """Return the next table.

    :param table: the table in force.
    :param inputs: what decides on the next one.
    :param fence: the fence of the next table.
    :returns: a table that differs from ``table`` at least in its fence.
    """
    draft = TableDraft(table, fence)
    draft.end_transits(
        [transit for transit in draft.transits if TransitKey.of(transit) in inputs.finished]
    )
    _sync_rows(draft, inputs)
    for service in inputs.cfg.services.values():
        if service.name in inputs.homed:
            _ServicePlan(draft, inputs, service).run()
    _set_dispatchers(draft, inputs)
    refs = _dispatcher_refs(table, inputs)
    return draft.build(inputs.cfg.version, refs, inputs.witness_sets)


def _sync_rows(draft: TableDraft, inputs: PlanInput) -> None:
    """Add rows of new upstreams, drain and then remove those of removed or moved ones."""
    configured = _configured_upstreams(inputs)
    in_transit = {transit.upstream_id for transit in draft.transits}
    for upstream_id, row in list(draft.rows.items()):
        entry = configured.get(upstream_id)
        is_current = entry is not None and (entry[0], entry[1].address) == (
            row.service,
            row.address,
        )
        if not is_current and not row.slots and not row.pins and upstream_id not in in_transit:
            draft.remove_row(upstream_id)
            continue
        draft.set_draining(upstream_id, not is_current or upstream_id in inputs.states.draining)
    for upstream_id, (service, upstream) in configured.items():
        if upstream_id not in draft.rows:
            draft.add_row(service, upstream)
            draft.set_draining(upstream_id, upstream_id in inputs.states.draining)


def _configured_upstreams(inputs: PlanInput) -> dict[str, tuple[str, Upstream]]:
    return {
        upstream.upstream_id: (service.name, upstream)
        for service in inputs.cfg.services.values()
        for upstream in service.upstreams
        if upstream.zone == inputs.zone
    }


class _ServicePlan:
    """Plans one service's slots and pins."""

    def __init__(self, draft: TableDraft, inputs: PlanInput, service: Service) -> None:
        self._draft = draft
        self._inputs = inputs
        self._service = service
        rows = [row for row in draft.rows.values() if row.service == service.name]
        self._ids = [row.upstream_id for row in rows]
        self._eligible = [
            row.upstream_id
            for row in rows
            if not row.draining and row.upstream_id in inputs.states.ready
        ]

    def run(self) -> None:
        """Take what must go, give what has no owner, then move for balance."""
        self._empty_leaving()
        self._release_given_away()
        self._give_pins()
        if not self._give_unowned():
            self._take_surplus()
        self._start_pins()
        self._draft.settle_excluded(self._service.name, self._service.slot_count)

    def _empty_leaving(self) -> None:
        for upstream_id in self._ids:
            row = self._draft.rows[upstream_id]
            is_lost = upstream_id in self._inputs.states.lost
            if row.draining or (is_lost and self._eligible):
                self._draft.take(upstream_id, row.slots, row.pins)

    def _release_given_away(self) -> None:
        giving = self._inputs.giving.get(self._service.name, _NO_SLOTS)
        unpin = self._inputs.pins.unpin
        for upstream_id in self._ids:
            row = self._draft.rows[upstream_id]
            pins = frozenset(
                key for key in row.pins if key in unpin or self._slot_of(key) in giving
            )
            self._draft.take(upstream_id, row.slots & giving, pins)

    def _give_pins(self) -> None:
        away = self._draft.keys_away(self._service.name)
        for key, target in self._inputs.pins.wanted.items():
            owner = self._slot_owner(key)
            was_excluded = owner is not None and key in self._draft.rows[owner].excluded
            if key not in away and was_excluded and target in self._eligible:
                self._draft.give(target, _NO_SLOTS, frozenset({key}))

    def _give_unowned(self) -> bool:
        """Give slots without owner and return whether there were any to give."""
        if self._is_first_assignment_early():
            return False
        owned = [self._draft.rows[upstream_id].slots for upstream_id in self._ids]
        owned += [
            transit.slots
            for transit in self._draft.transits
            if transit.service == self._service.name
        ]
        homed = self._inputs.homed.get(self._service.name, _NO_SLOTS)
        giving = self._inputs.giving.get(self._service.name, _NO_SLOTS)
        unowned = homed - giving - _NO_SLOTS.union(*owned)
        given = distribute(unowned, self._weights(self._eligible), self._counts(self._eligible))
        for upstream_id, slots in given.items():
            self._draft.give(upstream_id, slots)
        return any(given.values())

    def _is_first_assignment_early(self) -> bool:
        """Return whether to wait, so that the first reports do not draw all slots."""
        rows = [self._draft.rows[upstream_id] for upstream_id in self._ids]
        is_first = not any(row.slots for row in rows)
        return is_first and any(
            row.upstream_id in self._inputs.states.new and not row.draining for row in rows
        )

    def _take_surplus(self) -> None:
        settled = [name for name in self._eligible if name in self._inputs.states.settled]
        moving = sum(
            len(transit.slots)
            for transit in self._draft.transits
            if transit.service == self._service.name
        )
        limit = self._service.max_moves - moving
        slots = {name: self._draft.rows[name].slots for name in settled}
        for upstream_id, taken in surplus(slots, self._weights(settled), limit).items():
            self._draft.take(upstream_id, taken)

    def _start_pins(self) -> None:
        away = self._draft.keys_away(self._service.name)
        for key, target in self._inputs.pins.wanted.items():
            owner = self._slot_owner(key)
            if owner not in (None, target) and key not in away and target in self._eligible:
                self._draft.start_pin(owner, key)

    def _slot_owner(self, key: str) -> str | None:
        slot = self._slot_of(key)
        for upstream_id in self._ids:
            if slot in self._draft.rows[upstream_id].slots:
                return upstream_id
        return None

    def _slot_of(self, key: str) -> int:
        return slot_of_key(key, self._service.slot_count)

    def _weights(self, names: list[str]) -> dict[str, float]:
        return {name: self._inputs.weights.get(name, 1.0) for name in names}

    def _counts(self, names: list[str]) -> dict[str, int]:
        return {name: len(self._draft.rows[name].slots) for name in names}


def _set_dispatchers(draft: TableDraft, inputs: PlanInput) -> None:
    heard = {ref.instance_id for ref in inputs.live_dispatchers}
    live = tuple(sorted(heard - inputs.unfit_dispatchers or heard))
    if not live:
        return
    current = {name: row.dispatchers for name, row in draft.rows.items()}
    # A sender that changes while slots arrive cannot take over the memory of their requests.
    moves = 0 if draft.transits else inputs.dispatcher_moves
    chosen = choose_dispatchers(current, live, inputs.senders, moves)
    for upstream_id, dispatchers in chosen.items():
        if dispatchers != current[upstream_id]:
            draft.set_dispatchers(upstream_id, dispatchers)


def _dispatcher_refs(table: Table, inputs: PlanInput) -> tuple[ProcessRef, ...]:
    """Return witnesses that are not live, then the live dispatchers."""
    live = sorted(inputs.live_dispatchers, key=lambda ref: (ref.instance_id, ref.boot_id))
    live_boot_ids = {ref.boot_id for ref in live}
    witnesses = {boot_id for members in inputs.witness_sets for boot_id in members}
    kept = [
        ref
        for ref in table.dispatchers
        if ref.boot_id in witnesses and ref.boot_id not in live_boot_ids
    ]
    return (*kept, *live)
