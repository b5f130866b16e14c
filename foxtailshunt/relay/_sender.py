"""Sends requests to the upstreams that this node is the sender of."""

import socket
import threading
import time
from dataclasses import dataclass

from foxtailshunt.errors import ResultCode
from foxtailshunt.fleet import Address, FleetView, Upstream
from foxtailshunt.network import caller_disconnected
from foxtailshunt.platform import (
    AttemptResult,
    UpstreamResponse,
    classify_response,
    upstream_request_headers,
)
from foxtailshunt.relay._channel import ChannelError
from foxtailshunt.relay._channel_pool import ChannelPool
from foxtailshunt.relay._outcome import Call, Outcome
from foxtailshunt.relay._pace import LatencyEstimator
from foxtailshunt.relay._slot_pool import SlotPool
from foxtailshunt.relay._ticket import QueueEntry, QueueEntryState, Refusal
from foxtailshunt.routing import RankFloor
from foxtailshunt.telemetry import Metrics, RequestLog, log_state_change

#: Time kept for the way back of an answer, in seconds.
RETURN_TIME_S = 0.02
#: How often a waiting request looks whether its caller is still there, in seconds.
CALLER_CHECK_S = 0.2
#: First and longest time for which requests are refused at once after an upstream could not be
#: connected to, in seconds.
FIRST_UNREACHABLE_S, LONGEST_UNREACHABLE_S = 0.2, 0.8
#: Retry-After where the owner of a key is not known or is changing, in seconds: a move takes 0.3.
OWNER_RETRY_AFTER_S = 0.4


@dataclass(slots=True)
class _Lane:
    """A pool with its lock and the version of the fleet that it was filled from."""

    pool: SlotPool
    lock: threading.Lock
    filled_from: object = None


