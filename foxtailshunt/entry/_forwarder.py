"""Sends a call to the dispatcher of its key's upstream."""

from foxtailshunt.entry._call import Call
from foxtailshunt.entry._entry_metrics import EntryMetrics
from foxtailshunt.entry._retry_budget import RetryBudget
from foxtailshunt.entry._routing_table import Route, RoutingTable
from foxtailshunt.errors import (
    Family,
    FoxtailshuntError,
    PeerUnreachableError,
    ResultCode,
    family_of,
)
from foxtailshunt.membership import View
from foxtailshunt.ownership import Address
from foxtailshunt.protocol import (
    ClientPool,
    ExecuteReply,
    ExecuteRequest,
    FenceMessage,
    Patience,
    SilentPeerError,
)
from foxtailshunt.timing import Clock

#: Time that a dispatcher's answer may take beyond the deadline, in seconds.
REPLY_MARGIN_S = 0.25
#: Idle time after which a connection is not used for a request, in seconds.
TRUSTED_IDLE_S = 2.0
#: Share of the remaining time after which an idempotent request on a used connection, which may
#: have gone silent, is sent again on a new one if the retry budget allows it.
DOUBTED_SHARE = 0.4

_MIN_REMAINING_S = 0.005
_FIRST_PAUSE_S = 0.01
_LONGEST_PAUSE_S = 0.2
_MILLISECONDS = 1000

_CALLER_CODES = frozenset(
    int(code) for code in ResultCode if family_of(code) is not Family.INTERNAL
)
_REROUTED = {ResultCode.NOT_DISPATCHER, ResultCode.NO_OWNER, ResultCode.STOPPING}


class Forwarder:
    """Finds the dispatcher of a call and has it execute the call.

    What is proved not run is tried again inside the deadline: at the upstream's next dispatcher,
    then whenever the routing table changes. A call that may have run is sent again only if its
    operation is idempotent and the retry budget allows it.

    :param view: tells when tables change.
    :param routes: the routing table.
    :param pool: connections to dispatchers.
    :param clock: the clock of deadlines.
    :param metrics: where retries are counted.
    """

    def __init__(
        self,
        view: View,
        routes: RoutingTable,
        pool: ClientPool,
        clock: Clock,
        metrics: EntryMetrics,
    ) -> None:
        self._view = view
        self._routes = routes
        self._pool = pool
        self._clock = clock
        self._metrics = metrics
        self._accepting: dict[str, str] = {}
        self._budgets: dict[tuple[str, float], RetryBudget] = {}

    def execute(self, call: Call) -> ExecuteReply:
        """Return the reply of the dispatcher that took the call.

        :param call: the call.
        :raises FoxtailshuntError: no dispatcher took it, or its effect is unknown.
        """
        budget = self._budget_of(call)
        progress = _Progress(call)
        pause_s = _FIRST_PAUSE_S
        while True:
            change_number = self._view.change_number
            for route, instance, address in self._targets(call):
                reply = self._attempt(call, route, address, progress, budget)
                if reply is not None:
                    self._accepting[route.upstream_id] = instance
                    budget.add_success()
                    return reply
                self._accepting.pop(route.upstream_id, None)
            self._pause(call, change_number, pause_s, progress)
            pause_s = min(_LONGEST_PAUSE_S, pause_s * 2)

    def _targets(self, call: Call) -> list[tuple[Route, str, Address]]:
        service = call.match.service.name
        return [
            (route, instance, address)
            for route in self._routes.find(service, call.slot, call.match.key)
            for instance, address in self._ordered(route)
        ]

    def _ordered(self, route: Route) -> tuple[tuple[str, Address], ...]:
        accepting = self._accepting.get(route.upstream_id)
        dispatchers = route.dispatchers
        if accepting is None or not dispatchers or dispatchers[0][0] == accepting:
            return dispatchers
        return tuple(sorted(dispatchers, key=lambda item: item[0] != accepting))

    def _attempt(
        self, call: Call, route: Route, address: Address, progress: "_Progress", budget: RetryBudget
    ) -> ExecuteReply | None:
        """Return the dispatcher's final reply, or None if another attempt may follow."""
        remaining_s = call.deadline - self._clock.now()
        if remaining_s < _MIN_REMAINING_S or call.hung_up:
            raise progress.conclusion()
        try:
            reply = self._send(call, route, address, remaining_s, budget)
        except PeerUnreachableError as exc:
            self._pool.forget(address)
            if exc.sent:
                self._take_lost(call, progress, budget, exc)
            else:
                progress.not_run(ResultCode.DISPATCHER_UNREACHABLE, "a dispatcher is unreachable")
            return None
        code = ResultCode(reply.code)
        if code in _REROUTED:
            self._metrics.rerouted(code)
            progress.not_run(code, reply.detail)
            return None
        if progress.may_have_run and family_of(code) is Family.NOT_RUN:
            raise progress.conclusion()
        return reply

    def _send(
        self, call: Call, route: Route, address: Address, remaining_s: float, budget: RetryBudget
    ) -> ExecuteReply:
        req = _make_request(call, route, remaining_s)
        patience = None
        if call.match.operation.idempotent:
            patience = Patience(remaining_s * DOUBTED_SHARE, budget.take)
        call.upstream_id = route.upstream_id
        call.dispatcher = address
        try:
            return self._pool.call(
                address,
                "execute",
                req,
                remaining_s + REPLY_MARGIN_S,
                max_idle_s=TRUSTED_IDLE_S,
                accepts=lambda reply: _answers(reply, call.request_id),
                patience=patience,
            )
        finally:
            call.dispatcher = None

    def _take_lost(
        self, call: Call, progress: "_Progress", budget: RetryBudget, exc: PeerUnreachableError
    ) -> None:
        timed_out = self._clock.now() >= call.deadline
        code = ResultCode.DEADLINE_EXCEEDED if timed_out else exc.code
        progress.unknown(code, "the dispatcher's answer did not arrive")
        may_retry = call.match.operation.idempotent and not timed_out
        was_taken = isinstance(exc, SilentPeerError)
        if not may_retry or not (was_taken or budget.take()):
            raise progress.conclusion()
        call.attempt += 1
        self._metrics.retried(call.match.service.name)

    def _pause(self, call: Call, change_number: int, pause_s: float, progress: "_Progress") -> None:
        remaining_s = call.deadline - self._clock.now()
        if remaining_s < _MIN_REMAINING_S or call.hung_up:
            raise progress.conclusion()
        self._view.wait_for_change(change_number, min(pause_s, remaining_s))

    def _budget_of(self, call: Call) -> RetryBudget:
        service = call.match.service
        key = (service.name, service.retry_budget)
        budget = self._budgets.get(key)
        if budget is None:
            budget = self._budgets.setdefault(key, RetryBudget(service.retry_budget))
        return budget


