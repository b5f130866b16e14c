"""Steps for requests that wait at another node when their own node stops."""

import socket
import threading
import time
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor

from behave import given, then, when
from behave.runner import Context

from features.front_support import WAIT_TIMEOUT_S, wait_until
from features.node_support import CallerAnswer, NodeFleet
from features.scripted_upstream import ScriptedUpstream, SenderSubject, answer
from foxtailshunt.admission import Call
from foxtailshunt.errors import ResultCode
from foxtailshunt.fleet import Address, FleetView, KeyRange, Member, OwnershipTable, Upstream
from foxtailshunt.protocol import (
    ExitNotice,
    ExitNoticeReply,
    ProtocolServer,
    RelayReply,
    RelayRequest,
)
from foxtailshunt.protocol.gen import Peer
from foxtailshunt.relay import Forwarder, OriginExits, Outcome, StopSchedule, UpstreamGroups
from foxtailshunt.telemetry import Metrics

_ORIGIN, _OTHER_ORIGIN = "boot of n2", "boot of n3"
_LONG_DEADLINE_MS = 14_000
_WARM_UP_REQUESTS = 6
#: Time from the begin of a stop to the exit, in seconds.
_TIME_TO_EXIT_S = 6.0
_NOT_RUN_STATUS = 503


class ForwardedSubject:
    """A sender with one slot, and requests that another node has forwarded to it."""

    def __init__(self, context: Context, is_held: bool) -> None:
        self.exits = OriginExits()
        self._is_held = is_held
        self.server = ScriptedUpstream(self._answer, closes=False)
        self.sender = SenderSubject({"u1": self.server}, slots=1, origin_exits=self.exits)
        self.executor = ThreadPoolExecutor()
        context.add_cleanup(self.server.close)
        context.add_cleanup(self.executor.shutdown)
        context.add_cleanup(self.release)

    def release(self) -> None:
        """Let the upstream respond."""
        self._is_held = False

    def send(self, request_id: str, origin: str) -> Future[Outcome]:
        return self.executor.submit(self.sender.send, request_id, 30.0, origin=origin)

    def announce_exit(self, origin: str, exits_in_s: float) -> None:
        now = time.monotonic()
        self.exits.record(origin, now + exits_in_s, now)

    def _answer(self, head: bytes, number: int, total: int) -> Iterator[bytes]:
        wait_until(lambda: not self._is_held, "the upstream may respond")
        yield answer(head)


class ManyPeersSubject:
    """A forwarder with a request in progress at each of several nodes, one of which responds."""

    def __init__(self, context: Context, silent: int) -> None:
        self.has_notice = threading.Event()
        self._release = threading.Event()
        self._server = ProtocolServer(Peer, self, ("127.0.0.1", 0), lambda: None)
        self._server.start()
        # The kernel accepts connections to these, and nothing reads from them.
        sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(silent)]
        self.silent = {sock.getsockname() for sock in sockets}
        addresses = [*self.silent]
        addresses.append(self._server._listener.getsockname())
        view = FleetView(time.monotonic)
        view.begin_term(1)
        members, upstreams, ranges = [], {}, []
        for number, address in enumerate(addresses):
            name, zone = f"u{number}", f"zone-{number}"
            members.append(Member(f"n{number}", "boot", zone, address))
            upstreams[name] = Upstream(name, "desk", ("127.0.0.1", 2), zone, 2, False, 0.0, 0)
            ranges.append(KeyRange("desk", number, number, name, 1))
        view.update_members(1, 1, tuple(members))
        view.update_upstreams(1, 1, upstreams, 0.0)
        view.update_ownership(1, 1, OwnershipTable(ranges))
        self.stop_schedule = StopSchedule()
        me = Member("me", _ORIGIN, "zone-me", ("127.0.0.1", 1))
        groups = UpstreamGroups(view)
        sender = SenderSubject({})._sender
        self.forwarder = Forwarder(me, view, groups, sender, Metrics(), self.stop_schedule)
        self._executor = ThreadPoolExecutor(len(addresses))
        for close in (
            *(sock.close for sock in sockets),
            lambda: self._server.stop(WAIT_TIMEOUT_S),
            self._release.set,
        ):
            context.add_cleanup(close)
        self.outcomes = [
            self._executor.submit(self._execute, number) for number in range(len(addresses))
        ]
        wait_until(
            lambda: len(self.forwarder._clients.called_addresses()) == len(addresses),
            "all requests are at other nodes",
        )

    def relay(self, req: RelayRequest) -> RelayReply:
        self._release.wait(WAIT_TIMEOUT_S)
        return RelayReply(outcome=int(ResultCode.OK), arrived=True)

    def announce_exit(self, req: ExitNotice) -> ExitNoticeReply:
        self.has_notice.set()
        return ExitNoticeReply()

    def exit_soon(self) -> None:
        exits_at = time.monotonic() + _TIME_TO_EXIT_S
        self.stop_schedule.begin(exits_at)
        args = (exits_at, threading.Event())
        threading.Thread(target=self.forwarder.end_forwarded, args=args, daemon=True).start()

    def notified_at_once(self) -> set[Address]:
        """Return the nodes to which a notice is under way now."""
        return self.forwarder._notice_clients.called_addresses()

    def _execute(self, key: int) -> Outcome:
        deadline = time.monotonic() + 30.0
        call = Call(
            request_id=f"r{key}",
            service="desk",
            key=key,
            upstream_id=f"u{key}",
            method="POST",
            target="/x",
            headers=(),
            body=b"",
            deadline=deadline,
            latency_objective_at=deadline,
            rank=0,
            route="x",
        )
        return self.forwarder.execute(call, None)


