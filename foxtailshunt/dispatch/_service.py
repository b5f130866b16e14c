"""The dispatch service: what entries ask a dispatcher for."""

from foxtailshunt.config import Configuration, Operation, Rank
from foxtailshunt.dispatch._attempt_runner import AttemptRunner, ClientSource
from foxtailshunt.dispatch._call import Call
from foxtailshunt.dispatch._canceller import Canceller
from foxtailshunt.dispatch._dispatch_metrics import DispatchMetrics
from foxtailshunt.dispatch._dump import dump_dispatch
from foxtailshunt.dispatch._in_progress import InProgress
from foxtailshunt.dispatch._memory_transfer import MemoryTransfer
from foxtailshunt.dispatch._outcome import Outcome
from foxtailshunt.dispatch._repeat_guard import RepeatGuard
from foxtailshunt.dispatch._request_id import issued_at
from foxtailshunt.dispatch._request_memory import RequestMemory
from foxtailshunt.dispatch._sender import Sender
from foxtailshunt.dispatch._turn import Turn, TurnState
from foxtailshunt.dispatch._upstream_states import UpstreamStates
from foxtailshunt.errors import ResultCode
from foxtailshunt.membership import View
from foxtailshunt.ownership import SendRight, UpstreamLoad
from foxtailshunt.protocol import CancelReply, CancelRequest, ExecuteReply, ExecuteRequest, Header
from foxtailshunt.telemetry import Metrics
from foxtailshunt.timing import Clock, TimerService

#: Time between two refreshes of queues, limits and memory eras, in seconds.
_REFRESH_INTERVAL_S = 0.02
#: Time between two updates of gauges, in seconds.
_GAUGE_INTERVAL_S = 1.0
#: Most request ids remembered.
_MAX_MEMORY_COUNT = 100_000
#: Size of the request memory above which it takes no new id, in bytes.
_MAX_MEMORY_BYTES = 32 * 1024 * 1024
_UNKNOWN_LABEL = "unknown"
_MS_PER_S = 1000
_NO_LOAD = UpstreamLoad(0.0, {}, 0, 0)


