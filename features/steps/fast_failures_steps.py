"""Steps for upstreams that respond with server errors more quickly than others serve requests."""

import re
import threading
import time
from collections.abc import Iterator
from typing import Any

import eliot
from behave import given, then, when
from behave.runner import Context

from features.scripted_upstream import ScriptedUpstream, SenderSubject, scripted_answer
from foxtailshunt.admission import Call
from foxtailshunt.assigning import CapacityEstimator
from foxtailshunt.errors import ResultCode
from foxtailshunt.fleet import Upstream
from foxtailshunt.relay import Outcome, rate_outcome
from foxtailshunt.upstreams import RequestResult

_SLOTS = 2
_SERVING_S = 0.02
_TIMEOUT_S = 5.0
_REPORTED_AT, _SETTLING_S = 100.0, 10.0


class FastFailureSubject:
    """A sender of one upstream that fails at once and one that serves requests.

    :param response: status and reason of the responses of the upstream that fails.
    """

    def __init__(self, response: str) -> None:
        def fail(head: bytes, number: int, total: int) -> Iterator[bytes]:
            yield scripted_answer(head, response)

        def serve(head: bytes, number: int, total: int) -> Iterator[bytes]:
            time.sleep(_SERVING_S)
            yield scripted_answer(head, "200 OK")

        self.servers = {"u1": ScriptedUpstream(fail, False), "u2": ScriptedUpstream(serve, False)}
        self.sender = SenderSubject(self.servers, _SLOTS)
        self.outcomes: list[Outcome] = []
        self.logged: list[dict[str, Any]] = []
        #: Number of requests that failed because no connection was established.
        self.failed = 0

    def send(self, callers: int, requests: int) -> None:
        def call(caller: int) -> None:
            for number in range(requests):
                self.outcomes.append(self.sender.send(f"r{caller}-{number}", _TIMEOUT_S))

        threads = [threading.Thread(target=call, args=(caller,)) for caller in range(callers)]
        eliot.add_destinations(self.logged.append)
        try:
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
        finally:
            eliot.remove_destination(self.logged.append)

    def received(self, upstream_id: str) -> int:
        return len(self.servers[upstream_id].requests)

    def capacities(self) -> dict[str, float]:
        """Return the leader's estimates from the reports of the sender."""
        estimator = CapacityEstimator()
        for report in self.sender.latencies.drain_reports():
            estimator.observe(report, "zone", _REPORTED_AT)
        upstreams = [
            Upstream(name, "counter", server.address, "zone", _SLOTS, False, 0.0, 0)
            for name, server in self.servers.items()
        ]
        found = estimator.capacities("counter", upstreams, _REPORTED_AT + _SETTLING_S)
        return {name: item.work for name, item in found.items()}

    def close(self) -> None:
        for server in self.servers.values():
            server.close()


def _subject(context: Context) -> FastFailureSubject:
    return context.fast_failures


@given(
    "a sender of the upstreams u1, which responds with {response} at once, "
    "and u2, which serves requests in 20 ms"
)
def _(context: Context, response: str) -> None:
    context.fast_failures = FastFailureSubject(response)
    context.add_cleanup(context.fast_failures.close)


@when("{callers:d} callers send {requests:d} requests each")
def _(context: Context, callers: int, requests: int) -> None:
    _subject(context).send(callers, requests)


@then("u1 has received at most {most:d} of them")
def _(context: Context, most: int) -> None:
    assert _subject(context).received("u1") <= most, _subject(context).received("u1")


@then("u2 has served the others")
def _(context: Context) -> None:
    subject = _subject(context)
    served = [item for item in subject.outcomes if item.status == 200]
    # A request to an upstream that has stopped fails without being received.
    failed = max(subject.received("u1"), subject.failed)
    assert len(served) == len(subject.outcomes) - failed, len(served)
    assert subject.received("u2") == len(served)


@then("the leader's estimate of the capacity of u1 is at most that of u2")
def _(context: Context) -> None:
    capacities = _subject(context).capacities()
    assert capacities["u1"] <= capacities["u2"], capacities


@then("the sender expects at least {least:d} ms for a request")
def _(context: Context, least: int) -> None:
    mean_ms = _subject(context).sender.latencies.mean_latency_s("issue") * 1000
    assert mean_ms >= least, mean_ms


@then("the metrics count the requests that u1 has received as failures of the kind error")
def _(context: Context) -> None:
    subject = _subject(context)
    counted = subject.sender.metrics.counter_value(
        "foxtailshunt_upstream_failures_total", {"service": "counter", "kind": "error"}
    )
    assert counted == subject.received("u1") > 0, counted


@then("the log has an ejection of u1 with its failures and the shares of the others")
def _(context: Context) -> None:
    logged = _subject(context).logged
    lines = [line for line in logged if line["message_type"] == "upstream.ejected"]
    assert lines and {line["upstream"] for line in lines} == {"u1"}, logged
    assert lines[0]["failures"]["error"] >= 3, lines[0]
    assert lines[0]["other_shares"] == {"u2": 0.0}, lines[0]


@then("the health of the service shows the ejection")
def _(context: Context) -> None:
    health = _subject(context).sender.upstream_health()["counter"]
    assert health.ejections >= 1, health
    assert 0.5 < health.highest_slow_ratio < 2.0, health


@given("u1 has stopped")
def _(context: Context) -> None:
    _subject(context).servers["u1"].stop_listening()


@then("at most {most:d} of them have failed")
def _(context: Context, most: int) -> None:
    subject = _subject(context)
    failed = [item for item in subject.outcomes if item.upstream_id == "u1"]
    assert subject.received("u1") == 0
    assert 0 < len(failed) <= most, len(failed)
    subject.failed = len(failed)


@given("an outcome {text} of a request {kind:w} a key")
def _(context: Context, text: str, kind: str) -> None:
    code, _, rest = text.partition(" ")
    latencies = re.search(r"after (\d) expected", rest)
    status = re.search(r"status (\d+)", rest)
    call = Call(
        "r1", "counter", 7 if kind == "with" else None, "u1", "GET", "/", (), b"", 9.0, 9.0, 0, "r"
    )  # fmt: skip
    outcome = Outcome(
        ResultCode[code],
        "",
        status=int(status[1]) if status else 0,
        arrived="before arrival" not in rest,
    )
    elapsed_s = float(latencies[1]) if latencies else 1.0
    context.rated = rate_outcome(call, outcome, "leaves" in rest, elapsed_s, 1.0)


@then("it counts as {result:w}")
def _(context: Context, result: str) -> None:
    assert context.rated is RequestResult(result), context.rated