class StoppingOriginSubject:
    """Two nodes, one of which sends all requests of a service without keys."""

    def __init__(self) -> None:
        self.fleet = NodeFleet()
        self.executor = ThreadPoolExecutor(32)
        self.answers: list[Future[tuple[CallerAnswer, float]]] = []
        self.sender = self.origin = ""

    def start(self) -> None:
        route = {"service": "press", "timeout": "14000ms", "aim": "3000ms", "max_attempts": 1}
        self.fleet.configure(
            {"desk": {"service": "desk"}, "print": route | {"route_type": "unsafe"}},
            {"desk": True, "press": False},
        )
        self.fleet.add_owner("d0", "desk")
        self.fleet.add_owner("p0", "press", keyed=False, work_s=1.0, slots=2)
        for name in ("n0", "n1"):
            self.fleet.add_node(name)
        self.fleet.wait_until_serving()
        # Lets the sending node learn how long the requests take.
        early = [self.send("n0") for _ in range(_WARM_UP_REQUESTS)]
        self.fleet.wait_until(lambda: any(self._has_work(name) for name in ("n0", "n1")), "work")
        self.sender = next(name for name in ("n0", "n1") if self._has_work(name))
        self.origin = "n1" if self.sender == "n0" else "n0"
        assert all(fut.result()[0].status == 200 for fut in early)

    def send(self, node: str) -> Future[tuple[CallerAnswer, float]]:
        return self.executor.submit(self._send, node)

    def wait_until_queued(self, count: int) -> None:
        self.fleet.wait_until(
            lambda: self.fleet.nodes[self.sender].dump()["waiting"] >= count, "requests wait"
        )

    def _send(self, node: str) -> tuple[CallerAnswer, float]:
        resp = self.fleet.request(node, "/print/x", method="POST", deadline_ms=_LONG_DEADLINE_MS)
        return resp, time.monotonic()

    def _has_work(self, node: str) -> bool:
        return self.fleet.nodes[node].dump()["running"] > 0


@given("a sender with a running request and a queued one of another node, both with 30 s left")
def start_sender(context: Context) -> None:
    context.forwarded = subject = ForwardedSubject(context, is_held=True)
    context.running = subject.send("r1", _ORIGIN)
    wait_until(lambda: len(subject.server.requests) == 1, "the first request runs")
    context.queued = subject.send("r2", _ORIGIN)
    wait_until(lambda: subject.sender.load() == (1, 1), "the second request is queued")


@when("the other node states that it exits at once")
def exit_at_once(context: Context) -> None:
    context.forwarded.announce_exit(_ORIGIN, 0.0)


