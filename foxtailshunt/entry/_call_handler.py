"""Answers one caller's request."""

import socket
from dataclasses import dataclass

from foxtailshunt.config import Configuration, Rank
from foxtailshunt.entry._admission import RankLimiter
from foxtailshunt.entry._answers import Answer, error_answer
from foxtailshunt.entry._call import Call
from foxtailshunt.entry._entry_metrics import EntryMetrics
from foxtailshunt.entry._forwarder import Forwarder
from foxtailshunt.entry._hang_up_watcher import HangUpWatcher
from foxtailshunt.entry._headers import headers_to_caller, headers_to_upstream
from foxtailshunt.entry._operation_router import OperationMatch, OperationRouter
from foxtailshunt.entry._request_ids import (
    check_request_id,
    check_timed_request_id,
    draw_request_id,
)
from foxtailshunt.errors import Family, FoxtailshuntError, ResultCode, family_of
from foxtailshunt.ownership import slot_of_key
from foxtailshunt.protocol import ExecuteReply
from foxtailshunt.timing import Clock

_PRIORITIES = {rank: place for place, rank in enumerate(Rank)}
_LAST_PRIORITY = len(Rank)


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """One request as the HTTP server read it."""

    #: HTTP method.
    method: str
    #: Path and query.
    target: str
    #: Headers by name.
    headers: dict[bytes, bytes]
    #: Body.
    body: bytes
    #: The caller's connection.
    sock: socket.socket


@dataclass(frozen=True, slots=True)
class _InForce:
    """A configuration with its compiled operations."""

    cfg: Configuration
    router: OperationRouter


class CallHandler:
    """Answers callers' requests; safe to use from any thread.

    :param forwarder: sends calls to dispatchers.
    :param limiter: limits calls in progress by rank.
    :param watcher: watches waiting callers.
    :param clock: the clock.
    :param metrics: where answers are counted.
    """

    def __init__(
        self,
        forwarder: Forwarder,
        limiter: RankLimiter,
        watcher: HangUpWatcher,
        clock: Clock,
        metrics: EntryMetrics,
    ) -> None:
        self._forwarder = forwarder
        self._limiter = limiter
        self._watcher = watcher
        self._clock = clock
        self._metrics = metrics
        self._in_force: _InForce | None = None

    def take_config(self, cfg: Configuration) -> None:
        """Take a configuration into force for requests read from now on.

        :param cfg: the configuration.
        """
        self._limiter.set_limits(cfg.entry)
        self._in_force = _InForce(cfg, OperationRouter(cfg))

    def request_id_of(self, headers: dict[bytes, bytes]) -> str:
        """Return the caller's request id if it is well formed, else a new one.

        :param headers: the request's headers.
        """
        request_id = headers.get(b"X-Request-Id", b"").decode("latin-1")
        try:
            check_request_id(request_id)
        except FoxtailshuntError:
            return draw_request_id(self._clock)
        return request_id

    def priority_of(self, request_line: bytes) -> int:
        """Return the place of a request's rank among the ranks; the last for what will be refused.

        :param request_line: method, target and protocol.
        """
        in_force = self._in_force
        if in_force is None:
            return _LAST_PRIORITY
        method, _, rest = request_line.decode("latin-1").partition(" ")
        try:
            match = in_force.router.match(method, rest.partition(" ")[0])
        except FoxtailshuntError:
            return _LAST_PRIORITY
        return _PRIORITIES[match.operation.rank]

    def handle(self, req: CallerRequest) -> Answer:
        """Return the whole answer to a request.

        :param req: the request.
        """
        started_at = self._clock.now()
        request_id = self.request_id_of(req.headers)
        match: OperationMatch | None = None
        try:
            in_force = self._config_in_force()
            match = in_force.router.match(req.method, req.target)
            self._check_request_id(req, request_id, match, in_force.cfg)
            answer = self._execute(self._make_call(req, request_id, match, started_at), req.sock)
        except FoxtailshuntError as exc:
            answer = error_answer(request_id, exc.code, exc.message)
        except Exception:
            self._metrics.failed()
            code = ResultCode.DISPATCHER_CONNECTION_LOST
            answer = error_answer(request_id, code, "internal error of the entry", status=500)
        self._metrics.answered(match, answer.code, self._clock.now() - started_at)
        return answer

    def _config_in_force(self) -> _InForce:
        if self._in_force is None:
            raise FoxtailshuntError(ResultCode.NO_CONFIG, "no configuration has arrived yet")
        return self._in_force

    def _check_request_id(
        self, req: CallerRequest, request_id: str, match: OperationMatch, cfg: Configuration
    ) -> None:
        sent = req.headers.get(b"X-Request-Id")
        if sent is None:
            return
        check_request_id(sent.decode("latin-1"))
        if not match.operation.idempotent:
            check_timed_request_id(request_id, self._clock, cfg.request_clock_skew_s)

    def _make_call(
        self, req: CallerRequest, request_id: str, match: OperationMatch, started_at: float
    ) -> Call:
        return Call(
            request_id=request_id,
            drawn_by_entry=b"X-Request-Id" not in req.headers,
            match=match,
            slot=slot_of_key(match.key, match.service.slot_count),
            method=req.method,
            target=req.target,
            headers=headers_to_upstream(req.headers),
            body=req.body,
            deadline=started_at + match.operation.deadline_s,
        )

    def _execute(self, call: Call, sock: socket.socket) -> Answer:
        rank = call.match.operation.rank
        if not self._limiter.try_enter(rank):
            raise FoxtailshuntError(
                ResultCode.ENTRY_LIMIT, f"the entry's limit of {rank.value} requests is reached"
            )
        end_watch = self._watcher.add(call, sock)
        try:
            reply = self._forwarder.execute(call)
        finally:
            end_watch()
            self._limiter.leave(rank)
        return _to_answer(call, reply)


def _to_answer(call: Call, reply: ExecuteReply) -> Answer:
    code = ResultCode(reply.code)
    if family_of(code) is not Family.RAN:
        return error_answer(call.request_id, code, reply.detail or code.name)
    headers = headers_to_caller(reply.headers, keep_length=call.method == "HEAD")
    return Answer(call.request_id, code, reply.status, tuple(headers), reply.body)
