"""The parts that keep this dispatcher's right to send, joined together."""

from collections.abc import Callable

from foxtailshunt.dispatch import DispatchService
from foxtailshunt.dispatcher._memory_pulls import MemoryPulls
from foxtailshunt.membership import View
from foxtailshunt.ownership.authority import (
    AssentAsker,
    AssentCaller,
    AssentKeeper,
    AssentLedger,
    Candidacy,
    GrantBook,
    GrantKeeper,
    GrantRenewer,
    Handover,
    Reporter,
    Witness,
)
from foxtailshunt.protocol import ClientPool, UpstreamReport
from foxtailshunt.protocol.gen import Dispatcher
from foxtailshunt.telemetry import Metrics
from foxtailshunt.timing import Clock
from foxtailshunt.upstream import UpstreamDirectory


class Authority:
    """Witness, assents and grants of one dispatcher.

    :param view: configuration and tables.
    :param zone: the availability zone.
    :param instance_id: this instance.
    :param boot_id: this process's boot id.
    :param clock: a monotonic clock.
    :param metrics: the metrics of the process.
    """

    def __init__(
        self,
        view: View,
        zone: str,
        instance_id: str,
        boot_id: str,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._view = view
        self._boot_id = boot_id
        self._zone = zone
        self._instance_id = instance_id
        self._clock = clock
        self._metrics = metrics
        self.witness = Witness(boot_id, zone, clock, metrics)
        self.ledger = AssentLedger(view, zone, clock)
        self.book = GrantBook(view, zone, instance_id, self.ledger, clock)
        self._clients = ClientPool(Dispatcher, max_idle=1)
        self._candidacy = Candidacy(
            view, zone, instance_id, boot_id, self.ledger, self.witness, clock
        )
        asker = AssentAsker(
            view,
            zone,
            instance_id,
            boot_id,
            self.ledger,
            self._candidacy,
            AssentCaller(self.witness, boot_id, self._clients),
            clock,
            metrics,
        )
        self._assents = AssentKeeper(view, zone, asker, self.ledger, self._wake_grant)
        self.witness.subscribe(self._assents.wake)

    def connect(
        self,
        dispatch: DispatchService,
        upstreams: UpstreamDirectory,
        on_report_change: Callable[[], None],
    ) -> None:
        """Make the parts that need the work in progress; called once, before :meth:`start`.

        :param dispatch: what works under this right to send.
        :param upstreams: the clients.
        :param on_report_change: called when the assigner should hear of a change at once.
        """
        renewer = GrantRenewer(
            self._view,
            self._instance_id,
            self.ledger,
            self.book,
            upstreams,
            dispatch,
            self._clock,
            self._metrics,
        )
        self._reporter = Reporter(self._view, self.ledger, self.book, dispatch, self._clock)
        self._handover = Handover(
            self._instance_id,
            self.ledger,
            self._candidacy,
            self.book,
            dispatch,
            self._clock,
            dispatch.memory_transfer,
        )
        self._pulls = MemoryPulls(
            self._view,
            self._zone,
            self._boot_id,
            self.ledger,
            dispatch,
            self._clients,
            self._metrics,
        )
        self._grants = GrantKeeper(
            self._view,
            self._zone,
            renewer,
            self.book,
            self._handover,
            self._reporter,
            on_report_change,
            dispatch.note_warming,
            self._assents.wake,
        )

    def start(self) -> None:
        """Start asking for assents and renewing grants."""
        self._pulls.start()
        self._assents.start()
        self._grants.start()

    def begin_handover(self) -> None:
        """Start to hand all upstreams over."""
        self._handover.begin_stop()
        self._grants.wake_all()

    def holds_nothing(self) -> bool:
        """Return whether this dispatcher is the sender for no upstream."""
        return not self.ledger.held_upstreams()

    def stop(self) -> None:
        """Stop asking and renewing."""
        self._grants.stop()
        self._assents.stop()
        self._clients.close()

    def reports(self) -> list[UpstreamReport]:
        """Return the reports for the assigner."""
        return self._reporter.reports()

    def dump(self) -> dict[str, object]:
        """Return the state for operators."""
        return {"witness": self.witness.dump(), "upstreams": self._dump_upstreams()}

    def _wake_grant(self, upstream_id: str) -> None:
        self._pulls.note_gain(upstream_id)
        self._grants.wake(upstream_id)

    def _dump_upstreams(self) -> dict[str, object]:
        table = self._view.table(self._zone)
        upstream_ids = sorted(table.rows) if table else []
        return {upstream_id: self._dump_upstream(upstream_id) for upstream_id in upstream_ids}

    def _dump_upstream(self, upstream_id: str) -> dict[str, object]:
        state = self.book.state(upstream_id)
        granted = state.granted
        now = self._clock.now()
        return {
            "holds_assent": self.ledger.holds(upstream_id),
            "granted_fence": str(granted.row.fence) if granted else None,
            "granted_for_ms": round((granted.ends_at - now) * 1000) if granted else None,
            "confirmed_fence": str(state.confirmed_fence) if state.confirmed_fence else None,
            "reachable": state.reachable,
            "draining": state.draining,
            "warming": state.warming,
        }
