"""Serves one request: route, service, owner, send, repeat, answer."""

import socket
import time
from collections.abc import Callable
from dataclasses import dataclass

from foxtailshunt.callers import CallerInterface, Failure, Reply, RequestInfo, status_of
from foxtailshunt.errors import FoxtailshuntError, ResultCode
from foxtailshunt.fleet import FleetView
from foxtailshunt.relay import (
    AttemptHistory,
    Call,
    LatencyEstimator,
    Outcome,
    RetryBudget,
    RetryDecision,
    decide_retry,
)
from foxtailshunt.routing import RequestLine, Route, WeightedChoice
from foxtailshunt.telemetry import Metrics, RequestLog

#: Longest time that a request waits for its key's new owner, in seconds; a move takes about 0.3.
OWNER_WAIT_S = 0.6
#: Pause before an upstream that disowned a key is asked again, in seconds.
DISOWNED_PAUSE_S = 0.05
#: Retry-After where nothing better is known, in seconds.
DEFAULT_RETRY_AFTER_S = 0.5

Execute = Callable[[Call, socket.socket | None], Outcome]
#: Told of each first try of a request with a key: service, key, work in seconds.
NoteDemand = Callable[[str, int, float], None]


@dataclass(slots=True)
class _Progress:
    call_facts: RequestInfo
    route: Route
    service: str
    started: float
    deadline: float
    tries: int = 0
    upstream_attempts: int = 0
    excluded: frozenset[str] = frozenset()
    last_upstream: str = ""


