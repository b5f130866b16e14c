"""Asks earlier senders for the request memory of upstreams and slots gained in a planned way."""

import threading
from collections.abc import Callable

from foxtailshunt.dispatch import DispatchService
from foxtailshunt.errors import PeerUnreachableError, ResultCode
from foxtailshunt.membership import View
from foxtailshunt.ownership import Arrival, Fence, ProcessRef
from foxtailshunt.ownership.authority import AssentLedger
from foxtailshunt.protocol import ClientPool, FenceMessage, MemoryReply, MemoryRequest
from foxtailshunt.telemetry import Metrics, log_state_change

#: Longest wait for an earlier sender's answer, in seconds.
_PULL_TIMEOUT_S = 0.3
#: Longest wait until enough witnesses have named the earlier sender, in seconds.
_NAMING_WAIT_S = 0.2
_NAMING_POLL_S = 0.01
#: Most dispatchers of earlier tables whose addresses are kept.
_MAX_REFS = 256


class MemoryPulls:
    """Pulls memory once for each gain; requests older than the memory wait for it meanwhile.

    A gain of an upstream: the dispatcher that a majority of every witness set names as the holder
    before is asked, and its answer counts only if this dispatcher's right was held without a break
    from before the question until after the answer was taken. A gain of slots: the arrival in the
    table names the upstream before, and its sender is asked, which may be this dispatcher.

    :param view: the newest table.
    :param zone: the availability zone.
    :param boot_id: this dispatcher's boot id.
    :param ledger: tells since when a right is held, and who held it before.
    :param dispatch: takes the memory.
    :param clients: connections to dispatchers.
    :param metrics: where results are counted.
    """

    def __init__(
        self,
        view: View,
        zone: str,
        boot_id: str,
        ledger: AssentLedger,
        dispatch: DispatchService,
        clients: ClientPool,
        metrics: Metrics,
    ) -> None:
        self._view = view
        self._zone = zone
        self._boot_id = boot_id
        self._ledger = ledger
        self._dispatch = dispatch
        self._clients = clients
        self._metrics = metrics
        self._lock = threading.Lock()
        self._refs: dict[str, ProcessRef] = {}
        self._arrivals: frozenset[Arrival] = frozenset()

    def start(self) -> None:
        """Follow the newest table."""
        self._view.subscribe(self._take_table)
        self._take_table()

    def note_gain(self, upstream_id: str) -> None:
        """Ask for the memory of an upstream that this dispatcher has become the sender of.

        :param upstream_id: the upstream.
        """
        held_since = self._ledger.last_held_since(upstream_id)
        # Read before the first grant, so that no slot can have left under this right.
        fence = self._dispatch.memory_transfer.row_fence(upstream_id)
        if held_since is None or fence is None:
            return
        if self._ledger.is_predecessor_named(upstream_id):
            self._start(upstream_id, lambda: self._pull_upstream(upstream_id, held_since, fence))

    def _take_table(self) -> None:
        table = self._view.table(self._zone)
        if table is None:
            return
        with self._lock:
            self._note_refs(table.dispatchers)
            new = [each for each in table.arrivals if each not in self._arrivals]
            self._arrivals = frozenset(table.arrivals)
        for arrival in new:
            if self._ledger.holds(arrival.to_upstream_id):
                self._start_arrival(arrival)

    def _note_refs(self, refs: tuple[ProcessRef, ...]) -> None:
        for ref in refs:
            self._refs.pop(ref.boot_id, None)
            self._refs[ref.boot_id] = ref
        while len(self._refs) > _MAX_REFS:
            del self._refs[next(iter(self._refs))]

    def _start_arrival(self, arrival: Arrival) -> None:
        self._start(arrival.to_upstream_id, lambda: self._pull_arrival(arrival))

    def _start(self, upstream_id: str, pull: Callable[[], str]) -> None:
        # Before the grant that requests need, so that they find the pull under way.
        self._dispatch.begin_pull(upstream_id)
        threading.Thread(
            target=self._run, args=(upstream_id, pull), name="memory", daemon=True
        ).start()

    def _run(self, upstream_id: str, pull: Callable[[], str]) -> None:
        result = "failed"
        try:
            result = pull()
        finally:
            self._dispatch.end_pull(upstream_id)
            self._finish(result, upstream_id)

    def _pull_upstream(self, upstream_id: str, held_since: float, fence: Fence) -> str:
        ref = self._find_predecessor(upstream_id)
        table = self._view.table(self._zone)
        if ref is None or table is None:
            return "unnamed"
        sets = [list(members) for members in table.witness_sets]
        reply = self._ask(ref, MemoryRequest(ref.boot_id, upstream_id, sets))
        if isinstance(reply, str):
            return reply
        if self._ledger.held_since(upstream_id) != held_since:
            return "lapsed"
        taken = self._dispatch.memory_transfer.take_over(upstream_id, reply, fence)
        if self._ledger.held_since(upstream_id) != held_since:
            self._dispatch.end_memory(upstream_id)
            return "lapsed"
        return "taken" if taken else "unfit"

    def _find_predecessor(self, upstream_id: str) -> ProcessRef | None:
        waited = threading.Event()
        for _ in range(int(_NAMING_WAIT_S / _NAMING_POLL_S)):
            boot_id = self._ledger.previous_holder(upstream_id)
            if boot_id is not None:
                return self._refs.get(boot_id) if boot_id != self._boot_id else None
            waited.wait(_NAMING_POLL_S)
        return None

    def _pull_arrival(self, arrival: Arrival) -> str:
        if self._dispatch.memory_transfer.take_own_arrival(arrival):
            return "taken"
        fence = FenceMessage(arrival.transit_fence.term, arrival.transit_fence.version)
        result = "unnamed"
        for ref in self._senders_of(arrival.from_upstream_id):
            req = MemoryRequest(
                ref.boot_id, arrival.from_upstream_id, [], fence, sorted(arrival.slots)
            )
            reply = self._ask(ref, req)
            if isinstance(reply, str):
                result = reply
                continue
            taken = self._dispatch.memory_transfer.take_arrival(arrival, reply)
            return "taken" if taken else "unfit"
        return result

    def _senders_of(self, upstream_id: str) -> list[ProcessRef]:
        """Return the first dispatchers of an upstream but this one."""
        table = self._view.table(self._zone)
        row = table.rows.get(upstream_id) if table else None
        if table is None or row is None:
            return []
        refs = {ref.instance_id: ref for ref in table.dispatchers}
        listed = [refs[name] for name in row.dispatchers[:2] if name in refs]
        return [ref for ref in listed if ref.boot_id != self._boot_id]

    def _ask(self, ref: ProcessRef, req: MemoryRequest) -> MemoryReply | str:
        """Return the memory, or the result to be counted."""
        try:
            reply = self._clients.call(ref.address, "export_memory", req, _PULL_TIMEOUT_S)
        except PeerUnreachableError:
            return "unreachable"
        return reply if reply.code == ResultCode.ACCEPTED else "refused"

    def _finish(self, result: str, upstream_id: str) -> None:
        log_state_change("memory.handed_over", upstream=upstream_id, result=result)
        self._metrics.count(
            "foxtailshunt_memory_handovers_total",
            "Request memory asked for after an upstream or slots were gained.",
            {"result": result},
        )
