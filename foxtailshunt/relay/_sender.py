"""Queues and sends requests to the upstreams for which this node is the sender."""

import socket
import threading
import time
from dataclasses import replace

from foxtailshunt.admission import (
    Call,
    LockedPool,
    OverloadPolicy,
    QueueEntry,
    QueueEntryState,
    SlotPools,
)
from foxtailshunt.errors import ResultCode
from foxtailshunt.fleet import FleetView, Member, Upstream
from foxtailshunt.network import caller_disconnected
from foxtailshunt.platform import (
    AttemptResult,
    UpstreamResponse,
    classify_response,
    upstream_request_headers,
)
from foxtailshunt.relay._channel import ChannelError
from foxtailshunt.relay._channel_pool import ChannelPool
from foxtailshunt.relay._cold_upstreams import ColdUpstreams
from foxtailshunt.relay._decision_counts import DecisionCounts
from foxtailshunt.relay._eligible_upstreams import EligibleUpstreams
from foxtailshunt.relay._load_reports import LoadReports
from foxtailshunt.relay._origin_exits import OriginExits
from foxtailshunt.relay._outcome import Outcome
from foxtailshunt.relay._result_recorder import ResultRecorder
from foxtailshunt.relay._sender_outcomes import (
    OWNER_RETRY_AFTER_S,
    failed_outcome,
    refusal_outcome,
    response_outcome,
)
from foxtailshunt.relay._stop_schedule import StopSchedule, stopping_outcome
from foxtailshunt.relay._upstream_groups import UpstreamGroups
from foxtailshunt.routing import RankFloor
from foxtailshunt.telemetry import Metrics, RequestLog
from foxtailshunt.upstreams import (
    LatencyEstimator,
    LeavingUpstreams,
    RequestResult,
    UnreachableUpstreams,
    UpstreamHealth,
    UpstreamPauses,
    summarize_health,
)

#: Time that is reserved for returning the response to the caller, in seconds.
RESPONSE_RESERVE_S = 0.02
#: Interval at which queued requests check whether their caller is still connected, in seconds.
CALLER_CHECK_INTERVAL_S = 0.2
#: Retry-After while all upstreams of a service are evacuated, in seconds; the operator ends that.
EVACUATED_RETRY_AFTER_S = 1.5


