"""Reports on upstreams for the assigner."""

from dataclasses import dataclass

from foxtailshunt.membership import View
from foxtailshunt.ownership._periods import GRANT_TIMEOUT_S
from foxtailshunt.ownership._records import Fence, UpstreamRow
from foxtailshunt.ownership._send_right import LoadSource
from foxtailshunt.ownership.authority._assent_ledger import AssentLedger
from foxtailshunt.ownership.authority._grant_book import GrantBook
from foxtailshunt.ownership.authority._grant_state import GRANT_LAPSE_S
from foxtailshunt.ownership.authority._messages import fence_to_message
from foxtailshunt.ownership.authority._upstream_terms import terms_of
from foxtailshunt.protocol import UpstreamReport
from foxtailshunt.timing import Clock


@dataclass(frozen=True, slots=True)
class ReportedState:
    """The part of a report that the assigner should hear of at once when it changes."""

    #: The fence of the row that the report speaks of.
    fence: Fence
    #: The highest fence confirmed.
    confirmed_fence: Fence | None
    #: Whether every grant under a lower fence has surely ended.
    lapsed: bool
    #: Whether the upstream can be reached.
    reachable: bool
    #: Whether the upstream asks to be drained.
    draining: bool


class Reporter:
    """Makes reports on the upstreams that this dispatcher is the sender for.

    ``lapsed`` speaks of grants under fences lower than ``fence``, whoever sent them. It needs three
    things: most witnesses refuse lower fences, so none is renewed again; the right to send has been
    held without a break for a grant's whole life, so those of other dispatchers have ended; and so
    have this dispatcher's own.

    :param view: configuration and table.
    :param ledger: the assents.
    :param book: the grants.
    :param load: load of each upstream.
    :param clock: a monotonic clock.
    """

    def __init__(
        self, view: View, ledger: AssentLedger, book: GrantBook, load: LoadSource, clock: Clock
    ) -> None:
        self._view = view
        self._ledger = ledger
        self._book = book
        self._load = load
        self._clock = clock

    def reports(self) -> list[UpstreamReport]:
        """Return a report for each upstream held that was tried at least once."""
        reports = []
        for upstream_id in self._ledger.held_upstreams():
            state = self.state_of(upstream_id)
            if state is not None:
                reports.append(self._report(upstream_id, state))
        return reports

    def state_of(self, upstream_id: str) -> ReportedState | None:
        """Return what a report would say now, or None if there is nothing to report.

        :param upstream_id: the upstream.
        """
        row = self._book.row(upstream_id)
        state = self._book.state(upstream_id)
        if row is None or state.reachable is None or not self._ledger.holds(upstream_id):
            return None
        return ReportedState(
            fence=row.fence,
            confirmed_fence=state.confirmed_fence,
            lapsed=self._is_lapsed(row),
            reachable=state.reachable,
            draining=state.draining,
        )

    def _is_lapsed(self, row: UpstreamRow) -> bool:
        held_since = self._ledger.held_since(row.upstream_id)
        if held_since is None or not self._ledger.holds_fence(row.upstream_id, row.fence):
            return False
        terms = terms_of(self._view.cfg, row)
        state = self._book.state(row.upstream_id)
        ends_at = max(
            held_since + GRANT_LAPSE_S, state.lower_grants_end(row.fence, terms.checks_fences)
        )
        if not terms.checks_fences:
            # The last grant of an earlier dispatcher may have arrived until its timeout, and work
            # goes on after a grant's end.
            ends_at = max(ends_at, held_since + GRANT_TIMEOUT_S + GRANT_LAPSE_S)
            ends_at = max(ends_at, held_since + terms.longest_deadline_s)
            if not self._has_no_work_outside(row):
                return False
        return self._clock.now() > ends_at

    def _has_no_work_outside(self, row: UpstreamRow) -> bool:
        in_flight = self._load.in_flight_keys(row.upstream_id)
        return all(row.owns(slot, key) for slot, key in in_flight)

    def _report(self, upstream_id: str, state: ReportedState) -> UpstreamReport:
        load = self._load.load_of(upstream_id)
        confirmed = state.confirmed_fence
        return UpstreamReport(
            upstream_id=upstream_id,
            confirmed_fence=fence_to_message(confirmed) if confirmed else None,
            lapsed=state.lapsed,
            fence=fence_to_message(state.fence),
            reachable=state.reachable,
            draining=state.draining,
            load=load.load,
            key_load=load.key_load,
            in_flight=load.in_flight,
            queued=load.queued,
        )
