"""Steps for the overload policy of a node."""

import json
import random
import tempfile
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import eliot
from behave import given, then, when
from behave.runner import Context

from features.scripted_upstream import ScriptedUpstream, SenderSubject, answer, scripted_answer
from foxtailshunt.admission import Call, Decision, OverloadPolicy, Refusal
from foxtailshunt.callers import status_of
from foxtailshunt.errors import DocumentError, Family, ResultCode
from foxtailshunt.fleet import FleetView, Member, Upstream
from foxtailshunt.node._settings import load_node_settings
from foxtailshunt.relay import (
    Forwarder,
    GroupShortage,
    Outcome,
    UpstreamGroups,
    to_call,
)
from foxtailshunt.relay._decision_counts import DecisionCounts
from foxtailshunt.relay._messages import to_relay_request
from foxtailshunt.relay._sender_outcomes import refusal_outcome
from foxtailshunt.telemetry import Metrics

_TIMEOUT_S = 30.0
_SETTINGS = {
    "instance_id": "n1",
    "zone": "za",
    "host": "127.0.0.1",
    "callers": "127.0.0.1:1",
    "readiness": "127.0.0.1:2",
    "peer_port": 3,
    "operator_port": 4,
    "store": "127.0.0.1:5",
    "grace": "6s",
    "repeat_ratio": 0.2,
    "repeat_reserve": 2,
}


def _write_settings(fields: dict[str, object]) -> Path:
    path = Path(tempfile.mkdtemp()) / "node.json"
    path.write_text(json.dumps(_SETTINGS | fields))
    return path


class BusySender:
    """A sender with one upstream that responds only when it is told to."""

    def __init__(self, policy: OverloadPolicy) -> None:
        self._may_answer = threading.Event()
        self.server = ScriptedUpstream(self._answer, closes=False)
        self.sender = SenderSubject({"u1": self.server}, slots=1, overload_policy=policy)
        thread = threading.Thread(target=self.sender.send, args=("r1", _TIMEOUT_S), daemon=True)
        thread.start()
        deadline = time.monotonic() + _TIMEOUT_S
        while self.sender.load() != (0, 1) or not self.server.requests:
            assert time.monotonic() < deadline
            time.sleep(0.01)

    def _answer(self, head: bytes, number: int, total: int) -> Iterator[bytes]:
        self._may_answer.wait(_TIMEOUT_S)
        yield answer(head)

    def close(self) -> None:
        self._may_answer.set()
        self.server.close()


class RefusingGroups:
    """Stands for the sender of a node; refuses each request and counts them."""

    def __init__(self) -> None:
        self.groups: list[str] = []

    def execute(self, call: Call, caller: object) -> Outcome:
        self.groups.append(call.group)
        return Outcome(ResultCode.TOO_LATE, "late", retry_after_s=0.1)


def _call(caller_deadline: float | None = None, now: float = 0.0) -> Call:
    return Call(
        "r1", "counter", None, None, "GET", "/", (), b"", now + 1.2, now + 0.4, 0, "issue",
        caller_deadline=caller_deadline,
    )  # fmt: skip


@given("node settings with the interface {interface}, {policy} and {contracts}")
def _(context: Context, interface: str, policy: str, contracts: str) -> None:
    fields: dict[str, object] = {"interface": interface}
    if policy != "none":
        fields["overload_policy"] = policy
    if contracts != "none":
        fields["contracts"] = json.loads(contracts)
    context.settings = load_node_settings(_write_settings(fields))


@then("the overload policy is {effective}")
def _(context: Context, effective: str) -> None:
    assert context.settings.effective_overload_policy.value == effective, context.settings


@given("a settings file with {field}")
def _(context: Context, field: str) -> None:
    context.settings_path = _write_settings(json.loads("{" + field + "}"))


@then("it is rejected with a message that names {name}")
def _(context: Context, name: str) -> None:
    try:
        settings = load_node_settings(context.settings_path)
    except DocumentError as exc:
        assert name in exc.message, exc.message
        return
    raise AssertionError(settings)


@given("a request whose caller waits {waits} ms")
def _(context: Context, waits: str) -> None:
    deadline = None if waits == "unstated" else 100.0 + int(waits) / 1000
    context.call = _call(deadline, now=100.0)


@when("it is sent to another node 100 ms later")
def _(context: Context) -> None:
    # The clock of the other node shows another time.
    context.received_at = 7000.0
    message = to_relay_request(context.call, "boot", 100.1)
    context.received = to_call(message, context.received_at)


@then("that node knows that the caller waits {left} ms")
def _(context: Context, left: str) -> None:
    deadline = context.received.caller_deadline
    if left == "unstated":
        assert deadline is None, deadline
    else:
        assert abs(deadline - context.received_at - int(left) / 1000) <= 0.001, deadline
    assert abs(context.received.deadline - context.received_at - 1.1) <= 0.001, context.received


@given("a by-cost sender with 1 slot, which is in use")
def _(context: Context) -> None:
    context.sending = BusySender(OverloadPolicy.BY_COST)
    context.add_cleanup(context.sending.close)


@given('a {policy} sender whose upstream refuses each request with "{refusal}"')
def _(context: Context, policy: str, refusal: str) -> None:
    status, _, headers = refusal.partition(", ")
    server = ScriptedUpstream(
        lambda head, number, total: [scripted_answer(head, status, headers)], closes=False
    )
    context.add_cleanup(server.close)
    context.sending = type("", (), {})()
    context.sending.sender = SenderSubject(
        {"u1": server}, overload_policy=OverloadPolicy(policy), owner="u1"
    )


