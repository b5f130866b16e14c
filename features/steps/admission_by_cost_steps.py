"""Steps for the decisions of the policy by-cost."""

from behave import given, then, when
from behave.runner import Context

from features.by_cost_support import STEP_S, ByCostSubject
from foxtailshunt.admission import Call, QueueEntryState


def _subject(context: Context) -> ByCostSubject:
    return context.by_cost


def _expect(names: str, found: list[str]) -> None:
    expected = [] if names == "none" else names.split()
    assert sorted(found) == expected, found


@given("a by-cost pool of 1 upstream with {slots:d} slot, busy for {busy:d} ms")
def _(context: Context, slots: int, busy: int) -> None:
    context.by_cost = ByCostSubject(slots, busy / 1000)


@given(
    "a by-cost pool of 1 upstream with {slots:d} slots that may start {rate:d} requests a second"
)
def _(context: Context, slots: int, rate: int) -> None:
    context.by_cost = ByCostSubject(slots, starts_per_s=rate)


@when("the requests {requests} arrive at the same time")
def _(context: Context, requests: str) -> None:
    for text in requests.split():
        _subject(context).submit_text(text)
    # Requests that arrive at the same time are decided on within some milliseconds.
    _subject(context).advance(STEP_S)


@when("the request {request:S} arrives")
def _(context: Context, request: str) -> None:
    _subject(context).submit_text(request)
    _subject(context).advance(STEP_S)