class Sender:
    """Queues requests for slots and sends them; safe to use from any thread.

    :param view: what is known of upstreams.
    :param paces: estimates of how long requests take.
    :param zone: the node's availability zone.
    :param metrics: counters and histograms.
    :param log: where decisions about requests are written.
    """

    def __init__(
        self, view: FleetView, paces: LatencyEstimator, zone: str, metrics: Metrics, log: RequestLog
    ) -> None:
        self._view = view
        self._latencies = paces
        self._zone = zone
        self._metrics = metrics
        self._log = log
        self._lanes_lock = threading.Lock()
        self._lanes: dict[str, _Lane] = {}
        self._channels = ChannelPool()
        #: Upstreams that could not be connected to: until when, and for how long the last time.
        self._unreachable: dict[str, tuple[float, float]] = {}
        #: Incarnations of upstreams at whose address another upstream answers.
        self._replaced: frozenset[tuple[str, Address, int]] = frozenset()

    def execute(self, call: Call, caller: socket.socket | None) -> Outcome:
        """Queue a request, send it and return what became of it.

        :param call: the request.
        :param caller: the connection of the one who waits; watched for its end.
        """
        upstreams = self._candidates(call)
        if not upstreams:
            return Outcome(
                ResultCode.NO_OWNER,
                "no upstream that takes new work",
                retry_after_s=OWNER_RETRY_AFTER_S,
            )
        if call.key is not None and self._is_unreachable(upstreams[0].upstream_id):
            return Outcome(
                ResultCode.NO_OWNER,
                "the owner could not be connected to a moment ago",
                retry_after_s=OWNER_RETRY_AFTER_S,
            )
        lane = self._lane(call)
        ticket, woken = self._new_ticket(call)
        with lane.lock:
            if lane.filled_from is not upstreams:
                lane.pool.set_upstreams(upstreams)
                lane.filled_from = upstreams
            lane.pool.set_floors(self._floors(call.service))
            refusal = lane.pool.enqueue(ticket, time.monotonic())
            if refusal is None:
                self._assign(lane)
        if refusal is not None:
            return self._refused(call, refusal)
        self._wait_for_slot(lane, ticket, woken, caller)
        if ticket.state is QueueEntryState.ASSIGNED:
            return self._send(lane, ticket, caller)
        return self._not_sent(ticket, caller)

    def load(self) -> tuple[int, int]:
        """Return how many requests wait and how many are at upstreams."""
        lanes = list(self._lanes.values())
        return sum(lane.pool.waiting for lane in lanes), sum(lane.pool.running for lane in lanes)

    def _is_unreachable(self, upstream_id: str) -> bool:
        doubt = self._unreachable.get(upstream_id)
        return doubt is not None and time.monotonic() < doubt[0]

    def _note_connection(self, upstream_id: str, connected: bool) -> None:
        if connected:
            self._unreachable.pop(upstream_id, None)
            return
        span_s = self._unreachable.get(upstream_id, (0.0, FIRST_UNREACHABLE_S / 2))[1] * 2
        bounded_s = min(LONGEST_UNREACHABLE_S, span_s)
        self._unreachable[upstream_id] = (time.monotonic() + bounded_s, bounded_s)

    def _note_replaced(self, upstream: Upstream) -> None:
        log_state_change("upstream.replaced", upstream=upstream.upstream_id)
        self._replaced |= {_incarnation(upstream)}

    def _candidates(self, call: Call) -> tuple[Upstream, ...]:
        if call.key is None:
            found = self._view.upstreams_by_service.get(call.service, ())
            return self._without_replaced(call.service, found) if self._replaced else found
        upstream = self._view.upstreams.get(call.upstream_id or "")
        if upstream is None or upstream.leaving or upstream.service != call.service:
            return ()
        if _incarnation(upstream) in self._replaced:
            return ()
        return self._single(upstream)

    def _without_replaced(self, service: str, found: tuple[Upstream, ...]) -> tuple[Upstream, ...]:
        left = tuple(item for item in found if _incarnation(item) not in self._replaced)
        lane = self._lanes.get(f"service {service}")
        known = lane.filled_from if lane is not None else None
        return known if isinstance(known, tuple) and known == left else left

    def _single(self, upstream: Upstream) -> tuple[Upstream, ...]:
        lane = self._lanes.get(f"upstream {upstream.upstream_id}")
        known = lane.filled_from if lane is not None else None
        if isinstance(known, tuple) and known and known[0] is upstream:
            return known
        return (upstream,)

    def _lane(self, call: Call) -> _Lane:
        name = f"service {call.service}" if call.key is None else f"upstream {call.upstream_id}"
        with self._lanes_lock:
            lane = self._lanes.get(name)
            if lane is None:
                lane = _Lane(SlotPool(self._latencies, self._zone), threading.Lock())
                self._lanes[name] = lane
            return lane

    def _floors(self, service: str) -> tuple[RankFloor, ...]:
        routes = self._view.routes
        info = routes.services.get(service) if routes is not None else None
        return info.floors if info is not None else ()

    def _new_ticket(self, call: Call) -> tuple[QueueEntry, threading.Event]:
        woken = threading.Event()
        return QueueEntry(call, woken.set, time.monotonic()), woken

    def _assign(self, lane: _Lane) -> None:
        for ticket in lane.pool.assign(time.monotonic()):
            ticket.wake()

    def _wait_for_slot(
        self, lane: _Lane, ticket: QueueEntry, woken: threading.Event, caller: socket.socket | None
    ) -> None:
        while not woken.is_set():
            now = time.monotonic()
            with lane.lock:
                change_at = lane.pool.next_pause_end(now)
            wait_s = min(CALLER_CHECK_S, max(0.0, ticket.call.deadline - now))
            if change_at is not None:
                wait_s = min(wait_s, max(0.005, change_at - now))
            if woken.wait(max(0.001, wait_s)):
                return
            with lane.lock:
                if ticket.state is not QueueEntryState.WAITING:
                    return
                if caller_disconnected(caller) or self._has_moved(ticket.call):
                    lane.pool.cancel(ticket)
                    return
                self._assign(lane)

    def _has_moved(self, call: Call) -> bool:
        if call.key is None:
            return False
        keys = self._view.ownership.find(call.service, call.key)
        return keys is None or keys.moving or keys.owner != call.upstream_id

    def _not_sent(self, ticket: QueueEntry, caller: socket.socket | None) -> Outcome:
        if caller_disconnected(caller):
            return Outcome(ResultCode.CANCELLED, "the caller went away before a slot was free")
        if ticket.refusal is not None:
            return self._refused(ticket.call, ticket.refusal)
        return Outcome(
            ResultCode.KEY_MOVED, "the key moved while the request waited", retry_after_s=0.1
        )

    def _refused(self, call: Call, refusal: Refusal) -> Outcome:
        estimate = "unknown" if refusal.estimate_s is None else f"{refusal.estimate_s:.3f} s"
        remaining_s = call.deadline - time.monotonic()
        return Outcome(
            ResultCode.TOO_LATE,
            f"estimated {estimate}, remaining {remaining_s:.3f} s",
            retry_after_s=refusal.retry_after_s,
            upstream_id=call.upstream_id,
        )

    def _send(self, lane: _Lane, ticket: QueueEntry, caller: socket.socket | None) -> Outcome:
        upstream = ticket.upstream
        assert upstream is not None
        started = time.monotonic()
        failed = True
        try:
            if caller_disconnected(caller):
                failed = False
                return Outcome(ResultCode.CANCELLED, "the caller went away")
            if self._has_moved(ticket.call):
                failed = False
                return Outcome(ResultCode.KEY_MOVED, "the key moved", retry_after_s=0.1)
            outcome = self._exchange(ticket.call, upstream, caller)
            failed = outcome.code not in (ResultCode.OK, ResultCode.CANCELLED)
            self._note_pace(ticket.call, upstream, outcome, time.monotonic() - started)
            return outcome
        finally:
            with lane.lock:
                lane.pool.finish(ticket, failed, time.monotonic())
                self._assign(lane)

    def _note_pace(
        self, call: Call, upstream: Upstream, outcome: Outcome, elapsed_s: float
    ) -> None:
        upstream_id = upstream.upstream_id
        if outcome.code is ResultCode.OK:
            self._latencies.record_response(call.route, upstream_id, elapsed_s)
            self._metrics.observe(
                "foxtailshunt_upstream_seconds",
                "Time of requests at upstreams.",
                elapsed_s,
                {"service": call.service},
            )
        elif outcome.code is ResultCode.DEADLINE_EXCEEDED:
            self._latencies.record_timeout(call.route, upstream_id, elapsed_s)
        elif outcome.code is not ResultCode.CANCELLED:
            self._latencies.record_failure(upstream_id)

    def _exchange(self, call: Call, upstream: Upstream, caller: socket.socket | None) -> Outcome:
        def is_own_response(answer: UpstreamResponse) -> bool:
            verdict = classify_response(answer, call.request_id, upstream.upstream_id)
            return verdict is not AttemptResult.MISMATCHED

        try:
            channel = self._channels.acquire(upstream)
            remaining_s = call.deadline - time.monotonic()
            head = upstream_request_headers(
                call.headers,
                call.request_id,
                call.key,
                upstream.upstream_id,
                remaining_s - RETURN_TIME_S,
            )
            answer = channel.exchange(
                call.method,
                call.target,
                head,
                call.body,
                call.deadline - RETURN_TIME_S / 2,
                caller,
                is_own_response,
            )
        except ChannelError as exc:
            return self._channel_failed(upstream, exc)
        self._channels.release(upstream, channel)
        self._note_connection(upstream.upstream_id, connected=True)
        return self._judge(call, upstream, answer)

    def _channel_failed(self, upstream: Upstream, exc: ChannelError) -> Outcome:
        if not exc.sent:
            if exc.code is not ResultCode.BAD_REQUEST:
                self._note_connection(upstream.upstream_id, connected=False)
            code = exc.code if exc.code is ResultCode.BAD_REQUEST else ResultCode.NO_OWNER
            return Outcome(
                code,
                exc.message,
                upstream_id=upstream.upstream_id,
                retry_after_s=OWNER_RETRY_AFTER_S,
            )
        return Outcome(exc.code, exc.message, upstream_id=upstream.upstream_id, arrived=True)

    def _judge(self, call: Call, upstream: Upstream, answer: UpstreamResponse) -> Outcome:
        verdict = classify_response(answer, call.request_id, upstream.upstream_id)
        if verdict is AttemptResult.ANSWERED:
            return Outcome(
                ResultCode.OK,
                "answered",
                status=answer.status,
                headers=answer.caller_headers(),
                body=answer.body,
                upstream_id=upstream.upstream_id,
                arrived=True,
            )
        detail = f"status {answer.status}, {verdict.value}"
        if verdict is AttemptResult.REPLACED:
            self._note_replaced(upstream)
        if verdict in (AttemptResult.NOT_RUN, AttemptResult.NOT_OWNER, AttemptResult.REPLACED):
            code = (
                ResultCode.REFUSED_BY_UPSTREAM
                if verdict is AttemptResult.NOT_RUN
                else ResultCode.NO_OWNER
            )
            return Outcome(
                code,
                detail,
                retry_after_s=OWNER_RETRY_AFTER_S,
                upstream_id=upstream.upstream_id,
                arrived=True,
            )
        return Outcome(
            ResultCode.ANSWER_MISMATCH, detail, upstream_id=upstream.upstream_id, arrived=True
        )


def _incarnation(upstream: Upstream) -> tuple[str, Address, int]:
    return upstream.upstream_id, upstream.address, upstream.started_ms
