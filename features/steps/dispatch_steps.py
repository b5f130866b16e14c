"""Steps for the dispatch service."""

import itertools
import json
import threading
import time
from collections.abc import Callable
from dataclasses import replace

from behave import given, then, when
from behave.runner import Context
from dispatch_fakes import FENCE, FakeSendRight, FakeUpstream, ManualClock, ManualTimer

from foxtailshunt.dispatch import DispatchService
from foxtailshunt.errors import ResultCode
from foxtailshunt.membership import View
from foxtailshunt.ownership import Fence, Table, UpstreamRow, table_to_json
from foxtailshunt.protocol import CancelRequest, ExecuteReply, ExecuteRequest, FenceMessage
from foxtailshunt.telemetry import Metrics

_UPSTREAM = "desk-1"
_SKEW_S = 2.0
_SLOT = 3
_BOUND_S = 30.0
_POLL_S = 0.002


def _document(slots: int, checks_fences: bool) -> str:
    address = {"id": _UPSTREAM, "zone": "ba-ridge", "address": "127.0.0.1:1"}
    operations = [
        {"name": "check", "method": "GET", "path": "/c/{key}", "rank": "urgent"},
        {"name": "issue", "method": "POST", "path": "/i/{key}", "rank": "careful"},
    ]
    for operation in operations:
        operation |= {"idempotent": operation["name"] == "check", "deadline_ms": 1000}
    service = {
        "name": "desk",
        "slots": 8,
        "upstreams": [address | {"checks_fences": checks_fences}],
        "operations": operations,
        "upstream_limits": {"slots": slots, "connections": 4, "slow_start_ms": 1000},
    }
    file = {"fleet": "test", "zones": ["ba-ridge"], "services": [service]}
    return json.dumps(file | {"request_memory_s": 60.0, "request_clock_skew_s": _SKEW_S})


def uuid7(at_s: float, number: int) -> str:
    """Return a UUIDv7 of a moment.

    :param at_s: the moment in seconds since the epoch.
    :param number: tells ids of one moment apart.
    """
    digits = f"{round(at_s * 1000):012x}7000b000{number:012x}"
    return "-".join((digits[:8], digits[8:12], digits[12:16], digits[16:20], digits[20:]))