@when("requests of rank 0 and {work:d} ms arrive every {interval:d} ms for {seconds:d} s")
def _(context: Context, work: int, interval: int, seconds: int) -> None:
    for _number in range(seconds * 1000 // interval):
        _subject(context).submit("flood", 0, work, 0.4, 1.2)
        _subject(context).advance(interval / 1000)


@when("{count:d} requests that need 100 ms and have 300 ms of {patience:d} arrive at the same time")
def _(context: Context, count: int, patience: int) -> None:
    for number in range(count):
        _subject(context).submit(f"r{number}", 0, 100, 0.15, 0.3, patience / 1000 + number / 10)
    _subject(context).advance(STEP_S)


@when("{count:d} requests that need 100 ms and have 600 ms arrive at the same time")
@when("{count:d} more of them arrive")
def _(context: Context, count: int) -> None:
    for number in range(count):
        _subject(context).submit(f"r{number}", 0, 100, 0.6, 0.75)


@when("the upstream leaves")
def _(context: Context) -> None:
    _subject(context).pool.set_upstreams([])
    _subject(context).advance(0.2)


def _return_after(subject: ByCostSubject, name: str, wait_s: float) -> None:
    first = subject.find(name)
    returns_at = (first.decided_at or subject.now) + wait_s
    subject.advance(max(0.0, returns_at - subject.now))
    call = first.entry.call
    left_s = first.patience_s - (subject.now - first.entry.queued_at)
    objective_s = call.latency_objective_at - first.entry.queued_at
    deadline_s = call.deadline - first.entry.queued_at
    subject.submit(name, call.rank, int(call.route), objective_s, deadline_s, left_s)


@when("second returns at once, and first returns after its Retry-After time")
def _(context: Context) -> None:
    subject = _subject(context)
    _return_after(subject, "second", 0.02)
    subject.advance(STEP_S)
    context.returned_early = subject.find("second")
    _return_after(subject, "first", subject.find("first").entry.refusal.retry_after_s)
    subject.advance(STEP_S)


@when("r returns after its Retry-After time, with a new request that can be on time")
def _(context: Context) -> None:
    subject = _subject(context)
    retry_after_s = subject.find("r").entry.refusal.retry_after_s
    subject.advance(retry_after_s - 0.03)
    subject.submit("other", 0, 100, 1.0, 3.0)
    subject.requests.pop()
    _return_after(subject, "r", retry_after_s)
    subject.submit("new", 0, 100, 0.5, 3.0)


@when("8 ms later another caller sends the same request")
def _(context: Context) -> None:
    subject = _subject(context)
    subject.advance(0.003)
    subject.submit("other", 0, 100, 0.3, 0.4, 9.0)


@then("the requests that are delayed are: {names}")
def _(context: Context, names: str) -> None:
    _expect(names, [item.name for item in _subject(context).requests if item.entry.delayed])


@then("the requests that are displaced are: {names}")
def _(context: Context, names: str) -> None:
    _expect(names, _subject(context).names(QueueEntryState.DISPLACED))


@then("the requests that are refused are: {names}")
def _(context: Context, names: str) -> None:
    _expect(names, _subject(context).names(QueueEntryState.REFUSED))


@then("the requests of rank 1 that are refused are: {names}")
def _(context: Context, names: str) -> None:
    refused = [
        item.name
        for item in _subject(context).requests
        if item.entry.call.rank == 1 and item.state is QueueEntryState.REFUSED
    ]
    _expect(names, refused)


@then("the requests that leave the queue are: {names}")
def _(context: Context, names: str) -> None:
    _expect(names, _subject(context).names(QueueEntryState.EXPIRED))


@then("the pool serves them in the order {names}")
def _(context: Context, names: str) -> None:
    _subject(context).advance(3.0)
    ran = [item for item in _subject(context).requests if item.started_at is not None]
    order = [item.name for item in sorted(ran, key=lambda item: item.started_at)]
    assert order == names.split(), order


@then("displaced requests were answered at once, with a Retry-After within a third of their time")
def _(context: Context) -> None:
    subject = _subject(context)
    arrived_at = subject.requests[-1].entry.queued_at
    for item in subject.requests:
        if item.state is QueueEntryState.DISPLACED:
            assert item.decided_at <= arrived_at + STEP_S, item
            left_s = item.entry.call.caller_deadline - item.decided_at
            assert 0 < item.entry.refusal.retry_after_s <= left_s / 3 + 1e-9, item


@then("all others end before their deadline")
def _(context: Context) -> None:
    subject = _subject(context)
    subject.advance(3.0)
    left = [item for item in subject.requests if item.state is not QueueEntryState.DISPLACED]
    for item in left:
        assert item.started_at is not None, item
        assert item.started_at + item.entry.work_s <= item.entry.call.deadline, item


@then("a request of rank 1 that is late is expected to wait 1.5 to 3 times as long as without them")
def _(context: Context) -> None:
    waits = []
    for subject in (_subject(context), ByCostSubject(1)):
        subject.advance(0.5 if subject.pool.running else 0.0)
        subject.submit("blocker", 0, 200, 0.0, 60.0)
        late = subject.submit("late", 1, 100, 0.0, 60.0)
        subject.advance(STEP_S)
        waits.append(late.entry.expected_wait_s)
    assert 1.5 <= waits[0] / waits[1] <= 3.0, waits


@then("it is refused with a Retry-After of {least:d} to {most:d} ms")
def _(context: Context, least: int, most: int) -> None:
    request = _subject(context).requests[-1]
    assert request.state is QueueEntryState.REFUSED, request
    assert least <= request.entry.refusal.retry_after_s * 1000 <= most, request.entry.refusal


@then("their callers return at least {least:d} ms apart")
def _(context: Context, least: int) -> None:
    times = [
        item.decided_at + item.entry.refusal.retry_after_s for item in context.by_cost.requests
    ]
    gaps_ms = [1000 * (b - a) for a, b in zip(times, times[1:], strict=False)]
    assert all(gap >= least for gap in gaps_ms), gaps_ms


@then("the first one is admitted, and the second one has been refused again")
def _(context: Context) -> None:
    assert context.returned_early.state is QueueEntryState.REFUSED, context.returned_early
    _subject(context).advance(1.0)
    first = _subject(context).find("first")
    assert first.started_at is not None, first


@then("it is not recognized as the first one")
def _(context: Context) -> None:
    request = _subject(context).requests[-1]
    assert request.entry.objective_at == request.entry.call.latency_objective_at, request


@then("{count:d} of them are admitted, and they start {interval:d} ms apart")
def _(context: Context, count: int, interval: int) -> None:
    subject = _subject(context)
    subject.advance(2.0)
    starts = sorted(item.started_at for item in subject.requests if item.started_at is not None)
    assert len(starts) == count, (starts, subject.decisions)
    gaps_ms = [1000 * (b - a) for a, b in zip(starts, starts[1:], strict=False)]
    assert all(interval - 1 <= gap <= interval + 2 * 1000 * STEP_S for gap in gaps_ms), gaps_ms


@then(
    "a shed request with an objective of {objective:d} ms of {patience:d} "
    "may return in {least:d} to {most:d} ms"
)
def _(context: Context, objective: int, patience: int, least: int, most: int) -> None:
    subject = _subject(context)
    call = Call(
        "shed", "desk", None, None, "GET", "/", (), b"", subject.now + 1.2,
        subject.now + objective / 1000, 0, "100", caller_deadline=subject.now + patience / 1000,
    )  # fmt: skip
    retry_after_s = subject.pool.shed_retry_after_s(call, subject.now)
    assert least <= retry_after_s * 1000 <= most, retry_after_s


@when("{count:d} requests arrive in {seconds:d} s at a by-cost pool that serves {rate:d} a second")
def _(context: Context, count: int, seconds: int, rate: int) -> None:
    subject = context.by_cost = ByCostSubject(rate // 5)
    state = subject.pool._policy
    planned = context.planned = []
    replan = state._replan

    def count_planned(now: float) -> None:
        planned.append(len(state.waiting))
        replan(now)

    state._replan = count_planned
    for number in range(count):
        subject.submit(f"r{number}", number % 3, 200, 4.0, 6.0, 12.0)
        subject.advance(seconds / count)


@then("at most {most:d} queued requests a second are planned")
def _(context: Context, most: int) -> None:
    assert sum(context.planned) <= 2 * most, sum(context.planned)
    assert max(context.planned) > 80, max(context.planned)


@then("every request is admitted or refused within {most:d} ms")
def _(context: Context, most: int) -> None:
    subject = _subject(context)
    undecided = [item for item in subject.requests if item.entry in subject.pool._policy._new]
    assert all(subject.now - item.entry.queued_at <= most / 1000 for item in undecided), undecided
    for item in subject.requests:
        if item.state is QueueEntryState.REFUSED:
            assert item.decided_at - item.entry.queued_at <= most / 1000, item