class RequestHandler:
    """Answers callers' requests; safe to use from any thread.

    :param callers: reads requests and forms answers.
    :param view: what is known of the fleet.
    :param execute: has a request sent, from this node or another.
    :param paces: estimates of how long requests take.
    :param budget: bounds repeats.
    :param note_demand: told of each first try of a request with a key.
    :param metrics: counters and histograms.
    :param log: where decisions are written.
    """

    def __init__(
        self,
        callers: CallerInterface,
        view: FleetView,
        execute: Execute,
        paces: LatencyEstimator,
        budget: RetryBudget,
        note_demand: NoteDemand,
        metrics: Metrics,
        log: RequestLog,
    ) -> None:
        self._callers = callers
        self._view = view
        self._execute = execute
        self._latencies = paces
        self._budget = budget
        self._note_demand = note_demand
        self._metrics = metrics
        self._log = log
        self._choice = WeightedChoice()

    def handle(
        self,
        method: str,
        target: str,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
        caller: socket.socket | None,
    ) -> Reply:
        """Serve a request.

        :param method: HTTP method.
        :param target: path and query.
        :param headers: its headers.
        :param body: its body.
        :param caller: the caller's connection, watched for its end.
        """
        started = time.monotonic()
        request_id = ""
        try:
            request_id = self._callers.request_id(headers)
            progress = self._begin(request_id, method, target, headers, started)
        except FoxtailshuntError as exc:
            return self._refuse(request_id, exc)
        outcome = self._serve(progress, method, target, headers, body, caller)
        return self._answer(progress, outcome)

    def reject(self, status: int, detail: str) -> Reply:
        """Return the answer to bytes that are no request.

        :param status: HTTP status.
        :param detail: what is wrong.
        """
        return self._callers.failure("", Failure(status, ResultCode.BAD_REQUEST, detail))

    def _begin(
        self,
        request_id: str,
        method: str,
        target: str,
        headers: tuple[tuple[str, str], ...],
        started: float,
    ) -> _Progress:
        routes = self._view.routes
        if routes is None:
            raise FoxtailshuntError(ResultCode.NO_CONFIG, "no configuration yet")
        host = next((value for name, value in headers if name.lower() == "host"), "")
        match = routes.match(RequestLine(method, host, target))
        if match is None:
            raise FoxtailshuntError(ResultCode.NO_ROUTE, "no route")
        facts = self._callers.read(request_id, match, headers)
        caller_timeout_s = match.route.timeout_s
        if facts.caller_timeout_s is not None:
            caller_timeout_s = min(caller_timeout_s, facts.caller_timeout_s)
        service = self._choice.choose(match.route)
        return _Progress(facts, match.route, service, started, started + caller_timeout_s)

    def _serve(
        self,
        progress: _Progress,
        method: str,
        target: str,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
        caller: socket.socket | None,
    ) -> Outcome:
        route, facts = progress.route, progress.call_facts
        key = self._key_of(progress)
        self._budget.record_first_attempt(progress.service)
        if key is not None:
            self._note_demand(progress.service, key, self._latencies.mean_latency_s(route.name))
        while True:
            owner = None
            if key is not None:
                owner = self._find_owner(progress, key)
                if owner is None:
                    return Outcome(
                        ResultCode.NO_OWNER,
                        "the key has no owner now",
                        retry_after_s=DEFAULT_RETRY_AFTER_S,
                    )
            call = Call(
                request_id=facts.request_id,
                service=progress.service,
                key=key,
                upstream_id=owner,
                method=method,
                target=target,
                headers=headers,
                body=body,
                deadline=progress.deadline,
                latency_objective_at=progress.started + route.latency_objective_s,
                rank=route.rank,
                route=route.name,
                excluded=progress.excluded,
            )
            outcome = self._execute(call, caller)
            if not self._goes_on(progress, outcome):
                return outcome

    def _goes_on(self, progress: _Progress, outcome: Outcome) -> bool:
        progress.tries += 1
        progress.upstream_attempts += outcome.arrived
        progress.last_upstream = outcome.upstream_id or progress.last_upstream
        attempts = AttemptHistory(
            tries=progress.tries,
            upstream_attempts=progress.upstream_attempts,
            max_upstreams=progress.route.max_upstreams,
            idempotent=progress.route.idempotent,
            remaining_s=progress.deadline - time.monotonic(),
            mean_latency_s=self._latencies.mean_latency_s(progress.route.name),
        )
        step = decide_retry(outcome, attempts)
        if step is RetryDecision.RETURN_OUTCOME:
            return False
        if step is RetryDecision.RESEND and not self._budget.try_acquire(progress.service):
            self._metrics.count(
                "foxtailshunt_repeats_denied_total", "Repeats that the budget did not allow."
            )
            return False
        if outcome.upstream_id is not None:
            progress.excluded |= {outcome.upstream_id}
        if outcome.code is ResultCode.NO_OWNER:
            time.sleep(DISOWNED_PAUSE_S)
        self._log.log_decision(
            "request.repeated",
            failed=True,
            request_id=progress.call_facts.request_id,
            after=outcome.code.name,
            detail=outcome.detail,
            upstream=outcome.upstream_id,
            tries=progress.tries,
        )
        return True

    def _key_of(self, progress: _Progress) -> int | None:
        routes = self._view.routes
        info = routes.services.get(progress.service) if routes is not None else None
        if info is None or not info.keyed:
            return None
        key = progress.call_facts.key
        return 0 if key is None else key

    def _find_owner(self, progress: _Progress, key: int) -> str | None:
        """Return the upstream that owns a key; waits for a move to end."""
        wait_until = min(progress.deadline, time.monotonic() + OWNER_WAIT_S)
        while True:
            versions = self._view.versions
            keys = self._view.ownership.find(progress.service, key)
            if keys is not None and not keys.moving:
                return keys.owner
            remaining_s = wait_until - time.monotonic()
            if remaining_s <= 0:
                return None
            self._view.wait_for_change(versions, remaining_s)

    def _answer(self, progress: _Progress, outcome: Outcome) -> Reply:
        taken_s = time.monotonic() - progress.started
        code = outcome.code
        failed = code is not ResultCode.OK
        self._metrics.count(
            "foxtailshunt_requests_total",
            "Requests by result.",
            {"rank": str(progress.route.rank), "result": code.name},
        )
        self._metrics.observe(
            "foxtailshunt_request_seconds",
            "Time from a request's arrival to its answer.",
            taken_s,
            {"rank": str(progress.route.rank), "family": outcome.family.value},
        )
        versions = self._view.versions
        self._log.log_decision(
            "request.answered",
            failed=failed,
            request_id=progress.call_facts.request_id,
            route=progress.route.name,
            service=progress.service,
            key=progress.call_facts.key,
            upstream=progress.last_upstream,
            result=code.name,
            detail=outcome.detail,
            status=outcome.status,
            tries=progress.tries,
            taken_ms=round(taken_s * 1000),
            allowed_ms=round((progress.deadline - progress.started) * 1000),
            retry_after_s=outcome.retry_after_s,
            configuration=versions.configuration,
            ownership=f"{versions.term}.{versions.ownership}",
            upstreams_age_s=self._view.upstreams_age_s(),
        )
        request_id = progress.call_facts.request_id
        if code is ResultCode.OK:
            return self._callers.success(request_id, outcome.status, outcome.headers, outcome.body)
        if code is ResultCode.CANCELLED:
            return Reply(0, (), b"")
        return self._callers.failure(
            request_id, _failure(code, outcome.detail, outcome.retry_after_s)
        )

    def _refuse(self, request_id: str, exc: FoxtailshuntError) -> Reply:
        """Answer a request that was not begun."""
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
        return self._callers.failure(request_id, _failure(exc.code, exc.message))


def _failure(code: ResultCode, detail: str, retry_after_s: float | None = None) -> Failure:
    status = status_of(code)
    wait_s = (retry_after_s or DEFAULT_RETRY_AFTER_S) if status.retry_after else None
    return Failure(status.status, code, detail, wait_s)
