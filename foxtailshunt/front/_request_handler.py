"""Serves a request: finds route, service and owner, sends it, retries it, and builds the reply."""

import socket
import time
from collections.abc import Callable
from dataclasses import replace

from foxtailshunt.admission import Call, RetryBudget
from foxtailshunt.callers import CallerInterface, Failure, Reply
from foxtailshunt.errors import Family, FoxtailshuntError, ResultCode
from foxtailshunt.fleet import FleetView
from foxtailshunt.front._request_state import (
    DEFAULT_RETRY_AFTER_S,
    RequestState,
    build_failure,
    find_host,
)
from foxtailshunt.memory import Reservation
from foxtailshunt.relay import (
    STOPPING_RETRY_AFTER_S,
    AttemptHistory,
    Outcome,
    RetryDecision,
    StopSchedule,
    decide_retry,
)
from foxtailshunt.routing import Regions, RequestLine, Route, WeightedChoice
from foxtailshunt.telemetry import Metrics, RequestLog
from foxtailshunt.upstreams import LatencyEstimator

#: Maximum time that a request waits for a new owner of its key, in seconds; a move takes about 0.3.
OWNER_WAIT_TIMEOUT_S = 0.6
#: Delay before the next attempt after an upstream responded that it does not own the key, in
#: seconds.
NOT_OWNER_RETRY_DELAY_S = 0.05

Execute = Callable[[Call, socket.socket | None], Outcome]
#: Called once for each request with a key: service, key, expected latency in seconds.
RecordDemand = Callable[[str, int, float], None]


