"""Decides for which upstreams this dispatcher asks to be the sender."""

import threading

from foxtailshunt.membership import View
from foxtailshunt.ownership._records import ZERO_FENCE, Fence, Table, UpstreamRow
from foxtailshunt.ownership.authority._assent_ledger import AssentLedger
from foxtailshunt.ownership.authority._witness import ASSENT_LAPSE_S, Witness
from foxtailshunt.timing import Clock

#: Time that a dispatcher waits for each one listed before it, in seconds.
TAKEOVER_STEP_S = 0.2
#: Time for which a dispatcher not listed first asks without becoming the sender, in seconds.
CONTENTION_S = 0.3
#: Time for which it then asks no more, so that what it was assented to lapses, in seconds.
CONTENTION_BACKOFF_S = ASSENT_LAPSE_S
#: The same for a dispatcher that is no witness and cannot see whether the holder is gone.
PROBE_BACKOFF_S = 2.0


class Candidacy:
    """Chooses the upstreams that requests for assent name.

    The dispatcher listed first always asks; while another holds the upstream the witnesses refuse,
    so the holder keeps it. One listed later asks once the holder seems gone, and backs off if it
    finds no majority, so that two that share the witnesses do not block each other for good.

    :param view: its newest table lists the dispatchers of each upstream.
    :param zone: the availability zone.
    :param instance_id: this instance.
    :param boot_id: this dispatcher's boot id.
    :param ledger: the assents counted here.
    :param witness: this process's own witness.
    :param clock: a monotonic clock.
    """

    def __init__(
        self,
        view: View,
        zone: str,
        instance_id: str,
        boot_id: str,
        ledger: AssentLedger,
        witness: Witness,
        clock: Clock,
    ) -> None:
        self._view = view
        self._zone = zone
        self._instance_id = instance_id
        self._boot_id = boot_id
        self._ledger = ledger
        self._witness = witness
        self._clock = clock
        self._lock = threading.Lock()
        self._contending_since: dict[str, float] = {}
        self._backs_off_until: dict[str, float] = {}
        self._table_floor = ZERO_FENCE
        # When each upstream was given up.
        self._given_up: dict[str, float] = {}

    def wanted_rows(self) -> list[UpstreamRow]:
        """Return the rows of the upstreams to ask for now."""
        table = self._view.table(self._zone)
        if table is None:
            return []
        with self._lock:
            return [row for row in table.rows.values() if self._wants(table, row)]

    def note_table_floor(self, floor: Fence) -> None:
        """Learn that a witness refuses older tables.

        A dispatcher with an older table contends for nothing: it would only keep a witness from
        assenting to one with the newer table.

        :param floor: the lowest table fence that the witness accepts.
        """
        with self._lock:
            self._table_floor = max(self._table_floor, floor)

    def give_up(self, upstream_id: str) -> None:
        """Stop asking for an upstream.

        :param upstream_id: the upstream.
        """
        with self._lock:
            self._given_up[upstream_id] = self._clock.now()

    def resume(self, upstream_id: str) -> None:
        """Ask for an upstream again.

        :param upstream_id: the upstream.
        """
        with self._lock:
            self._given_up.pop(upstream_id, None)

    def newly_given_up(self) -> list[str]:
        """Return the upstreams that witnesses may still count as held by this dispatcher."""
        oldest = self._clock.now() - ASSENT_LAPSE_S
        with self._lock:
            return sorted(
                name for name, given_up_at in self._given_up.items() if given_up_at > oldest
            )

    def _wants(self, table: Table, row: UpstreamRow) -> bool:
        upstream_id = row.upstream_id
        if upstream_id in self._given_up:
            return False
        if self._ledger.holds(upstream_id):
            self._contending_since.pop(upstream_id, None)
            return True
        if self._instance_id not in row.dispatchers or table.fence < self._table_floor:
            return False
        position = row.dispatchers.index(self._instance_id)
        return position == 0 or self._contends(table, upstream_id, position)

    def _contends(self, table: Table, upstream_id: str, position: int) -> bool:
        now = self._clock.now()
        if now < self._backs_off_until.get(upstream_id, now):
            return False
        is_witness = any(self._boot_id in members for members in table.witness_sets)
        if is_witness and now < self._free_from(upstream_id) + position * TAKEOVER_STEP_S:
            self._contending_since.pop(upstream_id, None)
            return False
        since = self._contending_since.setdefault(upstream_id, now)
        if now - since <= CONTENTION_S:
            return True
        del self._contending_since[upstream_id]
        backoff_s = CONTENTION_BACKOFF_S if is_witness else PROBE_BACKOFF_S
        self._backs_off_until[upstream_id] = now + backoff_s + position * TAKEOVER_STEP_S
        return False

    def _free_from(self, upstream_id: str) -> float:
        """Return since when this process's witness knows of no other sender."""
        holder = self._witness.holder_of(upstream_id)
        if holder is None:
            return self._witness.speaks_from
        if holder.is_dispatcher(self._instance_id, self._boot_id):
            return 0.0
        return holder.lapses_at