class DispatchSubject:
    """A dispatcher with fakes at its interfaces, and the request that comes next."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.timer = ManualTimer()
        self.right = FakeSendRight(self.clock)
        self.upstream = FakeUpstream(self.clock, self.right)
        self.metrics = Metrics()
        self.view = View(self.metrics)
        self.row = UpstreamRow(
            _UPSTREAM,
            "desk",
            ("127.0.0.1", 1),
            FENCE,
            frozenset(range(8)),
            frozenset(),
            frozenset(),
            ("i1",),
            False,
        )
        self.configure(1, True)
        self.put_row()
        self.service = self.make_service()
        self.wait_s(_SKEW_S + 1)
        self.numbers = itertools.count(1)
        self.request_id = self.next_id()
        self.drawn_by_entry = False
        self.upstream_id = _UPSTREAM
        self.replies: list[ExecuteReply] = []
        self.threads: list[threading.Thread] = []

    def make_service(self) -> DispatchService:
        return DispatchService(
            self.view, self.right, self.upstream, self.clock, self.metrics, self.timer, "ba-ridge"
        )

    def configure(self, slots: int, checks_fences: bool) -> None:
        self.view.accept_config(self.view.cfg_version + 1, _document(slots, checks_fences))

    def put_row(self, **changes: object) -> None:
        table = self.view.table("ba-ridge")
        fence = Fence(1, table.fence.version + 1 if table else 1)
        self.row = replace(self.row, fence=fence, **changes)
        rows = {_UPSTREAM: self.row}
        table = Table("ba-ridge", "c", fence, "w", 1, (), (), rows, ())
        assert self.view.accept_table(table_to_json(table))

    def wait_s(self, duration_s: float) -> None:
        ends_at = self.clock.time_s + duration_s
        while self.clock.time_s < ends_at:
            self.timer.tick()
            self.clock.time_s = min(ends_at, self.clock.time_s + 0.05)
        self.timer.tick()

    def next_id(self, ago_s: float = 0.0) -> str:
        return uuid7(self.clock.wall_time() - ago_s, next(self.numbers))

    def request(self, operation: str, remaining_ms: int = 1000, key: str = "k") -> ExecuteRequest:
        return ExecuteRequest(
            request_id=self.request_id,
            service_name="desk",
            operation=operation,
            rank="urgent",
            key=key,
            slot=_SLOT,
            upstream_id=self.upstream_id,
            fence=FenceMessage(1, 1),
            attempt=1,
            remaining_ms=remaining_ms,
            method="GET",
            target="/c/k",
            headers=[],
            body=b"",
            drawn_by_entry=self.drawn_by_entry,
        )

    def execute(self, req: ExecuteRequest) -> None:
        self.replies.append(self.service.execute(req))

    def execute_ticking(self, req: ExecuteRequest) -> None:
        """Execute on a thread while the clock and the timer go on."""
        replies = self.start(req)
        while not replies:
            self.timer.tick()
            self.clock.time_s += 0.02
            time.sleep(_POLL_S)
        self.replies += replies

    def codes(self) -> list[str]:
        return [ResultCode(reply.code).name for reply in self.replies]

    def start(self, req: ExecuteRequest) -> list[ExecuteReply]:
        """Execute on a thread and return the list that will hold the reply."""
        replies: list[ExecuteReply] = []
        thread = threading.Thread(
            target=lambda: replies.append(self.service.execute(req)), daemon=True
        )
        thread.start()
        self.threads.append(thread)
        return replies

    def queued(self) -> int:
        return self.service.load_of(_UPSTREAM).queued

    def join_threads(self) -> None:
        for thread in self.threads:
            thread.join(_BOUND_S)
            assert not thread.is_alive()


def _key_set(word: str) -> frozenset[str]:
    return frozenset() if word == "none" else frozenset({word})


def wait_until(condition: Callable[[], bool]) -> None:
    ends_at = time.monotonic() + _BOUND_S
    while not condition():
        assert time.monotonic() < ends_at
        time.sleep(_POLL_S)


@given("a dispatcher of one upstream")
def make_dispatcher(context: Context) -> None:
    context.dispatch = DispatchSubject()


@given("the upstream answers {attempts} and cancellations with {cancel:w}")
def script_upstream(context: Context, attempts: str, cancel: str) -> None:
    script: list[str] = []
    for word in attempts.split():
        answer, _, count = word.partition("*")
        script += [answer] * int(count or 1)
    context.dispatch.upstream.script = iter(script)
    context.dispatch.upstream.cancel_answer = cancel


@given("nothing")
def change_nothing(context: Context) -> None:
    context.remaining_ms = 1000


@given("no configuration")
def remove_configuration(context: Context) -> None:
    context.dispatch.view = View(context.dispatch.metrics)
    context.dispatch.service = context.dispatch.make_service()


@given("the dispatcher stops")
def stop_dispatcher(context: Context) -> None:
    assert context.dispatch.service.drain(0.0)


@given("no time left")
def leave_no_time(context: Context) -> None:
    context.remaining_ms = 0


@given("another upstream id")
def name_another_upstream(context: Context) -> None:
    context.dispatch.upstream_id = "desk-2"


@given("a slot that the upstream does not own")
@when("the table takes its slot from the upstream")
def take_slot(context: Context) -> None:
    subject = context.dispatch
    subject.put_row(slots=frozenset(range(8)) - {_SLOT})


@given("a request id that is no UUIDv7")
def use_other_id(context: Context) -> None:
    context.dispatch.request_id = "9f7c2b1e-0000-4000-8000-000000000000"


@given("a request id from the future")
def use_future_id(context: Context) -> None:
    context.dispatch.request_id = context.dispatch.next_id(ago_s=-_SKEW_S - 0.5)


@given("a request id older than the memory")
def use_expired_id(context: Context) -> None:
    context.dispatch.wait_s(62.0)


@given("a request id older than the right")
def use_old_id(context: Context) -> None:
    context.dispatch.request_id = context.dispatch.next_id(ago_s=30.0)


@given("a request id within the skew of the right")
def use_id_within_skew(context: Context) -> None:
    subject = context.dispatch
    lose_and_obtain(context)
    subject.wait_s(_SKEW_S - 0.2)
    subject.request_id = subject.next_id()


@given("a request id within the skew drawn by the entry")
def use_drawn_id(context: Context) -> None:
    use_id_within_skew(context)
    context.dispatch.drawn_by_entry = True


@given("the right missing for its grant for {duration:d} ms")
def delay_grant(context: Context, duration: int) -> None:
    subject = context.dispatch
    subject.right.missing_until = subject.clock.now() + duration / 1000
    context.remaining_ms = 10_000


@given("the right lapsed for {duration:d} ms")
def lapse_right(context: Context, duration: int) -> None:
    subject = context.dispatch
    subject.right.lapsed_until = subject.clock.now() + duration / 1000
    context.remaining_ms = 10_000


@given("the right closed for a handover")
def close_right(context: Context) -> None:
    context.dispatch.right.closed = True


@given("the right never held")
def never_hold(context: Context) -> None:
    subject = context.dispatch
    subject.right.held = False
    subject.service = subject.make_service()
    subject.wait_s(1.0)


@given("the right to send for key {key:w} is missing")
def miss_key(context: Context, key: str) -> None:
    context.dispatch.right.missing_keys.add((_SLOT, key))


@given("the upstream leaving for {duration:d} s")
def let_leave(context: Context, duration: int) -> None:
    context.dispatch.put_row(draining=True)
    context.dispatch.wait_s(duration)


@given("an upstream that {checks} fences and answers {answer:w} after the right lapsed")
def lapse_during_send(context: Context, checks: str, answer: str) -> None:
    context.dispatch.configure(1, checks == "checks")
    context.dispatch.upstream.script = iter([f"lapsed-{answer}"])


@given("the upstream's clock was read {ago:d} ms ago")
def read_clock(context: Context, ago: int) -> None:
    context.dispatch.right.read_ago_s = ago / 1000


@given("the upstream has {slots:d} slots")
def set_slots(context: Context, slots: int) -> None:
    context.dispatch.configure(slots, True)


@given("a request of {operation:w} is at the upstream")
def hold_request(context: Context, operation: str) -> None:
    subject = context.dispatch
    subject.upstream.script = itertools.repeat("held-ran")
    context.operation = operation
    context.first = subject.start(subject.request(operation))
    assert subject.upstream.arrivals.acquire(timeout=_BOUND_S)


@given("a request of {operation:w} waits")
@given("another request of {operation:w} waits")
def queue_request(context: Context, operation: str) -> None:
    subject = context.dispatch
    subject.request_id = subject.next_id()
    context.waiting = subject.start(subject.request(operation, remaining_ms=60_000))
    wait_until(lambda: subject.queued() == 1)


@when("a request of {operation:w} comes")
@when("a request of {operation:w} comes whose id is from before")
@when("a request of {operation:w} comes again under the same id")
def send_request(context: Context, operation: str) -> None:
    subject = context.dispatch
    subject.execute(subject.request(operation, getattr(context, "remaining_ms", 1000)))


@when("a request of {operation:w} comes while time goes on")
def send_ticking(context: Context, operation: str) -> None:
    subject = context.dispatch
    subject.execute_ticking(subject.request(operation, getattr(context, "remaining_ms", 1000)))


@when("a request of {operation:w} comes with {remaining:d} ms left")
def send_with_time(context: Context, operation: str, remaining: int) -> None:
    context.dispatch.execute(context.dispatch.request(operation, remaining))


@when("a request of {operation:w} for another key comes")
@when("a request of {operation:w} for another key comes under the same id")
def send_other_key(context: Context, operation: str) -> None:
    context.dispatch.execute(context.dispatch.request(operation, key="other"))


@when("a request of {operation:w} comes {times:d} times under one id")
def send_repeatedly(context: Context, operation: str, times: int) -> None:
    for _ in range(times):
        context.dispatch.execute(context.dispatch.request(operation))


@when("the right is lost and obtained again")
def lose_and_obtain(context: Context) -> None:
    subject = context.dispatch
    subject.right.held = False
    subject.wait_s(0.1)
    subject.right.held = True
    subject.wait_s(0.1)


@when("the process is paused for {duration:d} s")
def pause_process(context: Context, duration: int) -> None:
    context.dispatch.clock.time_s += duration


@when("the upstream gains the request's slot from another")
def gain_slot(context: Context) -> None:
    subject = context.dispatch
    subject.put_row(slots=frozenset(range(8)) - {_SLOT})
    subject.wait_s(0.1)
    subject.put_row(slots=frozenset(range(8)))
    subject.wait_s(0.1)


@when("the upstream starts anew")
def start_upstream_anew(context: Context) -> None:
    context.dispatch.right.boot_id = "second"


@when("it is repeated with {remaining:d} ms left")
def repeat_running(context: Context, remaining: int) -> None:
    subject = context.dispatch
    subject.execute(subject.request(context.operation, remaining))


@when("it is repeated with {remaining:d} ms left and the first is answered")
def repeat_and_answer(context: Context, remaining: int) -> None:
    subject = context.dispatch
    replies = subject.start(subject.request(context.operation, remaining))
    subject.upstream.answers.release()
    subject.join_threads()
    subject.replies += replies


@when("the waiting request is cancelled")
def cancel_waiting(context: Context) -> None:
    subject = context.dispatch
    req = CancelRequest(request_id=subject.request_id, upstream_id=_UPSTREAM)
    context.cancel_reply = subject.service.cancel(req)


@given("the upstream answers cancellations with {answer:w}")
def script_cancel(context: Context, answer: str) -> None:
    context.dispatch.upstream.cancel_answer = answer


@given("a request of {operation:w} is at the upstream which then refuses it")
def hold_refused(context: Context, operation: str) -> None:
    subject = context.dispatch
    subject.upstream.script = iter(["held-refused", "ran"])
    context.first = subject.start(subject.request(operation))
    assert subject.upstream.arrivals.acquire(timeout=_BOUND_S)


@when("the request at the upstream is cancelled")
def cancel_at_upstream(context: Context) -> None:
    cancel_waiting(context)


@when("an unknown request is cancelled")
def cancel_unknown(context: Context) -> None:
    cancel_waiting(context)


@when("the upstream's pins change from {b:w} to {a:w} and its excluded keys from {o:w} to {i:w}")
def change_pins(context: Context, b: str, a: str, o: str, i: str) -> None:
    subject = context.dispatch
    subject.put_row(pins=_key_set(b), excluded=_key_set(o))
    subject.wait_s(_SKEW_S + 1)
    subject.request_id = subject.next_id()
    subject.wait_s(_SKEW_S + 1)
    subject.put_row(pins=_key_set(a), excluded=_key_set(i))
    subject.wait_s(0.1)


@when("the dispatcher drains while the requests are answered")
def drain(context: Context) -> None:
    subject = context.dispatch
    subject.upstream.answers.release(2)
    assert subject.service.drain(_BOUND_S)


@then("its code is {code:w} after {sends:d} sends and {cancels:d} cancellations")
def check_code(context: Context, code: str, sends: int, cancels: int) -> None:
    subject = context.dispatch
    reply = subject.replies[-1]
    assert ResultCode(reply.code).name == code, reply
    assert reply.body == (b"whole" if code.startswith("OK") else b""), reply
    assert len(subject.upstream.sent) == sends, len(subject.upstream.sent)
    assert len(subject.upstream.cancelled) == cancels, subject.upstream.cancelled


@then("the codes are {codes} after {sends:d} sends")
def check_codes(context: Context, codes: str, sends: int) -> None:
    assert context.dispatch.codes() == codes.split(), context.dispatch.codes()
    assert len(context.dispatch.upstream.sent) == sends


@then("the repeat's code is {code:w}")
def check_repeat(context: Context, code: str) -> None:
    assert context.dispatch.codes() == [code], context.dispatch.codes()


@then("the {which:w} ends with {code:w} after {sends:d} sends")
@then("the {which:w} request ends with {code:w} after {sends:d} sends")
def check_held(context: Context, which: str, code: str, sends: int) -> None:
    subject = context.dispatch
    replies = context.first if which == "first" else context.waiting
    wait_until(lambda: bool(replies) or subject.upstream.answers.release() is not None)
    assert ResultCode(replies[0].code).name == code, replies
    assert len(subject.upstream.sent) == sends
    subject.upstream.answers.release(2)
    subject.join_threads()


@then("the cancellation's code is {code:w}")
def check_cancel(context: Context, code: str) -> None:
    assert ResultCode(context.cancel_reply.code).name == code


@then("it is sent with a deadline of {deadline:d} ms after the reading and a timeout of {t:d} ms")
def check_deadline(context: Context, deadline: int, t: int) -> None:
    sent = context.dispatch.upstream.sent[0]
    assert sent.deadline_after_reading_ms == deadline, sent
    assert round(sent.timeout_s * 1000) == t, sent


@then("{count:d} requests are in flight")
def check_in_flight(context: Context, count: int) -> None:
    load = context.dispatch.service.load_of(_UPSTREAM)
    assert load.in_flight == count, load


@then("{count:d} requests are in flight after {passed:d} ms")
def check_in_flight_later(context: Context, count: int, passed: int) -> None:
    context.dispatch.wait_s(passed / 1000)
    check_in_flight(context, count)


@then("the key {key:w} of slot {slot:d} is in flight")
def check_key_in_flight(context: Context, key: str, slot: int) -> None:
    assert context.dispatch.service.in_flight_keys(_UPSTREAM) == {(slot, key)}


@then("no key is in flight")
def check_no_key(context: Context) -> None:
    assert context.dispatch.service.in_flight_keys(_UPSTREAM) == frozenset()


@then("these are counted")
def check_counters(context: Context) -> None:
    for row in context.table:
        labels = dict(zip(("service", "rank", "code"), row["labels"].split(), strict=False))
        value = context.dispatch.metrics.counter_value(row["name"], labels)
        assert value == float(row["value"]), (row["name"], value)


@then("{count:d} requests may be in flight after {passed:d} ms")
def check_limit_later(context: Context, count: int, passed: int) -> None:
    context.dispatch.wait_s(passed / 1000)
    check_limit(context, count)


@then("{count:d} request may be in flight")
def check_limit(context: Context, count: int) -> None:
    dump = context.dispatch.service.dump()
    assert dump["upstreams"][_UPSTREAM]["limit"] == count, dump
