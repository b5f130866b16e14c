"""Asks the witnesses for assent, one thread for each witness."""

import itertools
import threading
from collections.abc import Callable

from foxtailshunt.errors import PeerUnreachableError, ResultCode
from foxtailshunt.membership import View
from foxtailshunt.ownership._periods import ASSENT_INTERVAL_S, ASSENT_TIMEOUT_S
from foxtailshunt.ownership._records import Fence, ProcessRef, Table, UpstreamRow
from foxtailshunt.ownership.authority._assent_ledger import AssentLedger
from foxtailshunt.ownership.authority._candidacy import Candidacy
from foxtailshunt.ownership.authority._messages import fence_from_message, fence_to_message
from foxtailshunt.ownership.authority._witness import Witness
from foxtailshunt.protocol import AssentItem, AssentReply, AssentRequest, ClientPool
from foxtailshunt.telemetry import Metrics, log_state_change, log_thread_error
from foxtailshunt.timing import Clock

#: Sends a request to a witness and returns its reply; raises PeerUnreachableError.
AssentCall = Callable[[ProcessRef, AssentRequest], AssentReply]


class AssentCaller:
    """Calls witnesses: the own one in the process, others over the inner protocol.

    :param witness: this process's own witness.
    :param boot_id: its boot id.
    :param clients: connections to dispatchers.
    """

    def __init__(self, witness: Witness, boot_id: str, clients: ClientPool) -> None:
        self._witness = witness
        self._boot_id = boot_id
        self._clients = clients

    def __call__(self, ref: ProcessRef, req: AssentRequest) -> AssentReply:
        """Send one request.

        :param ref: the witness.
        :param req: the request.
        :raises PeerUnreachableError: the witness did not answer in time.
        """
        if ref.boot_id == self._boot_id:
            return self._witness.assent(req)
        return self._clients.call(ref.address, "assent", req, ASSENT_TIMEOUT_S)