@when("the other node states that it exits in 60 s")
def exit_later(context: Context) -> None:
    context.forwarded.announce_exit(_ORIGIN, 60.0)


@when("a third node states that it exits at once")
def exit_of_third(context: Context) -> None:
    context.forwarded.announce_exit(_OTHER_ORIGIN, 0.0)


@then("the queued request is refused as stopping, and not sent")
def check_refused(context: Context) -> None:
    outcome = context.queued.result(WAIT_TIMEOUT_S)
    assert (outcome.code, outcome.arrived) == (ResultCode.STOPPING, False), outcome
    assert len(context.forwarded.server.requests) == 1


@then("the queued request is still queued")
def check_queued(context: Context) -> None:
    subject = context.forwarded
    subject.release()
    assert context.queued.result(WAIT_TIMEOUT_S).code is ResultCode.OK
    assert len(subject.server.requests) == 2


@then("the running request of the other node gets its upstream's response")
def check_running(context: Context) -> None:
    context.forwarded.release()
    assert context.running.result(WAIT_TIMEOUT_S).code is ResultCode.OK


@given("a sender and another node that exits in 10 s")
def start_with_exit(context: Context) -> None:
    context.forwarded = ForwardedSubject(context, is_held=False)
    context.forwarded.announce_exit(_ORIGIN, 10.0)


@when("a request of the other node with 30 s left is sent")
def send_of_other(context: Context) -> None:
    context.gated = context.forwarded
    assert context.forwarded.send("r1", _ORIGIN).result(WAIT_TIMEOUT_S).code is ResultCode.OK


@given("a node with requests at {count:d} nodes that do not respond and at one that does")
def start_many(context: Context, count: int) -> None:
    context.many = ManyPeersSubject(context, count)


@when("it is about to exit")
def exit_many(context: Context) -> None:
    context.many.exit_soon()


@then("notices to all nodes that do not respond are under way at the same time")
def check_notices(context: Context) -> None:
    many = context.many
    wait_until(lambda: many.notified_at_once() >= many.silent, "all notices are under way")


@then("the node that responds gets the notice")
def check_notice(context: Context) -> None:
    assert context.many.has_notice.wait(WAIT_TIMEOUT_S)


@then("all requests end since their connections are interrupted, not at their deadlines")
def check_interrupted(context: Context) -> None:
    codes = {fut.result(WAIT_TIMEOUT_S).code for fut in context.many.outcomes}
    assert codes == {ResultCode.NODE_CONNECTION_LOST}, codes


@given("two nodes whose upstream takes 1 s for a request and has 2 slots")
def start_nodes(context: Context) -> None:
    context.stopping_origin = subject = StoppingOriginSubject()
    context.fleet_subject = subject.fleet
    subject.start()


@when("callers send {count:d} long requests to one node, and they wait at a node {condition}")
def send_and_wait(context: Context, count: int, condition: str) -> None:
    subject = context.stopping_origin
    subject.answers = [subject.send(subject.origin) for _ in range(count)]
    subject.wait_until_queued(count // 2)
    if condition == "that does not respond any more":
        process = subject.fleet.nodes[subject.sender].process
        process.freeze()
        context.add_cleanup(lambda: process.resume() if process.frozen else None)


@when("the node of the callers is asked to stop")
def stop_origin(context: Context) -> None:
    subject = context.stopping_origin
    process = subject.fleet.nodes[subject.origin].process
    process.terminate()
    subject.fleet.wait_until(lambda: not process.running, "the node has ended")


@then("each caller got a response before the node exited")
def check_all_answered(context: Context) -> None:
    answers = [fut.result(WAIT_TIMEOUT_S)[0] for fut in context.stopping_origin.answers]
    cut = [resp.body for resp in answers if resp.status == 0]
    assert not cut, f"{len(cut)} of {len(answers)} got none, e.g. {cut[0]}"


@then("no response of status 503 is about a request that an upstream ran")
def check_not_run(context: Context) -> None:
    subject = context.stopping_origin
    answers = [fut.result()[0] for fut in subject.answers]
    wrong = [resp for resp in answers if resp.status == _NOT_RUN_STATUS]
    wrong = [resp for resp in wrong if subject.fleet.runs(resp.request_id)]
    assert not wrong, wrong
