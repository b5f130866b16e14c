"""Steps for upstreams whose responses state that they are leaving."""

import threading
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from behave.runner import Context

from features.scripted_upstream import ScriptedUpstream, SenderSubject, scripted_answer
from foxtailshunt.errors import Family
from foxtailshunt.fleet import Upstream
from foxtailshunt.relay import Outcome
from foxtailshunt.upstreams import LeavingUpstreams

_TIMEOUT_S = 30.0
_POLL_INTERVAL_S = 0.01


class ScriptedServer:
    """An upstream whose responses are set by the scenario."""

    def __init__(self) -> None:
        self.status, self.headers = "200 OK", ""
        self.may_answer = threading.Event()
        self.may_answer.set()
        self.server = ScriptedUpstream(self._answer, closes=False)

    def _answer(self, head: bytes, number: int, total: int) -> Iterator[bytes]:
        self.may_answer.wait(_TIMEOUT_S)
        yield scripted_answer(head, self.status, self.headers)

    @property
    def received(self) -> int:
        return len(self.server.requests)

    def close(self) -> None:
        self.may_answer.set()
        self.server.close()


class LeavingSubject:
    """A sender whose memory of leaving upstreams has a simulated clock."""

    def __init__(self, names: list[str], keyed: bool) -> None:
        self.now = 1000.0
        self.upstreams = {name: ScriptedServer() for name in names}
        self.leaving = LeavingUpstreams(lambda: self.now)
        self.sender = SenderSubject(
            {name: item.server for name, item in self.upstreams.items()},
            slots=1,
            owner=names[0] if keyed else None,
            leaving=self.leaving,
        )
        self.first: Outcome | None = None
        self.outcomes: list[Outcome] = []
        self.executor = ThreadPoolExecutor()

    def wait_for_load(self, waiting: int, running: int) -> None:
        deadline = time.monotonic() + _TIMEOUT_S
        while self.sender.load() != (waiting, running):
            assert time.monotonic() < deadline, self.sender.load()
            time.sleep(_POLL_INTERVAL_S)

    def close(self) -> None:
        for item in self.upstreams.values():
            item.close()
        self.executor.shutdown()


def _subject(context: Context) -> LeavingSubject:
    return context.leaving_subject


@given("a service {kind:w} keys with the scripted upstream {names}")
@given("a service {kind:w} keys with the scripted upstreams {names}")
def _(context: Context, kind: str, names: str) -> None:
    context.leaving_subject = LeavingSubject(names.split(" and "), kind == "with")
    context.add_cleanup(context.leaving_subject.close)


@given("{name:w} responds with {status} and {headers}")
@when("{name:w} responds with {status} and {headers}")
def _(context: Context, name: str, status: str, headers: str) -> None:
    upstream = _subject(context).upstreams[name]
    upstream.status, upstream.headers = status, headers


@when("a first request is sent to {name:w}")
def _(context: Context, name: str) -> None:
    subject = _subject(context)
    others = frozenset(subject.upstreams) - {name}
    subject.first = subject.sender.send("r0", _TIMEOUT_S, others)
    assert subject.first.upstream_id == name, subject.first


@when("{count:d} further request is sent")
@when("{count:d} further requests are sent")
def _(context: Context, count: int) -> None:
    subject = _subject(context)
    subject.outcomes = [subject.sender.send(f"f{n}", _TIMEOUT_S) for n in range(count)]


@when("{duration:d} ms pass")
def _(context: Context, duration: int) -> None:
    _subject(context).now += duration / 1000


@when("{name:w} restarts")
def _(context: Context, name: str) -> None:
    _subject(context).sender.set_restarted(name)


@when("a request is held at {name:w} while another one waits")
def _(context: Context, name: str) -> None:
    subject = _subject(context)
    subject.upstreams[name].may_answer.clear()
    subject.executor.submit(subject.sender.send, "held", _TIMEOUT_S)
    subject.wait_for_load(0, 1)
    context.waiting = subject.executor.submit(subject.sender.send, "waiting", _TIMEOUT_S)
    subject.wait_for_load(1, 1)


@when("{name:w} ends the held request")
def _(context: Context, name: str) -> None:
    _subject(context).upstreams[name].may_answer.set()


@when("{count:d} upstreams have stated that they are leaving")
def _(context: Context, count: int) -> None:
    context.memory = LeavingUpstreams(lambda: 0.0)
    context.stated = [
        Upstream(f"u{n}", "counter", ("h", 1), "zone", 1, False, 0.0, 0) for n in range(count)
    ]
    for upstream in context.stated:
        context.memory.record(upstream)


@given("both upstreams say in their answers that they are leaving")
def _(context: Context) -> None:
    context.requests.desk.says_leaving = context.requests.counter.says_leaving = True


@when('callers send requests until "counter" and "desk" are refused')
def _(context: Context) -> None:
    scenario = context.requests
    for path in ("/issue/x", "/look/x"):
        assert scenario.send(path).status == 200
        scenario.fleet.wait_until(
            lambda path=path: scenario.send(path).status == 503, f"{path} is refused"
        )


@when("{count:d} more requests are sent to each")
def _(context: Context, count: int) -> None:
    scenario = context.requests
    context.arrived_before = scenario.counter.arrivals, scenario.desk.arrivals
    context.refused = [
        scenario.send(path) for path in ("/issue/x", "/look/x") for _number in range(count)
    ]


@then("all of them get 503 and a Retry-After time")
def _(context: Context) -> None:
    for response in context.refused:
        assert response.status == 503 and "retry-after" in response.headers, response


@then("none of them has reached an upstream")
def _(context: Context) -> None:
    arrived = context.requests.counter.arrivals, context.requests.desk.arrivals
    assert arrived == context.arrived_before, (arrived, context.arrived_before)


@then("{name:w} has received {count:d} request")
@then("{name:w} has received {count:d} requests")
def _(context: Context, name: str, count: int) -> None:
    received = _subject(context).upstreams[name].received
    assert received == count, received


@then("{first:w} has received {one:d} request and {second:w} has received {other:d}")
def _(context: Context, first: str, one: int, second: str, other: int) -> None:
    received = {name: item.received for name, item in _subject(context).upstreams.items()}
    assert received == {first: one, second: other}, received


@then("the further requests were refused as not run with a Retry-After time")
def _(context: Context) -> None:
    for outcome in _subject(context).outcomes:
        assert outcome.family is Family.NOT_RUN and not outcome.arrived, outcome
        assert outcome.retry_after_s, outcome


@then("the first response was passed on with {name}: {value}")
def _(context: Context, name: str, value: str) -> None:
    first = _subject(context).first
    assert first.status == 200 and (name, value) in first.headers, first


@then("no upstream is remembered as leaving")
def _(context: Context) -> None:
    assert len(_subject(context).leaving) == 0


@then("the waiting request was refused as not run")
def _(context: Context) -> None:
    outcome = context.waiting.result(_TIMEOUT_S)
    assert outcome.family is Family.NOT_RUN and not outcome.arrived, outcome


@then("at most {count:d} of them are remembered, the last one among them")
def _(context: Context, count: int) -> None:
    assert 0 < len(context.memory) <= count, len(context.memory)
    assert context.memory.is_leaving(context.stated[-1])