class AssentAsker:
    """Makes requests for assent and counts the replies; used by every witness's thread.

    :param view: the newest table.
    :param zone: the availability zone.
    :param instance_id: this instance.
    :param boot_id: this dispatcher's boot id.
    :param ledger: counts assents.
    :param candidacy: chooses what to ask for.
    :param call: calls a witness.
    :param clock: a monotonic clock.
    :param metrics: where replies are counted.
    """

    def __init__(
        self,
        view: View,
        zone: str,
        instance_id: str,
        boot_id: str,
        ledger: AssentLedger,
        candidacy: Candidacy,
        call: AssentCall,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._view = view
        self._zone = zone
        self._instance_id = instance_id
        self._boot_id = boot_id
        self._ledger = ledger
        self._candidacy = candidacy
        self._call = call
        self._clock = clock
        self._metrics = metrics
        self._sequence = itertools.count(1)

    def ask(self, ref: ProcessRef) -> list[str]:
        """Ask one witness for everything wanted now and count its reply.

        :param ref: the witness.
        :returns: the upstreams that this dispatcher may send to only since the reply.
        """
        # Read before anything else: the assents count from here, and a later drop voids them.
        sent_at = self._clock.now()
        table = self._view.table(self._zone)
        released = self._candidacy.newly_given_up()
        rows = self._candidacy.wanted_rows()
        if table is None or not (rows or released):
            return []
        try:
            reply = self._call(ref, self._make_request(ref, table, rows, released))
        except PeerUnreachableError:
            self._count("unreachable")
            return []
        self._count(ResultCode(reply.code).name)
        if reply.code == ResultCode.STALE_FENCE:
            self._candidacy.note_table_floor(fence_from_message(reply.table_fence))
        if reply.code != ResultCode.ACCEPTED:
            return []
        fences = {row.upstream_id: row.fence for row in rows}
        return self._ledger.record(
            ref.boot_id, sent_at, fences, reply.granted, reply.previous_holders
        )

    def _make_request(
        self, ref: ProcessRef, table: Table, rows: list[UpstreamRow], released: list[str]
    ) -> AssentRequest:
        return AssentRequest(
            zone=self._zone,
            dispatcher_id=self._instance_id,
            dispatcher_boot_id=self._boot_id,
            witness_boot_id=ref.boot_id,
            table_fence=fence_to_message(table.fence),
            items=[AssentItem(row.upstream_id, fence_to_message(row.fence)) for row in rows],
            sequence=next(self._sequence),
            released=released,
        )

    def _count(self, outcome: str) -> None:
        self._metrics.count(
            "foxtailshunt_assent_requests_total", "Requests for assent.", {"outcome": outcome}
        )


class AssentKeeper:
    """Keeps the assents for this dispatcher's upstreams in force, one thread for each witness.

    :param view: its newest table names the witnesses.
    :param zone: the availability zone.
    :param asker: asks one witness.
    :param ledger: counts the assents.
    :param on_gain: called with an upstream that this dispatcher has become the only sender for;
        must not block.
    """

    def __init__(
        self,
        view: View,
        zone: str,
        asker: AssentAsker,
        ledger: AssentLedger,
        on_gain: Callable[[str], None],
    ) -> None:
        self._view = view
        self._zone = zone
        self._asker = asker
        self._ledger = ledger
        self._on_gain = on_gain
        self._lock = threading.Lock()
        self._stopping = False
        self._threads: dict[str, _WitnessThread] = {}
        self._table_fence: Fence | None = None

    def start(self) -> None:
        """Start asking and follow the newest table."""
        self._view.subscribe(self._take_table)
        self._take_table()

    def stop(self) -> None:
        """Stop asking; what was assented to lapses."""
        with self._lock:
            self._stopping = True
            threads = list(self._threads.values())
            self._threads.clear()
        for thread in threads:
            thread.stop()
        for thread in threads:
            thread.join()

    def wake(self) -> None:
        """Ask every witness at once."""
        with self._lock:
            threads = list(self._threads.values())
        for thread in threads:
            thread.wake()

    def _take_table(self) -> None:
        table = self._view.table(self._zone)
        if table is None:
            return
        with self._lock:
            if self._stopping or table.fence == self._table_fence:
                return
            self._table_fence = table.fence
            self._ledger.note_table()
            self._update_threads(table)
        self.wake()

    def _update_threads(self, table: Table) -> None:
        wanted = {boot_id for members in table.witness_sets for boot_id in members}
        refs = {ref.boot_id: ref for ref in table.dispatchers if ref.boot_id in wanted}
        for boot_id in self._threads.keys() - refs.keys():
            self._threads.pop(boot_id).stop()
        for boot_id in refs.keys() - self._threads.keys():
            thread = _WitnessThread(refs[boot_id], self._asker, self._on_gain)
            self._threads[boot_id] = thread
            thread.start()


class _WitnessThread:
    def __init__(self, ref: ProcessRef, asker: AssentAsker, on_gain: Callable[[str], None]) -> None:
        self._ref = ref
        self._asker = asker
        self._on_gain = on_gain
        self._stopping = False
        self._wakeup = threading.Event()
        self._thread = threading.Thread(target=self._run, name="assent", daemon=True)

    def start(self) -> None:
        self._thread.start()

    def stop(self) -> None:
        self._stopping = True
        self._wakeup.set()

    def join(self) -> None:
        self._thread.join()

    def wake(self) -> None:
        self._wakeup.set()

    def _run(self) -> None:
        while not self._stopping:
            self._wakeup.clear()
            try:
                self._ask()
            except Exception as exc:
                # A thread that ended would leave this dispatcher without the witness for good.
                log_thread_error("assent", exc)
            self._wakeup.wait(ASSENT_INTERVAL_S)

    def _ask(self) -> None:
        for upstream_id in self._asker.ask(self._ref):
            log_state_change("assent.gained", upstream=upstream_id)
            self._on_gain(upstream_id)
