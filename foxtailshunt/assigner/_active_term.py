"""One term of a zone's active assigner, from its takeover until the lease is lost."""

from dataclasses import dataclass, replace

from foxtailshunt.assigner._ability import AbilityWatch
from foxtailshunt.assigner._decision_log import DecisionLog, describe_change, slots_moved
from foxtailshunt.assigner._hearing import HearingWatch
from foxtailshunt.assigner._hot_keys import HotKeyWatch
from foxtailshunt.assigner._lease_keeper import LeaseKeeper
from foxtailshunt.assigner._live_dispatchers import LiveDispatchers
from foxtailshunt.assigner._load_weights import LoadWeights
from foxtailshunt.assigner._placement_keeper import PlacementKeeper
from foxtailshunt.assigner._plan_input import PlanInput, UpstreamStates
from foxtailshunt.assigner._planner import plan_table
from foxtailshunt.assigner._refusal_round import RefuseClient
from foxtailshunt.assigner._report_book import ReportBook
from foxtailshunt.assigner._table_store import TableStore
from foxtailshunt.assigner._transits import TransitWatch
from foxtailshunt.assigner._upstream_watch import UpstreamWatch
from foxtailshunt.assigner._witness_watch import WitnessWatch
from foxtailshunt.config import Configuration
from foxtailshunt.errors import FoxtailshuntError, ResultCode, StoreConflictError
from foxtailshunt.kvstore import Platform
from foxtailshunt.membership import MemberRegistry, View
from foxtailshunt.ownership import Fence, Table, table_to_json
from foxtailshunt.telemetry import Metrics, log_state_change
from foxtailshunt.timing import Clock

#: Time between two moves of a dispatcher's first place for balance, in seconds.
DISPATCHER_MOVE_INTERVAL_S = 1.0


class LeaseLostError(FoxtailshuntError):
    """The assigner lease is not surely held any more."""

    def __init__(self) -> None:
        super().__init__(ResultCode.CONFLICT, "the assigner lease is no longer held")


class DeafAssignerError(FoxtailshuntError):
    """The assigner hears too few witnesses of its zone; another one may hear more."""

    def __init__(self) -> None:
        super().__init__(ResultCode.CONFLICT, "too few witnesses of the zone are heard")


@dataclass(frozen=True, slots=True)
class ZoneParts:
    """What a zone's assigner works with."""

    #: The availability zone.
    zone: str
    #: The platform.
    platform: Platform
    #: Configuration and tables; the written tables go into it.
    view: View
    #: The members heard.
    registry: MemberRegistry
    #: The dispatchers' reports.
    reports: ReportBook
    #: Asks witnesses.
    refuse_client: RefuseClient
    #: The lease.
    lease: LeaseKeeper
    #: Which dispatchers are live.
    dispatchers: LiveDispatchers
    #: What was decided.
    decisions: DecisionLog
    #: The clock.
    clock: Clock
    #: Counters.
    metrics: Metrics