@when("a request that has {timeout:d} ms is sent, whose caller waits {patience:d} ms")
def _(context: Context, timeout: int, patience: int) -> None:
    context.outcome = context.sending.sender.send(
        "r2", timeout / 1000, caller_timeout_s=patience / 1000
    )


@then("it is refused with {code} and a Retry-After of at most {most:d} ms")
def _(context: Context, code: str, most: int) -> None:
    outcome = context.outcome
    assert (outcome.code.name, outcome.family) == (code, Family.NOT_RUN), outcome
    assert 0 < outcome.retry_after_s <= most / 1000, outcome


@then("it is refused with {code} and a Retry-After of {least:d} to {most:d} ms")
def _(context: Context, code: str, least: int, most: int) -> None:
    outcome = context.outcome
    assert (outcome.code.name, outcome.family) == (code, Family.NOT_RUN), outcome
    assert least <= outcome.retry_after_s * 1000 <= most, outcome


@then("the upstream has not got it")
def _(context: Context) -> None:
    assert len(context.sending.server.requests) == 1, context.sending.server.requests


@given("a request that was displaced and may return after {wait:d} ms")
def _(context: Context, wait: int) -> None:
    refusal = Refusal(None, wait / 1000, "displaced by a more urgent request")
    context.outcome = refusal_outcome(_call(), refusal, 0.0)


@then("its caller gets 503, TOO_LATE and a Retry-After of {wait:g} s")
def _(context: Context, wait: float) -> None:
    outcome = context.outcome
    assert (outcome.code, outcome.family) == (ResultCode.TOO_LATE, Family.NOT_RUN), outcome
    assert status_of(outcome.code).status == 503 and status_of(outcome.code).retry_after
    assert outcome.retry_after_s == wait and not outcome.arrived, outcome


@then("the detail names the reason")
def _(context: Context) -> None:
    assert "displaced by a more urgent request" in context.outcome.detail, context.outcome


@given("the groups A, B and C of a service have lately answered {outcomes}")
def _(context: Context, outcomes: str) -> None:
    context.shortage = GroupShortage()
    for text in [] if outcomes == "nothing" else outcomes.split():
        context.shortage.record("counter", text[0], text[1] == "-", 10.0)


@when("A refuses a request {later:d} ms later")
def _(context: Context, later: int) -> None:
    now = 10.0 + later / 1000
    context.shortage.record("counter", "A", True, now)
    context.may_try = context.shortage.has_capacity_elsewhere("counter", "A", now)


@then("another group is {tried}")
def _(context: Context, tried: str) -> None:
    assert context.may_try is (tried == "tried"), context.may_try


@given("a node with 12 upstreams in groups that all refuse requests, with the policy {policy}")
def _(context: Context, policy: str) -> None:
    random.seed(1)
    view = FleetView(time.monotonic)
    view.begin_term(1)
    me = Member("n1", "boot", "zone", ("127.0.0.1", 1))
    view.update_members(1, 1, (me,))
    upstreams = {
        f"u{n}": Upstream(f"u{n}", "counter", ("127.0.0.1", 9), "zone", 2, False, 0.0, n)
        for n in range(12)
    }
    view.update_upstreams(1, 1, upstreams, 0.0)
    context.refusing = RefusingGroups()
    shortage = GroupShortage() if policy == "by-cost" else None
    context.forwarder = Forwarder(
        me, view, UpstreamGroups(view), context.refusing, Metrics(), shortage=shortage
    )


@when("{count:d} requests are forwarded")
def _(context: Context, count: int) -> None:
    for _number in range(count):
        now = time.monotonic()
        context.forwarder.execute(_call(now=now), None)


@then("the groups have got {attempts:d} requests")
def _(context: Context, attempts: int) -> None:
    assert len(context.refusing.groups) == attempts, context.refusing.groups


@given("decisions about requests of 2 services")
def _(context: Context) -> None:
    context.metrics = Metrics()
    context.decision_counts = DecisionCounts(context.metrics)
    for row in context.table:
        for _number in range(int(row["count"])):
            context.decision_counts.record(
                row["service"], Decision(row["decision"]), int(row["rank"])
            )


@when("they are logged")
def _(context: Context) -> None:
    context.written = []
    eliot.add_destinations(context.written.append)
    context.add_cleanup(eliot.remove_destination, context.written.append)
    context.decision_counts.log()


@then("the metric {name} has these counts by rank and decision")
def _(context: Context, name: str) -> None:
    counts = {("0", "admitted"): 3, ("1", "refused"): 2, ("1", "displaced"): 1, ("2", "delayed"): 4}
    for (rank, decision), count in counts.items():
        value = context.metrics.counter_value(name, {"rank": rank, "decision": decision})
        assert value == count, (rank, decision, value)


@then("there is one line, for T, with the counts of each of its ranks")
def _(context: Context) -> None:
    [line] = _logged(context)
    assert line["service"] == "T", line
    assert line["decisions"] == {0: {"admitted": 3}, 1: {"displaced": 1, "refused": 2}}, line


@then("nothing is logged the next time")
def _(context: Context) -> None:
    context.written.clear()
    context.decision_counts.log()
    assert not _logged(context), context.written


def _logged(context: Context) -> list[dict[str, object]]:
    return [item for item in context.written if item.get("message_type") == "admission.short"]
