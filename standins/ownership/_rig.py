"""The parts of one dispatcher's right to send, without threads."""

from collections.abc import Callable

from foxtailshunt.membership import View
from foxtailshunt.ownership import ProcessRef
from foxtailshunt.ownership.authority import (
    AssentAsker,
    AssentLedger,
    Candidacy,
    GrantBook,
    GrantRenewer,
    Handover,
    Reporter,
    Witness,
)
from foxtailshunt.ownership.authority._assents import AssentCall
from foxtailshunt.ownership.authority._grant_renewer import ClientSource
from foxtailshunt.telemetry import Metrics
from foxtailshunt.timing import Clock
from standins.ownership._documents import ZONE
from standins.ownership._fakes import FakeLoad

#: Replaces the counting of assents in a test that leaves a rule out.
LedgerFactory = Callable[[View, str, Clock], AssentLedger]


class DispatcherRig:
    """One dispatcher; its boot id is its instance id with the number of its start.

    :param instance_id: the instance.
    :param start_number: counts the starts of the process.
    :param clock: its clock.
    :param call: calls a witness.
    :param upstreams: the clients.
    :param make_ledger: makes the assent ledger.
    """

    def __init__(
        self,
        instance_id: str,
        start_number: int,
        clock: Clock,
        call: AssentCall,
        upstreams: ClientSource,
        make_ledger: LedgerFactory = AssentLedger,
    ) -> None:
        self.instance_id = instance_id
        self.boot_id = f"{instance_id}/{start_number}"
        self.ref = ProcessRef(instance_id, ("127.0.0.1", 1), self.boot_id)
        self.clock = clock
        self.load = FakeLoad()
        self.metrics = Metrics()
        self.view = View(self.metrics)
        self.witness = Witness(self.boot_id, ZONE, clock, self.metrics)
        self.ledger = make_ledger(self.view, ZONE, clock)
        self.candidacy = Candidacy(
            self.view, ZONE, instance_id, self.boot_id, self.ledger, self.witness, clock
        )
        self.asker = AssentAsker(
            self.view,
            ZONE,
            instance_id,
            self.boot_id,
            self.ledger,
            self.candidacy,
            call,
            clock,
            self.metrics,
        )
        self.book = GrantBook(self.view, ZONE, instance_id, self.ledger, clock)
        self.renewer = GrantRenewer(
            self.view,
            instance_id,
            self.ledger,
            self.book,
            upstreams,
            self.load,
            clock,
            self.metrics,
        )
        self.reporter = Reporter(self.view, self.ledger, self.book, self.load, clock)
        self.handover = Handover(
            instance_id, self.ledger, self.candidacy, self.book, self.load, clock
        )
        self.view.subscribe(self.ledger.note_table)