class DispatchService:
    """Runs requests at the upstreams that this process dispatches for.

    Each call runs on its caller's thread: it is validated, meets the memory of request ids, waits
    for its turn and is sent.

    :param view: documents in force.
    :param send_right: tells whether this dispatcher may send.
    :param upstreams: the clients of the upstreams.
    :param clock: the clock.
    :param metrics: the metrics of the process.
    :param timer: refreshes queues and gauges.
    :param zone: the dispatcher's availability zone.
    """

    def __init__(
        self,
        view: View,
        send_right: SendRight,
        upstreams: ClientSource,
        clock: Clock,
        metrics: Metrics,
        timer: TimerService,
        zone: str,
    ) -> None:
        self._view = view
        self._clock = clock
        self._metrics = DispatchMetrics(metrics)
        self._states = UpstreamStates(view, send_right, clock, zone)
        self._memory = RequestMemory(clock, _MAX_MEMORY_COUNT, _MAX_MEMORY_BYTES)
        #: Hands the memory over and takes that of earlier senders.
        self.memory_transfer = MemoryTransfer(view, self._states, self._memory, clock, zone)
        self._guard = RepeatGuard(self._memory, clock)
        attempts = AttemptRunner(send_right, upstreams, clock, self._metrics)
        self._sender = Sender(send_right, attempts, clock, self._metrics)
        self._canceller = Canceller(self._states, attempts)
        self._in_progress = InProgress()
        timer.subscribe(_REFRESH_INTERVAL_S, self.refresh)
        timer.subscribe(_GAUGE_INTERVAL_S, self.publish_gauges)

    def execute(self, req: ExecuteRequest) -> ExecuteReply:
        """Run a request and return its reply.

        :param req: the request.
        """
        if not self._in_progress.enter():
            outcome = Outcome(ResultCode.STOPPING, "the dispatcher is stopping")
            return self._reply(req, outcome)
        try:
            return self._reply(req, self._execute(req))
        finally:
            self._in_progress.leave()

    def cancel(self, req: CancelRequest) -> CancelReply:
        """Give up a request: withdraw it from the queue, or cancel it at its upstream.

        The code tells what is known of it: ``CANCELLED`` if it was not run, ``OK`` if it ran,
        ``STILL_RUNNING`` if it is at the upstream, ``MEMORY_TOO_YOUNG`` if it is not known here.

        :param req: the cancellation.
        """
        code = self._canceller.cancel(req.upstream_id, req.request_id)
        return CancelReply(request_id=req.request_id, code=int(code))

    def load_of(self, upstream_id: str) -> UpstreamLoad:
        """Return the load of an upstream; zeros if nothing was sent to it.

        :param upstream_id: the upstream.
        """
        state = self._states.get(upstream_id)
        return state.load() if state else _NO_LOAD

    def in_flight_keys(self, upstream_id: str) -> frozenset[tuple[int, str]]:
        """Return slot and key of each request now at an upstream.

        :param upstream_id: the upstream.
        """
        state = self._states.get(upstream_id)
        turns = state.queue.held() if state else ()
        return frozenset((turn.slot, turn.key) for turn in turns)

    def note_warming(self, upstream_id: str, warming: bool) -> None:
        """Take in what an upstream's answer to a grant says; it starts slowly once it warms up.

        :param upstream_id: the upstream.
        :param warming: whether it is warming up.
        """
        state = self._states.find(upstream_id)
        if state is not None:
            state.note_warming(warming)

    def begin_pull(self, upstream_id: str) -> None:
        """Let requests older than the memory wait until :meth:`end_pull`, within bounds.

        :param upstream_id: an upstream whose earlier sender is asked for its memory.
        """
        state = self._states.find(upstream_id)
        if state is not None:
            state.pulls.begin()

    def end_pull(self, upstream_id: str) -> None:
        """Let them go on.

        :param upstream_id: the upstream.
        """
        state = self._states.find(upstream_id)
        if state is not None:
            state.pulls.end()

    def end_memory(self, upstream_id: str) -> None:
        """Start the memory of an upstream's requests anew.

        :param upstream_id: the upstream.
        """
        state = self._states.get(upstream_id)
        if state is not None:
            state.end_memory()

    def drain(self, grace_s: float) -> bool:
        """Refuse new requests and wait for those in progress; the last ones waiting are rejected.

        :param grace_s: longest wait in seconds.
        :returns: True if all ended.
        """
        if self._in_progress.stop(grace_s):
            return True
        for state in self._states.all():
            state.queue.withdraw_where(lambda _: ResultCode.STOPPING)
        return False

    def dump(self) -> dict[str, object]:
        """Return the state for operators."""
        return dump_dispatch(self._states.all(), self._memory, self._in_progress)

    def refresh(self) -> None:
        """Do what the passing of time asks for; called by the timer."""
        self._states.adopt_held()
        for state in self._states.all():
            state.refresh()

    def publish_gauges(self) -> None:
        """Set the gauges; called by the timer."""
        for state in self._states.all():
            for rank in Rank:
                self._metrics.set_queue(state.upstream_id, rank, state.queue.queued(rank))
            self._metrics.set_in_flight(state.upstream_id, state.queue.in_flight())
        self._metrics.set_memory(self._memory.count, self._memory.size_bytes)

    def _execute(self, req: ExecuteRequest) -> Outcome:
        cfg = self._view.cfg
        if cfg is None:
            return Outcome(ResultCode.NO_CONFIG, "the dispatcher has no configuration yet")
        call = self._validate(req, cfg)
        if isinstance(call, Outcome):
            return call
        if call.issued_at is None:
            return self._run(call, cfg)
        refusal = self._guard.refusal(call.issued_at, cfg)
        if refusal is not None:
            return refusal
        return self._guard.run_once(call, cfg, lambda: self._run(call, cfg))

    def _run(self, call: Call, cfg: Configuration) -> Outcome:
        turn = call.turn
        call.state.new_turn(turn, call.operation.name)
        try:
            call.state.queue.wait(turn)
            if turn.state is TurnState.REJECTED:
                return Outcome(turn.code or ResultCode.QUEUE_FULL, "rejected in the queue")
            self._metrics.observe_wait(
                call.service.name, turn.rank, turn.granted_at - turn.joined_at
            )
            return self._sender.send(call, cfg.request_clock_skew_s)
        finally:
            call.state.forget_turn(turn)

    def _validate(self, req: ExecuteRequest, cfg: Configuration) -> Call | Outcome:
        service = cfg.services.get(req.service_name)
        operation = _find_operation(service.operations, req.operation) if service else None
        if service is None or operation is None:
            return Outcome(ResultCode.NO_ROUTE, "the operation is not configured here")
        if req.remaining_ms <= 0:
            return Outcome(ResultCode.TOO_LATE, "no time left")
        state = self._states.find(req.upstream_id)
        if state is None:
            return Outcome(ResultCode.NO_OWNER, "the table has no such upstream")
        issued = None if operation.idempotent else issued_at(req.request_id)
        if issued is None and not operation.idempotent:
            return Outcome(ResultCode.BAD_REQUEST, "the request id must be a UUIDv7")
        deadline_at = self._clock.now() + req.remaining_ms / _MS_PER_S
        turn = Turn(req.request_id, operation.rank, req.slot, req.key, deadline_at)
        refusal = state.refusal(turn)
        if refusal is not None:
            return Outcome(refusal, "the upstream does not own the key")
        headers = tuple((header.name, header.value) for header in req.headers)
        return Call(req, service, operation, state, turn, issued, headers)

    def _reply(self, req: ExecuteRequest, outcome: Outcome) -> ExecuteReply:
        self._count(req, outcome)
        return ExecuteReply(
            request_id=req.request_id,
            code=int(outcome.code),
            status=outcome.status,
            headers=[Header(name, value) for name, value in outcome.headers],
            body=outcome.body,
            upstream_id=req.upstream_id,
            detail=outcome.detail,
        )

    def _count(self, req: ExecuteRequest, outcome: Outcome) -> None:
        cfg = self._view.cfg
        service = cfg.services.get(req.service_name) if cfg else None
        operation = _find_operation(service.operations, req.operation) if service else None
        if service is None or operation is None:
            self._metrics.count_request(_UNKNOWN_LABEL, _UNKNOWN_LABEL, outcome.code)
        else:
            self._metrics.count_request(service.name, operation.rank.value, outcome.code)


def _find_operation(operations: tuple[Operation, ...], name: str) -> Operation | None:
    return next((each for each in operations if each.name == name), None)
