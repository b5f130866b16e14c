"""Serves one request: route, service, owner, send, repeat, answer."""

import socket
import time
from collections.abc import Callable
from dataclasses import dataclass

from foxtailshunt.errors import Family, ResultCode
from foxtailshunt.fleet import FleetView
from foxtailshunt.platform import CallFacts, RequestHeaderError, read_call
from foxtailshunt.relay import (
    Attempts,
    Call,
    NextStep,
    Outcome,
    PaceBook,
    RetryBudget,
    next_step,
)
from foxtailshunt.routing import Route, WeightedChoice
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


@dataclass(frozen=True, slots=True)
class Reply:
    """An answer to a caller."""

    #: HTTP status; 0 if the caller is gone and gets none.
    status: int
    #: Headers without the body's length.
    headers: tuple[tuple[str, str], ...]
    #: Body.
    body: bytes


@dataclass(slots=True)
class _Progress:
    call_facts: CallFacts
    route: Route
    service: str
    started: float
    deadline: float
    tries: int = 0
    arrivals: int = 0
    excluded: frozenset[str] = frozenset()
    last_upstream: str = ""


class RequestHandler:
    """Answers callers' requests; safe to use from any thread.

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
        view: FleetView,
        execute: Execute,
        paces: PaceBook,
        budget: RetryBudget,
        note_demand: NoteDemand,
        metrics: Metrics,
        log: RequestLog,
    ) -> None:
        self._view = view
        self._execute = execute
        self._paces = paces
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
        routes = self._view.routes
        if routes is None:
            return self._refuse(ResultCode.NO_CONFIG, "no configuration yet", 0.5)
        host = next((value for name, value in headers if name.lower() == "host"), "")
        route = routes.match(host, target.partition("?")[0])
        if route is None:
            return _own_answer(404, ResultCode.NO_ROUTE, "no route")
        try:
            facts = read_call(headers)
        except RequestHeaderError as exc:
            return _own_answer(400, exc.code, exc.message)
        patience_s = route.timeout_s
        if facts.patience_s is not None:
            patience_s = min(patience_s, facts.patience_s)
        service = self._choice.choose(route)
        progress = _Progress(facts, route, service, started, started + patience_s)
        outcome = self._serve(progress, method, target, headers, body, caller)
        return self._answer(progress, outcome)

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
        self._budget.note_first(progress.service)
        if key is not None:
            self._note_demand(progress.service, key, self._paces.work_s(route.name))
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
                aim_at=progress.started + route.aim_s,
                rank=route.rank,
                route=route.name,
                excluded=progress.excluded,
            )
            outcome = self._execute(call, caller)
            if not self._goes_on(progress, outcome):
                return outcome

    def _goes_on(self, progress: _Progress, outcome: Outcome) -> bool:
        progress.tries += 1
        progress.arrivals += outcome.arrived
        progress.last_upstream = outcome.upstream_id or progress.last_upstream
        attempts = Attempts(
            tries=progress.tries,
            arrivals=progress.arrivals,
            max_upstreams=progress.route.max_upstreams,
            idempotent=progress.route.idempotent,
            remaining_s=progress.deadline - time.monotonic(),
            work_s=self._paces.work_s(progress.route.name),
        )
        step = next_step(outcome, attempts)
        if step is NextStep.ANSWER:
            return False
        if step is NextStep.REPEAT and not self._budget.take(progress.service):
            self._metrics.count(
                "foxtailshunt_repeats_denied_total", "Repeats that the budget did not allow."
            )
            return False
        if outcome.upstream_id is not None:
            progress.excluded |= {outcome.upstream_id}
        if outcome.code is ResultCode.NO_OWNER:
            time.sleep(DISOWNED_PAUSE_S)
        self._log.note(
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
            self._view.wait_for_news(versions, remaining_s)

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
        self._log.note(
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
        if code is ResultCode.OK:
            return Reply(outcome.status, outcome.headers, outcome.body)
        if code is ResultCode.CANCELLED:
            return Reply(0, (), b"")
        if outcome.family is Family.NOT_RUN:
            retry_after_s = outcome.retry_after_s or DEFAULT_RETRY_AFTER_S
            return _own_answer(503, code, outcome.detail, retry_after_s)
        status = 504 if code is ResultCode.DEADLINE_EXCEEDED else 502
        return _own_answer(status, code, outcome.detail)

    def _refuse(self, code: ResultCode, detail: str, retry_after_s: float) -> Reply:
        self._metrics.count(
            "foxtailshunt_requests_total", "Requests by result.", {"rank": "-", "result": code.name}
        )
        return _own_answer(503, code, detail, retry_after_s)


def _own_answer(
    status: int, code: ResultCode, detail: str, retry_after_s: float | None = None
) -> Reply:
    headers = [("Content-Type", "text/plain"), ("X-Result-Code", str(int(code)))]
    if retry_after_s is not None:
        headers.append(("Retry-After", f"{retry_after_s:.2f}"))
    return Reply(status, tuple(headers), f"{code.name}: {detail}\n".encode())
