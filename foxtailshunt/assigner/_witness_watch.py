"""Hands a zone's witnesses over from one set to the next."""

from foxtailshunt.assigner._refusal_round import RefusalRound, RefuseClient
from foxtailshunt.assigner._witness_choice import WitnessSet, choose_witnesses
from foxtailshunt.ownership import ProcessRef, Table
from foxtailshunt.ownership._periods import (
    ASSENT_PERIOD_S,
    MEMBER_TIMEOUT_S,
    surely_lapsed_after,
)
from foxtailshunt.protocol import FenceMessage, RefuseRequest
from foxtailshunt.telemetry import log_state_change
from foxtailshunt.timing import Clock

#: Time that a witness may be silent before it is replaced, in seconds.
WITNESS_TIMEOUT_S = 2.0
#: Time that a wanted change of the witnesses must stay the same before it begins, in seconds; it
#: lets changes that come together be one.
CHANGE_SETTLING_S = 0.3
#: Time from the first dispatcher heard until the first witness set is chosen, in seconds.
FIRST_SET_SETTLING_S = 2 * MEMBER_TIMEOUT_S

WitnessSets = tuple[WitnessSet, ...]


class WitnessWatch:
    """Decides on witness sets for one active assigner; used by one thread.

    A change goes over two tables. Under the first, dispatchers need a majority of the old and of
    the new set. Under the second, the new set is enough; it is written once so many of the old set
    refuse older tables that the others make no majority, and the assents they gave have lapsed.

    :param zone: the availability zone.
    :param client: asks witnesses.
    :param clock: the clock.
    """

    def __init__(self, zone: str, client: RefuseClient, clock: Clock) -> None:
        self._zone = zone
        self._client = client
        self._clock = clock
        self._absent_since: dict[str, float] = {}
        self._first_heard_at: float | None = None
        self._wanted: WitnessSet = ()
        self._wanted_since = clock.now()
        self._handover: RefusalRound | None = None

    def next_sets(self, table: Table, live: tuple[ProcessRef, ...]) -> WitnessSets:
        """Return the witness sets that the next table should have.

        :param table: the table in force.
        :param live: the live dispatchers.
        """
        now = self._clock.now()
        if live and self._first_heard_at is None:
            self._first_heard_at = now
        if not table.witness_sets:
            return self._first_set(live, now)
        if len(table.witness_sets) > 1:
            return self._continue_handover(table)
        return self._changed_set(table, live, now)

    def stop(self) -> None:
        """Stop asking witnesses."""
        self._end_handover()

    def dump(self) -> dict[str, object]:
        """Return the state of a change."""
        return {
            "handover": self._handover.describe() if self._handover else None,
            "absent": sorted(self._absent_since),
        }

    def _first_set(self, live: tuple[ProcessRef, ...], now: float) -> WitnessSets:
        heard_at = self._first_heard_at
        if heard_at is None or now - heard_at < FIRST_SET_SETTLING_S or not live:
            return ()
        return (choose_witnesses((), live, frozenset()),)

    def _changed_set(self, table: Table, live: tuple[ProcessRef, ...], now: float) -> WitnessSets:
        current = table.witness_sets[0]
        missing = self._missing(table, live, now)
        chosen = choose_witnesses(current, live, missing)
        if chosen != self._wanted:
            self._wanted, self._wanted_since = chosen, now
        is_any_live = any(ref.boot_id in chosen for ref in live)
        is_settled = now - self._wanted_since >= CHANGE_SETTLING_S
        if set(chosen) == set(current) or not is_any_live or not is_settled:
            return table.witness_sets
        return (current, chosen)

    def _missing(self, table: Table, live: tuple[ProcessRef, ...], now: float) -> frozenset[str]:
        """Return silent witnesses that may come back: not replaced, and not silent for long."""
        live_ids = {ref.boot_id for ref in live}
        live_instances = {ref.instance_id for ref in live}
        instances = {ref.boot_id: ref.instance_id for ref in table.dispatchers}
        absent = [boot_id for boot_id in table.witness_sets[0] if boot_id not in live_ids]
        self._absent_since = {boot_id: self._absent_since.get(boot_id, now) for boot_id in absent}
        return frozenset(
            boot_id
            for boot_id, since in self._absent_since.items()
            if now - since < WITNESS_TIMEOUT_S and instances.get(boot_id) not in live_instances
        )

    def _continue_handover(self, table: Table) -> WitnessSets:
        old, new = table.witness_sets[0], table.witness_sets[-1]
        if self._handover is None:
            self._handover = self._start_handover(table, old)
        if not self._handover.succeeded():
            return table.witness_sets
        return (new,)

    def _start_handover(self, table: Table, old: WitnessSet) -> RefusalRound:
        fence = FenceMessage(table.fence.term, table.fence.version)
        handover = RefusalRound(
            sets=(old,),
            refs={ref.boot_id: ref for ref in table.dispatchers},
            req=RefuseRequest(self._zone, "", fence, []),
            settle_s=surely_lapsed_after(ASSENT_PERIOD_S),
            client=self._client,
            clock=self._clock,
        )
        log_state_change("witnesses.handover_started", old=len(old))
        handover.start()
        return handover

    def note_written(self, table: Table) -> None:
        """End the handover once the table that ends it is in the store.

        :param table: the table written.
        """
        if len(table.witness_sets) == 1:
            self._end_handover()

    def _end_handover(self) -> None:
        if self._handover is not None:
            self._handover.stop()
            self._handover = None