class _Progress:
    """What is known of a call's effect after the attempts so far."""

    def __init__(self, call: Call) -> None:
        self._call = call
        self._not_run = FoxtailshuntError(ResultCode.NO_OWNER, "no upstream owns the key now")
        self._unknown: FoxtailshuntError | None = None

    @property
    def may_have_run(self) -> bool:
        return self._unknown is not None

    def not_run(self, code: ResultCode, detail: str) -> None:
        self._not_run = FoxtailshuntError(code, detail)

    def unknown(self, code: ResultCode, detail: str) -> None:
        self._unknown = FoxtailshuntError(code, detail)

    def conclusion(self) -> FoxtailshuntError:
        if self._unknown is not None:
            return self._unknown
        if self._call.hung_up:
            return FoxtailshuntError(ResultCode.CANCELLED, "the caller closed its connection")
        return self._not_run


def _make_request(call: Call, route: Route, remaining_s: float) -> ExecuteRequest:
    operation = call.match.operation
    fence = route.row.fence
    return ExecuteRequest(
        request_id=call.request_id,
        service_name=call.match.service.name,
        operation=operation.name,
        rank=operation.rank.value,
        key=call.match.key,
        slot=call.slot,
        upstream_id=route.upstream_id,
        fence=FenceMessage(fence.term, fence.version),
        attempt=call.attempt,
        remaining_ms=int(remaining_s * _MILLISECONDS),
        method=call.method,
        target=call.target,
        headers=call.headers,
        body=call.body,
        drawn_by_entry=call.drawn_by_entry,
    )


def _answers(reply: ExecuteReply, request_id: str) -> bool:
    """Return whether a reply is whole and answers a request."""
    if reply.request_id != request_id or reply.code not in _CALLER_CODES:
        return False
    if family_of(ResultCode(reply.code)) is Family.RAN:
        return None not in (reply.status, reply.headers, reply.body)
    return True
