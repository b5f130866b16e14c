"""Steps for the memory of request ids, the retry budget and the load meter."""

import math

from behave import given, then, when
from behave.runner import Context
from dispatch_fakes import ManualClock

from foxtailshunt.dispatch._load_meter import LoadMeter
from foxtailshunt.dispatch._outcome import Outcome
from foxtailshunt.dispatch._request_id import issued_at
from foxtailshunt.dispatch._request_memory import RequestMemory
from foxtailshunt.dispatch._retry_budget import RetryBudget
from foxtailshunt.errors import ResultCode


class MemorySubject:
    """A memory and its clock."""

    def __init__(self, count: int, size_bytes: int) -> None:
        self.clock = ManualClock()
        self.started_at = self.clock.now()
        self.memory = RequestMemory(self.clock, count, size_bytes)

    def remember(self, request_id: str, keep_s: float, outcome: Outcome | None) -> None:
        _, entry = self.memory.claim(request_id, 0, self.clock.now() + keep_s)
        if outcome is not None:
            self.memory.finish(entry, outcome)

    def claim_after(self, request_id: str, passed_s: float) -> str:
        self.clock.time_s = self.started_at + passed_s
        claim, entry = self.memory.claim(request_id, 0, self.clock.now() + 60)
        assert (entry is None) == (claim.value == "full")
        return claim.value


@given("a memory of {count:d} requests and {size:d} bytes")
def make_memory(context: Context, count: int, size: int) -> None:
    context.memory = MemorySubject(count, size)


@when("a request is remembered for {keep:d} s and ends with {code:w}")
def remember_ended(context: Context, keep: int, code: str) -> None:
    context.memory.remember("id", keep, Outcome(ResultCode[code]))


@when("a request is remembered for {keep:d} s and does not end")
def remember_running(context: Context, keep: int) -> None:
    context.memory.remember("id", keep, None)


@when("{count:d} requests with answers of {size:d} bytes are remembered for {keep:d} s")
def remember_many(context: Context, count: int, size: int, keep: int) -> None:
    for number in range(count):
        context.memory.remember(str(number), keep, Outcome(ResultCode.OK, body=bytes(size)))


@then("its id meets {claim:w} after {passed:d} s")
def check_claim(context: Context, claim: str, passed: int) -> None:
    assert context.memory.claim_after("id", passed) == claim


@then("a new id meets {claim:w} after {passed:d} s")
def check_new_claim(context: Context, claim: str, passed: int) -> None:
    assert context.memory.claim_after("new", passed) == claim


@then("{count:d} ids are remembered")
def check_count(context: Context, count: int) -> None:
    assert context.memory.memory.count == count, context.memory.memory.count


@then("the id {request_id:S} was issued at {at}")
def check_issued(context: Context, request_id: str, at: str) -> None:
    expected = None if at == "no known time" else float(at)
    assert issued_at(request_id) == expected, issued_at(request_id)


@given("a retry budget of {ratio:g}")
def make_budget(context: Context, ratio: float) -> None:
    context.budget = RetryBudget(ratio)


@when("{successes:d} requests succeed after the budget was used up")
def succeed(context: Context, successes: int) -> None:
    while context.budget.take():
        pass
    for _ in range(successes):
        context.budget.note_success()


@then("{retries:d} retries are allowed")
def check_retries(context: Context, retries: int) -> None:
    taken = 0
    while context.budget.take():
        taken += 1
    assert taken == retries, taken


class MeterSubject:
    """A load meter and its time."""

    def __init__(self) -> None:
        self.meter = LoadMeter()
        self.now = 100.0

    def work(self, key: str, held_s: float, passed_s: float) -> None:
        self.now += passed_s
        self.meter.record(key, held_s, self.now)


@when("an upstream works {share:g} s in each of {count:d} s, half of it for key a")
def work_steadily(context: Context, share: float, count: int) -> None:
    context.meter = MeterSubject()
    for _ in range(count * 10):
        context.meter.work("a", share / 20, 0.05)
        context.meter.work("b", share / 20, 0.05)


@then("its load is {load:g} and that of key a {key_load:g}, within {bound:g}")
def check_load(context: Context, load: float, key_load: float, bound: float) -> None:
    subject = context.meter
    assert math.isclose(subject.meter.load(subject.now), load, rel_tol=bound)
    assert math.isclose(subject.meter.key_load(subject.now)["a"], key_load, rel_tol=bound)


@then("its load is below {load:g} after {passed:d} s more")
def check_decay(context: Context, load: float, passed: int) -> None:
    assert context.meter.meter.load(context.meter.now + passed) < load


@when("{count:d} requests of 10 ms come for keys of their own and {hot:d} for key hot")
def work_for_many(context: Context, count: int, hot: int) -> None:
    context.meter = MeterSubject()
    for number in range(count):
        context.meter.work(f"key-{number}", 0.01, 0.001)
        if number % (count // hot) == 0:
            context.meter.work("hot", 0.01, 0.001)


@then("key hot is reported with the highest load")
def check_hottest(context: Context) -> None:
    loads = context.meter.meter.key_load(context.meter.now)
    assert max(loads, key=loads.get) == "hot", loads


@then("at most {count:d} keys are reported")
def check_reported(context: Context, count: int) -> None:
    assert len(context.meter.meter.key_load(context.meter.now)) <= count