class RequestHandler:
    """Serves callers' requests; thread-safe.

    :param callers: parses request headers and formats replies.
    :param view: the node's view of the fleet.
    :param execute: sends a request to an upstream, from this node or through another.
    :param latencies: estimates of upstream latencies by route.
    :param budget: limits retries.
    :param record_demand: called once for each request with a key.
    :param metrics: counters and histograms.
    :param log: the request log.
    :param stop_schedule: limits requests while the node is stopping; None if it never stops.
    :param regions: regions of the deployment; None if it has only one.
    """

    def __init__(
        self,
        callers: CallerInterface,
        view: FleetView,
        execute: Execute,
        latencies: LatencyEstimator,
        budget: RetryBudget,
        record_demand: RecordDemand,
        metrics: Metrics,
        log: RequestLog,
        stop_schedule: StopSchedule | None = None,
        regions: Regions | None = None,
    ) -> None:
        self._regions = regions or Regions()
        self._callers = callers
        self._view = view
        self._execute = execute
        self._latencies = latencies
        self._budget = budget
        self._record_demand = record_demand
        self._metrics = metrics
        self._log = log
        self._stop_schedule = stop_schedule or StopSchedule()
        self._choice = WeightedChoice()

    def is_idempotent(self, method: str, target: str, headers: tuple[tuple[str, str], ...]) -> bool:
        """Return whether a request may overlap with others of its connection.

        That also holds for a request without a route or key, since it is refused at once.

        :param method: HTTP method.
        :param target: path and query.
        :param headers: headers of the request.
        """
        routes = self._view.routes
        if routes is None:
            return True
        try:
            match = routes.match(RequestLine(method, find_host(headers), target))
        except FoxtailshuntError:
            # Serving the request reports the error to the caller.
            return True
        return match is None or match.route.idempotent

    def handle(
        self,
        method: str,
        target: str,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
        caller: socket.socket | None,
        received_at: float | None = None,
        memory: Reservation | None = None,
    ) -> Reply:
        """Serve a request and return the reply.

        :param method: HTTP method.
        :param target: path and query.
        :param headers: headers of the request.
        :param body: body of the request.
        :param caller: the caller's connection, watched for a disconnect; None if there is none.
        :param received_at: when the head of the request was received, in seconds of the monotonic
            clock, from which timeouts are counted; None for now.
        :param memory: counts the bytes of the response; None to count none.
        """
        started_at = time.monotonic() if received_at is None else received_at
        request_id = ""
        try:
            request_id = self._callers.request_id(headers)
            state = self._route(request_id, method, target, headers, started_at)
        except FoxtailshuntError as exc:
            return self._refuse(request_id, exc)
        last = self._send_with_retries(state, method, target, headers, body, caller, memory)
        outcome = state.final_outcome(last)
        # The node may have begun to stop after the request was routed.
        is_shortened = self._stop_schedule.limit(state.deadline) < state.deadline
        if outcome.code is ResultCode.TOO_LATE and (state.shortened or is_shortened):
            outcome = replace(
                outcome, code=ResultCode.STOPPING, retry_after_s=STOPPING_RETRY_AFTER_S
            )
        return self._build_reply(state, outcome)

    def reject(self, status: int, detail: str) -> Reply:
        """Return the reply to malformed input.

        :param status: HTTP status.
        :param detail: explanation for the caller.
        """
        return self._callers.failure("", Failure(status, ResultCode.BAD_REQUEST, detail))

    def refuse_body(self, headers: tuple[tuple[str, str], ...]) -> Reply:
        """Return the reply to a request whose body the node has no memory for.

        :param headers: headers of the request.
        """
        try:
            request_id = self._callers.request_id(headers)
        except FoxtailshuntError as exc:
            return self._refuse("", exc)
        exc = FoxtailshuntError(ResultCode.NO_MEMORY, "the bodies in progress take too much memory")
        return self._refuse(request_id, exc)

    def _route(
        self,
        request_id: str,
        method: str,
        target: str,
        headers: tuple[tuple[str, str], ...],
        started_at: float,
    ) -> RequestState:
        routes = self._view.routes
        if routes is None:
            raise FoxtailshuntError(ResultCode.NO_CONFIG, "no configuration yet")
        match = routes.match(RequestLine(method, find_host(headers), target))
        if match is None:
            raise FoxtailshuntError(ResultCode.NO_ROUTE, "no route")
        request_info = self._callers.read(request_id, match, headers)
        timeout_s = match.route.timeout_s
        if request_info.caller_timeout_s is not None:
            timeout_s = min(timeout_s, request_info.caller_timeout_s)
        deadline = self._limit_deadline(match.route, started_at, started_at + timeout_s)
        service = self._choice.choose(match.route)
        return RequestState(
            request_info,
            match.route,
            service,
            started_at,
            deadline,
            shortened=deadline < started_at + timeout_s,
        )

    def _limit_deadline(self, route: Route, now: float, deadline: float) -> float:
        """Return the deadline within the node's remaining time; refuse what cannot end in it."""
        mean_latency_s = self._latencies.mean_latency_s(route.name)
        if not self._stop_schedule.may_run(deadline, mean_latency_s, now, route.idempotent):
            raise FoxtailshuntError(
                ResultCode.STOPPING, "the node is stopping before the request can end"
            )
        return self._stop_schedule.limit(deadline)

    def _send_with_retries(
        self,
        state: RequestState,
        method: str,
        target: str,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
        caller: socket.socket | None,
        memory: Reservation | None,
    ) -> Outcome:
        route, request_info = state.route, state.request_info
        key = self._request_key(state)
        self._budget.record_first_attempt(state.service)
        if key is not None:
            self._record_demand(state.service, key, self._latencies.mean_latency_s(route.name))
        while True:
            if memory is not None and state.tries:
                # The response to an earlier attempt is dropped.
                memory.release()
            owner = None
            if key is not None:
                owner = self._find_owner(state, key)
                if owner is None:
                    return Outcome(
                        ResultCode.NO_OWNER,
                        "the key has no owner now",
                        retry_after_s=DEFAULT_RETRY_AFTER_S,
                    )
            call = Call(
                request_id=request_info.request_id,
                service=state.service,
                key=key,
                upstream_id=owner,
                method=method,
                target=target,
                headers=headers,
                body=body,
                deadline=state.deadline,
                latency_objective_at=state.started_at + route.latency_objective_s,
                rank=route.rank,
                route=route.name,
                excluded=state.excluded,
                allowed_zones=self._regions.allowed_zones(route.allowed_regions),
                caller_deadline=state.caller_deadline,
                memory=memory,
            )
            outcome = self._execute(call, caller)
            if not self._prepare_retry(state, outcome):
                return outcome

    def _prepare_retry(self, state: RequestState, outcome: Outcome) -> bool:
        """Record an attempt and return whether to retry it.

        Waits before the retry if the upstream did not own the key.
        """
        state.tries += 1
        state.upstream_attempts += outcome.arrived
        state.last_upstream = outcome.upstream_id or state.last_upstream
        if outcome.arrived and outcome.family is not Family.NOT_RUN:
            state.may_have_run = outcome
        history = AttemptHistory(
            tries=state.tries,
            upstream_attempts=state.upstream_attempts,
            max_upstreams=state.route.max_upstreams,
            idempotent=state.route.idempotent,
            remaining_s=self._stop_schedule.limit(state.deadline) - time.monotonic(),
            mean_latency_s=self._latencies.mean_latency_s(state.route.name),
        )
        decision = decide_retry(outcome, history)
        if decision is RetryDecision.RETURN_OUTCOME:
            return False
        if decision is RetryDecision.RESEND and not self._budget.try_acquire(state.service):
            self._metrics.count(
                "foxtailshunt_repeats_denied_total", "Repeats that the budget did not allow."
            )
            return False
        if outcome.upstream_id is not None:
            state.excluded |= {outcome.upstream_id}
        if outcome.code is ResultCode.NO_OWNER:
            time.sleep(NOT_OWNER_RETRY_DELAY_S)
        self._log.log_decision(
            "request.repeated",
            failed=True,
            request_id=state.request_info.request_id,
            after=outcome.code.name,
            detail=outcome.detail,
            upstream=outcome.upstream_id,
            tries=state.tries,
        )
        return True

    def _request_key(self, state: RequestState) -> int | None:
        routes = self._view.routes
        service = routes.services.get(state.service) if routes is not None else None
        if service is None or not service.keyed:
            return None
        key = state.request_info.key
        return 0 if key is None else key

    def _find_owner(self, state: RequestState, key: int) -> str | None:
        """Return the upstream that owns a key, or None; waits while the key is moving."""
        wait_until = min(state.deadline, time.monotonic() + OWNER_WAIT_TIMEOUT_S)
        while True:
            versions = self._view.versions
            key_range = self._view.ownership.find(state.service, key)
            if key_range is not None and not key_range.moving:
                return key_range.owner
            remaining_s = wait_until - time.monotonic()
            if remaining_s <= 0:
                return None
            self._view.wait_for_change(versions, remaining_s)

    def _build_reply(self, state: RequestState, outcome: Outcome) -> Reply:
        duration_s = time.monotonic() - state.started_at
        code = outcome.code
        failed = code is not ResultCode.OK
        self._metrics.count(
            "foxtailshunt_requests_total",
            "Requests by result.",
            {"rank": str(state.route.rank), "result": code.name},
        )
        self._metrics.observe(
            "foxtailshunt_request_seconds",
            "Time from a request's arrival to its answer.",
            duration_s,
            {"rank": str(state.route.rank), "family": outcome.family.value},
        )
        versions = self._view.versions
        self._log.log_decision(
            "request.answered",
            failed=failed,
            request_id=state.request_info.request_id,
            route=state.route.name,
            service=state.service,
            key=state.request_info.key,
            upstream=state.last_upstream,
            result=code.name,
            detail=outcome.detail,
            status=outcome.status,
            tries=state.tries,
            sender=outcome.sender,
            queued_ms=round(outcome.queued_s * 1000),
            upstream_ms=round(outcome.upstream_s * 1000),
            taken_ms=round(duration_s * 1000),
            allowed_ms=round((state.deadline - state.started_at) * 1000),
            retry_after_s=outcome.retry_after_s,
            configuration=versions.configuration,
            ownership=f"{versions.term}.{versions.ownership}",
            upstreams_age_s=self._view.upstreams_age_s(),
        )
        request_id = state.request_info.request_id
        if code is ResultCode.OK:
            return self._callers.success(request_id, outcome.status, outcome.headers, outcome.body)
        if code is ResultCode.CANCELLED:
            return Reply(0, (), b"")
        return self._callers.failure(
            request_id, build_failure(code, outcome.detail, outcome.retry_after_s)
        )

    def _refuse(self, request_id: str, exc: FoxtailshuntError) -> Reply:
        """Log and count a request that failed before it was routed, and return the reply."""
        self._metrics.count(
            "foxtailshunt_requests_total",
            "Requests by result.",
            {"rank": "-", "result": exc.code.name},
        )
        self._log.log_decision(
            "request.refused",
            failed=True,
            request_id=request_id,
            result=exc.code.name,
            detail=exc.message,
            configuration=self._view.versions.configuration,
        )
        return self._callers.failure(request_id, build_failure(exc.code, exc.message))
