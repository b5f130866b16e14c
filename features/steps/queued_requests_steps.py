"""Steps for requests that are queued while their upstreams change."""

import threading
import time
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor

from behave import given, then, when
from behave.runner import Context

from features.scripted_upstream import ScriptedUpstream, SenderSubject, answer
from foxtailshunt.errors import Family
from foxtailshunt.relay import Outcome

_TIMEOUT_S = 30.0
_POLL_INTERVAL_S = 0.01


class BusyUpstream:
    """An upstream that works on its first request until told otherwise."""

    def __init__(self) -> None:
        self.may_answer = threading.Event()
        self.server = ScriptedUpstream(self._answer, closes=False)

    def _answer(self, head: bytes, number: int, total: int) -> Iterator[bytes]:
        self.may_answer.wait(_TIMEOUT_S)
        yield answer(head)

    def close(self) -> None:
        self.may_answer.set()
        self.server.close()


class QueueSubject:
    """Two upstreams with one slot each, a request at each of them and one in the queue."""

    def __init__(self) -> None:
        self.upstreams = {name: BusyUpstream() for name in ("u1", "u2")}
        servers = {name: item.server for name, item in self.upstreams.items()}
        self.sender = SenderSubject(servers, slots=1)
        self._executor = ThreadPoolExecutor()
        self.sent = [self._send("r1"), self._send("r2")]
        self._wait_for_load(0, 2)
        self.queued = self._send("r3")
        self._wait_for_load(1, 2)

    def _send(self, request_id: str) -> Future[Outcome]:
        return self._executor.submit(self.sender.send, request_id, _TIMEOUT_S)

    def _wait_for_load(self, waiting: int, running: int) -> None:
        deadline = time.monotonic() + _TIMEOUT_S
        while self.sender.load() != (waiting, running):
            assert time.monotonic() < deadline, self.sender.load()
            time.sleep(_POLL_INTERVAL_S)

    def end_request_at(self, name: str) -> None:
        """Let the upstream answer, and wait until the sender has processed the response."""
        self.upstreams[name].may_answer.set()
        deadline = time.monotonic() + _TIMEOUT_S
        while not any(fut.done() and fut.result().upstream_id == name for fut in self.sent):
            assert time.monotonic() < deadline, name
            time.sleep(_POLL_INTERVAL_S)

    def close(self) -> None:
        for item in self.upstreams.values():
            item.close()
        self._executor.shutdown()


@given("a service without keys with the upstreams u1 and u2, both busy, and a queued request")
def _(context: Context) -> None:
    context.queue = QueueSubject()
    context.add_cleanup(context.queue.close)


@when("{name:w} begins to leave")
def _(context: Context, name: str) -> None:
    context.queue.sender.set_leaving(name)


@when("{name:w} ends its request")
@then("{name:w} ends its request")
def _(context: Context, name: str) -> None:
    context.queue.end_request_at(name)


@then("the queued request was answered by {name:w}")
def _(context: Context, name: str) -> None:
    outcome = context.queue.queued.result(_TIMEOUT_S)
    assert (outcome.family, outcome.upstream_id) == (Family.RAN, name), outcome


@then("the queued request was refused as not run")
def _(context: Context) -> None:
    outcome = context.queue.queued.result(_TIMEOUT_S)
    assert outcome.family is Family.NOT_RUN, outcome
    assert sum(len(item.server.requests) for item in context.queue.upstreams.values()) == 2