class ActiveTerm:
    """Plans and writes the zone's table under one gain of the lease; used by one thread.

    Any error of the store ends the term: its owner starts another, which reads everything again.

    :param parts: what it works with.
    """

    def __init__(self, parts: ZoneParts) -> None:
        self._parts = parts
        self._lease_number = parts.lease.number
        clock, zone = parts.clock, parts.zone
        self._store = TableStore(parts.platform, zone, self.check_lease, clock)
        self._placements = PlacementKeeper(
            parts.platform, zone, self.check_lease, clock, parts.metrics
        )
        self._upstreams = UpstreamWatch(parts.reports, clock)
        self._transits = TransitWatch(zone, parts.reports, parts.refuse_client, clock)
        self._witnesses = WitnessWatch(zone, parts.refuse_client, clock)
        self._ability = AbilityWatch(zone, clock)
        self._hot_keys = HotKeyWatch(parts.reports, clock)
        self._hearing = HearingWatch(clock)
        self._weights = LoadWeights(parts.reports, clock)
        self._table: Table | None = None
        self._dispatchers_moved_at = clock.now()
        self._stepped_at = clock.now()

    def check_lease(self) -> None:
        """Check that this term's lease is surely held at this moment.

        :raises LeaseLostError: it is not.
        """
        lease = self._parts.lease
        if not lease.held or lease.number != self._lease_number:
            raise LeaseLostError()

    def take_over(self) -> None:
        """Write the table under the next term, so that no earlier assigner's write succeeds.

        :raises FoxtailshuntError: the store failed or the lease was lost.
        """
        self._table = self._store.take_over(self._parts.view.table(self._parts.zone))
        self._publish(self._table)
        self._count("foxtailshunt_takeovers_total", "Takeovers of the zone's table.")
        log_state_change("zone.taken_over", term=self._table.fence.term)

    def step(self, leaving: frozenset[str]) -> None:
        """Decide on the next table and write it if it says anything new.

        :param leaving: upstreams that the platform lists as leaving.
        :raises DeafAssignerError: too few witnesses are heard.
        :raises FoxtailshuntError: the store failed or the lease was lost.
        """
        self.check_lease()
        self._check_not_overtaken()
        cfg, table = self._parts.view.cfg, self._table
        if cfg is None or table is None or cfg.version < table.cfg_version:
            # The configuration that the table was made under is still on its way here.
            return
        if not self._hearing.hears_enough(table, self._parts.dispatchers.heard()):
            if self._hearing.is_deaf():
                raise DeafAssignerError
            return
        self._placements.refresh(cfg)
        states = self._upstreams.update(table, leaving)
        able = self._ability.update(cfg, states)
        planned = plan_table(
            table,
            self._make_input(cfg, table, states, able),
            Fence(table.fence.term, table.fence.version + 1),
        )
        if replace(planned, fence=table.fence) != table:
            self._write(table, planned)
        self._placements.write(cfg, able, self._table)
        self._measure(cfg, states.lost)

    def stop(self) -> None:
        """Stop what runs beside."""
        self._transits.stop()
        self._witnesses.stop()

    def dump(self) -> dict[str, object]:
        """Return the state of the term for operators."""
        return {
            "upstreams": self._upstreams.dump(),
            "transits": self._transits.dump(),
            "witnesses": self._witnesses.dump(),
            "hot_keys_on_their_way": self._hot_keys.dump(),
            "placements": self._placements.dump(),
        }

    def _make_input(
        self, cfg: Configuration, table: Table, states: UpstreamStates, able: dict[str, bool]
    ) -> PlanInput:
        live = self._parts.dispatchers.of(table)
        senders = self._parts.reports.senders(table.rows)
        usable = states.ready - states.draining
        return PlanInput(
            cfg=cfg,
            zone=self._parts.zone,
            homed=self._placements.homed(cfg),
            giving=self._placements.choose(cfg, able),
            states=states,
            weights=self._weights.update(table, cfg, usable),
            finished=self._transits.finished(table, cfg),
            live_dispatchers=live,
            unfit_dispatchers=self._upstreams.unfit_dispatchers(),
            senders=senders,
            dispatcher_moves=self._dispatcher_moves(table, senders),
            witness_sets=self._witnesses.next_sets(table, live),
            pins=self._hot_keys.plan(table, cfg, usable),
        )

    def _dispatcher_moves(self, table: Table, senders: dict[str, str]) -> int:
        if not table.witness_sets:
            # No dispatcher can work yet, so a move costs nothing.
            return len(table.rows)
        is_quiet = all(senders.get(name) in row.dispatchers[:1] for name, row in table.rows.items())
        if not is_quiet:
            # A takeover or a handover is in progress.
            return 0
        now = self._parts.clock.now()
        return 1 if now - self._dispatchers_moved_at >= DISPATCHER_MOVE_INTERVAL_S else 0

    def _write(self, before: Table, planned: Table) -> None:
        try:
            written = self._store.write(planned)
        except FoxtailshuntError as exc:
            outcome = "conflict" if isinstance(exc, StoreConflictError) else "failed"
            self._count_write(outcome)
            raise
        self._count_write("written")
        self._table = written
        if _senders(before) != _senders(written):
            self._dispatchers_moved_at = self._parts.clock.now()
        self._witnesses.note_written(written)
        self._parts.reports.forget_others(written.rows)
        self._publish(written)
        self._parts.decisions.add(describe_change(before, written))
        self._count(
            "foxtailshunt_slot_moves_total",
            "Slots given to an upstream.",
            slots_moved(before, written),
        )

    def _publish(self, table: Table) -> None:
        self._parts.view.accept_table(table_to_json(table))

    def _check_not_overtaken(self) -> None:
        known = self._parts.view.table(self._parts.zone)
        if known is not None and self._table is not None and known.fence > self._table.fence:
            raise StoreConflictError("a newer table of the zone is known")

    def _measure(self, cfg: Configuration, lost: frozenset[str]) -> None:
        """Count the time that homed slots have no owner, or one that cannot be reached."""
        now = self._parts.clock.now()
        elapsed_s, self._stepped_at = now - self._stepped_at, now
        for name, homed in self._placements.homed(cfg).items():
            reached = sum(
                len(row.slots)
                for row in self._table.rows.values()
                if row.service == name and row.upstream_id not in lost
            )
            if len(homed) > reached:
                self._parts.metrics.count(
                    "foxtailshunt_unreachable_slot_seconds_total",
                    "Time that homed slots had no reachable owner, summed over slots.",
                    {"service": name},
                    (len(homed) - reached) * elapsed_s,
                )

    def _count_write(self, outcome: str) -> None:
        self._parts.metrics.count(
            "foxtailshunt_table_writes_total", "Writes of the zone's table.", {"outcome": outcome}
        )

    def _count(self, name: str, doc: str, amount: float = 1) -> None:
        self._parts.metrics.count(name, doc, amount=amount)


def _senders(table: Table) -> dict[str, str | None]:
    return {
        name: row.dispatchers[0] if row.dispatchers else None for name, row in table.rows.items()
    }