class Sender:
    """Queues requests for slots and sends them; safe to use from any thread.

    :param view: the node's view of upstreams, routes and key ownership.
    :param groups: upstream groups of services without keys.
    :param latencies: latency estimates by route and upstream.
    :param me: this node.
    :param metrics: counters and histograms.
    :param log: log of decisions about requests.
    :param stop_schedule: limits requests while the node is stopping; None for no limit.
    :param leaving: remembers upstreams that state that they are leaving; None for an own memory.
    :param origin_exits: exits of the nodes whose requests this one sends; None for an own memory.
    :param warmups: the warm-up of upstreams, and the limit while they are cold; None for no limit.
    :param overload_policy: what is served first and what is refused if capacity is short.
    """

    def __init__(
        self,
        view: FleetView,
        groups: UpstreamGroups,
        latencies: LatencyEstimator,
        me: Member,
        metrics: Metrics,
        log: RequestLog,
        stop_schedule: StopSchedule | None = None,
        leaving: LeavingUpstreams | None = None,
        origin_exits: OriginExits | None = None,
        warmups: ColdUpstreams | None = None,
        overload_policy: OverloadPolicy = OverloadPolicy.BY_SLACK,
    ) -> None:
        self._view = view
        self._latencies = latencies
        self._me = me
        self._log = log
        self._stop_schedule = stop_schedule or StopSchedule()
        self._origin_exits = origin_exits or OriginExits()
        self._pauses = UpstreamPauses()
        self._warmups = warmups or ColdUpstreams()
        self._decisions = DecisionCounts(metrics)
        self._pools = SlotPools(
            latencies,
            me.zone,
            self._pauses,
            overload_policy,
            self._decisions.record,
            self._warmups.limiter,
        )
        self._channels = ChannelPool()
        self._load_reports = LoadReports(latencies)
        self._unreachable = UnreachableUpstreams()
        self._leaving = leaving if leaving is not None else LeavingUpstreams()
        self._eligible = EligibleUpstreams(view, groups, self._leaving)
        self._results = ResultRecorder(latencies, self._leaving, metrics)

    def execute(self, call: Call, caller: socket.socket | None) -> Outcome:
        """Queue a request, send it and return its outcome.

        :param call: the request.
        :param caller: the caller's connection; the request is cancelled if it is closed.
        """
        started = time.monotonic()
        outcome = self._execute(call, caller)
        queued_s = max(0.0, time.monotonic() - started - outcome.upstream_s)
        return replace(outcome, sender=self._me.instance_id, queued_s=queued_s)

    def execute_for_peer(self, call: Call, caller: socket.socket | None) -> Outcome:
        """Queue a request of another node, send it and return its outcome; logs the outcome.

        :param call: the request.
        :param caller: the other node's connection; the request is cancelled if it is closed.
        """
        remaining_s = call.deadline - time.monotonic()
        outcome = self.execute(call, caller)
        self._log.log_decision(
            "request.relayed",
            failed=outcome.code is not ResultCode.OK,
            request_id=call.request_id,
            service=call.service,
            upstream=outcome.upstream_id,
            result=outcome.code.name,
            detail=outcome.detail,
            queued_ms=round(outcome.queued_s * 1000),
            upstream_ms=round(outcome.upstream_s * 1000),
            remaining_ms=round(remaining_s * 1000),
        )
        return outcome

    def _execute(self, call: Call, caller: socket.socket | None) -> Outcome:
        upstreams = self._eligible_upstreams(call)
        if not upstreams:
            is_evacuated = self._eligible.is_service_evacuated(call.service)
            return Outcome(
                ResultCode.NO_OWNER,
                "no upstream accepts new requests",
                retry_after_s=EVACUATED_RETRY_AFTER_S if is_evacuated else OWNER_RETRY_AFTER_S,
            )
        if call.key is not None and self._unreachable.is_backed_off(upstreams[0].upstream_id):
            return Outcome(
                ResultCode.NO_OWNER,
                "the owner was unreachable at the last connection attempt",
                retry_after_s=OWNER_RETRY_AFTER_S,
            )
        if call.key is not None:
            retry_after_s = self._warmups.refused_for_s(upstreams[0], time.monotonic())
            if retry_after_s is not None:
                return Outcome(
                    ResultCode.NO_OWNER,
                    "the owner is cold and gets requests from its sender only",
                    retry_after_s=retry_after_s,
                    upstream_id=upstreams[0].upstream_id,
                )
        locked = self._pools.get(call)
        entry, state_changed = self._new_entry(call)
        with locked.lock:
            locked.update_upstreams(upstreams)
            locked.pool.set_floors(self._floors(call.service))
            refusal = locked.pool.enqueue(entry, time.monotonic())
            if refusal is not None:
                return refusal_outcome(call, refusal, time.monotonic())
            self._assign(locked, call)
        self._wait_for_slot(locked, entry, state_changed, caller)
        if entry.expected_wait_s is not None:
            self._decisions.record_expected_wait(call.rank, entry.expected_wait_s)
        if entry.state is QueueEntryState.ASSIGNED:
            return self._send(locked, entry, caller)
        return self._unsent_outcome(entry, caller)

    def load(self) -> tuple[int, int]:
        """Return the number of queued requests and of those in flight at upstreams."""
        return self._pools.load()

    def upstream_health(self) -> dict[str, UpstreamHealth]:
        """Return the health of the upstreams that this node sends to, by service."""
        known = self._view.upstreams
        return summarize_health(self._pools.outliers(), known, self._latencies, time.monotonic())

    def log_decisions(self) -> None:
        """Log the decisions of admission control since the last call, if capacity was short."""
        self._decisions.log()

    @property
    def leaving(self) -> LeavingUpstreams:
        """Return the memory of the upstreams that have stated that they are leaving."""
        return self._leaving

    def _eligible_upstreams(self, call: Call) -> tuple[Upstream, ...]:
        """Return the upstreams that may serve a request; the same tuple unless they change."""
        return self._pools.reuse_equal(call, self._eligible.for_call(call))

    def _floors(self, service: str) -> tuple[RankFloor, ...]:
        routes = self._view.routes
        info = routes.services.get(service) if routes is not None else None
        return info.floors if info is not None else ()

    def _new_entry(self, call: Call) -> tuple[QueueEntry, threading.Event]:
        state_changed = threading.Event()
        return QueueEntry(call, state_changed.set, time.monotonic()), state_changed

    def _assign(self, locked: LockedPool, call: Call) -> None:
        """Assign free slots to queued requests; the caller holds the lock of the pool.

        :param locked: the pool.
        :param call: one of the requests that it serves.
        """
        current = locked.current_upstreams or ()
        if call.key is None or any(self._eligible.has_lost_keys(item) for item in current):
            # Upstreams may have begun to leave since the last request was queued. Requests for keys
            # wait until their keys have moved, unless these should have moved by now.
            locked.update_upstreams(self._eligible_upstreams(call))
        for entry in locked.pool.assign(time.monotonic()):
            entry.wake()

    def _wait_for_slot(
        self,
        locked: LockedPool,
        entry: QueueEntry,
        state_changed: threading.Event,
        caller: socket.socket | None,
    ) -> None:
        while not state_changed.is_set():
            now = time.monotonic()
            with locked.lock:
                next_event = locked.pool.next_event(entry, now)
            wait_s = min(CALLER_CHECK_INTERVAL_S, max(0.0, entry.call.deadline - now))
            if next_event is not None:
                wait_s = min(wait_s, max(0.005, next_event - now))
            if state_changed.wait(max(0.001, wait_s)):
                return
            with locked.lock:
                if entry.state is not QueueEntryState.WAITING:
                    return
                moved = self._key_has_moved(entry.call)
                if moved or caller_disconnected(caller) or not self._may_run(entry.call):
                    locked.pool.cancel(entry)
                    return
                self._assign(locked, entry.call)

    def _may_run(self, call: Call) -> bool:
        mean_latency_s = self._latencies.mean_latency_s(call.route)
        return self._schedule(call).may_run(call.deadline, mean_latency_s, time.monotonic())

    def _schedule(self, call: Call) -> StopSchedule:
        """Return the stop schedule of this node, or of the request's origin if that exits first."""
        return self._stop_schedule.earlier(self._origin_exits.schedule_of(call.origin))

    def _key_has_moved(self, call: Call) -> bool:
        if call.key is None:
            return False
        keys = self._view.ownership.find(call.service, call.key)
        return keys is None or keys.moving or keys.owner != call.upstream_id

    def _unsent_outcome(self, entry: QueueEntry, caller: socket.socket | None) -> Outcome:
        if caller_disconnected(caller):
            return Outcome(ResultCode.CANCELLED, "the caller disconnected before a slot was free")
        if entry.refusal is not None:
            return refusal_outcome(entry.call, entry.refusal, time.monotonic())
        if not self._may_run(entry.call):
            return stopping_outcome()
        return Outcome(
            ResultCode.KEY_MOVED, "the key moved while the request was queued", retry_after_s=0.1
        )

    def _send(self, locked: LockedPool, entry: QueueEntry, caller: socket.socket | None) -> Outcome:
        upstream = entry.upstream
        assert upstream is not None
        started = time.monotonic()
        result = RequestResult.NOT_RATED
        try:
            if caller_disconnected(caller):
                return Outcome(ResultCode.CANCELLED, "the caller disconnected")
            if self._key_has_moved(entry.call):
                return Outcome(ResultCode.KEY_MOVED, "the key moved", retry_after_s=0.1)
            if not self._may_run(entry.call):
                return stopping_outcome()
            outcome = self._exchange(entry.call, upstream, caller)
            upstream_s = time.monotonic() - started
            result = self._results.record(entry.call, upstream, outcome, upstream_s)
        finally:
            with locked.lock:
                locked.pool.finish(entry, result, time.monotonic())
                self._assign(locked, entry.call)
        outcome = self._limit_retry_after(locked, entry.call, outcome)
        return replace(outcome, upstream_s=upstream_s)

    def _limit_retry_after(self, locked: LockedPool, call: Call, outcome: Outcome) -> Outcome:
        """Return an outcome with the time after which its upstream accepts the request."""
        if outcome.retry_after_s is None:
            return outcome
        now = time.monotonic()
        with locked.lock:
            retry_after_s = max(outcome.retry_after_s, locked.pool.pause_s(now))
            if outcome.code is ResultCode.REFUSED_BY_UPSTREAM:
                shed_s = locked.pool.shed_retry_after_s(call, now)
                retry_after_s = retry_after_s if shed_s is None else shed_s
        return replace(outcome, retry_after_s=retry_after_s)

    def _exchange(self, call: Call, upstream: Upstream, caller: socket.socket | None) -> Outcome:
        def is_own_response(response: UpstreamResponse) -> bool:
            result = classify_response(response, call.request_id, upstream.upstream_id)
            return result is not AttemptResult.MISMATCHED

        schedule = self._schedule(call)
        try:
            channel = self._channels.acquire(upstream)
            remaining_s = schedule.limit(call.deadline) - time.monotonic()
            head = upstream_request_headers(
                call.headers,
                call.request_id,
                call.key,
                upstream.upstream_id,
                remaining_s - RESPONSE_RESERVE_S,
            )
            response = channel.exchange(
                call.method,
                call.target,
                head,
                call.body,
                schedule.response_deadline(call.deadline) - RESPONSE_RESERVE_S / 2,
                caller,
                is_own_response,
                call.memory,
            )
        except ChannelError as exc:
            if not exc.sent and exc.refused:
                self._warmups.record_refusal(upstream, time.monotonic())
            if not exc.sent and exc.code is not ResultCode.BAD_REQUEST:
                self._unreachable.record_connection(upstream.upstream_id, connected=False)
            return failed_outcome(upstream.upstream_id, exc)
        result = classify_response(response, call.request_id, upstream.upstream_id)
        if result.is_refusal or not response.names_request(call.request_id):
            # A copy of the response could pass for that to the next request, if it does not name
            # its request or if the refused request is sent again with the same id.
            channel.reset()
        else:
            self._channels.release(upstream, channel)
        self._unreachable.record_connection(upstream.upstream_id, connected=True)
        if result is not AttemptResult.REPLACED:
            self._load_reports.record(upstream, response)
        if response.states_leaving and result is not AttemptResult.REPLACED:
            self._leaving.record(upstream)
        if result is not AttemptResult.REPLACED:
            self._warmups.record_response(upstream, response, time.monotonic())
        if response.retry_after_s is not None:
            self._pauses.record(upstream, response.retry_after_s, time.monotonic())
        if result is AttemptResult.REPLACED:
            self._eligible.mark_replaced(upstream)
        return response_outcome(upstream.upstream_id, response, result)
