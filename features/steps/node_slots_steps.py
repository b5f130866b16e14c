"""Steps that play loads on a pool of slots."""

from behave import given, then, when
from behave.runner import Context

from features.pool_support import PoolSimulation
from foxtailshunt.relay import LatencyEstimator


def _subject(context: Context) -> PoolSimulation:
    return context.pool_simulation


@given("a pool of one upstream with {slots:d} slot and requests of {work:d} ms")
@given("a pool of one upstream with {slots:d} slots and requests of {work:d} ms")
def _(context: Context, slots: int, work: int) -> None:
    context.pool_simulation = PoolSimulation(1, slots, work / 1000)


@given("a pool of {count:d} upstreams with {slots:d} slots and requests of {work:d} ms")
def _(context: Context, count: int, slots: int, work: int) -> None:
    context.pool_simulation = PoolSimulation(count, slots, work / 1000)


@given("upstream {number:d} takes {times:d} times as long")
def _(context: Context, number: int, times: int) -> None:
    _subject(context).slowness[f"u{number}"] = float(times)


@given("upstream {number:d} takes {times:d} times as long from now on")
def _(context: Context, number: int, times: int) -> None:
    _subject(context).slowness[f"u{number}"] = float(times)


@given("upstream {number:d} fails each request at once for {seconds:d} seconds")
def _(context: Context, number: int, seconds: int) -> None:
    _subject(context).fails_until[f"u{number}"] = _subject(context).now + seconds


@when("these requests come together")
def _(context: Context) -> None:
    subject = _subject(context)
    for row in context.table:
        latency_objective_s, deadline_s = int(row["aim ms"]) / 1000, int(row["deadline ms"]) / 1000
        subject.submit(row["name"], int(row["rank"]), latency_objective_s, deadline_s)
        if len(subject.played) == 1:
            subject.start()
    subject.advance(3.0)


@when("{count:d} requests with a deadline of {deadline:d} ms come together")
def _(context: Context, count: int, deadline: int) -> None:
    subject = _subject(context)
    for number in range(count):
        subject.submit(f"r{number}", 1, 0.5, deadline / 1000)
        subject.start()
    context.refused = [played for played in subject.played if played.refusal is not None]
    if not any(step.name.startswith("the refused ones") for step in context.scenario.steps):
        subject.advance(deadline / 1000 + 1)


@when("{count:d} requests of rank {rank:d} with a deadline of {deadline:d} ms come together")
def _(context: Context, count: int, rank: int, deadline: int) -> None:
    subject = _subject(context)
    for number in range(count):
        subject.submit(f"r{number}", rank, 0.02, deadline / 1000)
        subject.start()


@when(
    "{count:d} requests of rank {rank:d} with a deadline of {deadline:d} ms come after {pause:d} ms"
)
def _(context: Context, count: int, rank: int, deadline: int, pause: int) -> None:
    subject = _subject(context)
    subject.advance(pause / 1000)
    for number in range(count):
        subject.submit(f"u{number}", rank, 0.02, deadline / 1000)
        subject.start()


@when("the refused ones come back when they were told to")
def _(context: Context) -> None:
    subject = _subject(context)
    due = sorted((p.refused_at + p.refusal.retry_after_s, p.deadline) for p in context.refused)
    context.came_back = []
    for moment, deadline in due:
        if moment > subject.now:
            subject.advance(moment - subject.now)
        left_s = deadline + 1.5 - subject.now
        context.came_back.append(subject.submit("back", 1, left_s, left_s))
        subject.start()
    subject.advance(3.0)


@when("{count:d} requests come in {seconds:d} seconds")
def _(context: Context, count: int, seconds: int) -> None:
    subject = _subject(context)
    for number in range(count):
        subject.submit(f"r{number}", 0, 0.25, 1.2)
        subject.start()
        subject.advance(seconds / count)
    subject.advance(3.0)


@then("they are served in the order {names}")
def _(context: Context, names: str) -> None:
    served = sorted(_subject(context).served(), key=lambda played: played.ended_at)
    assert [played.name for played in served] == names.split(), served


@then("between {least:d} and {most:d} of them are taken")
def _(context: Context, least: int, most: int) -> None:
    taken = len(_subject(context).taken())
    assert least <= taken <= most, taken


@then("all others are refused before any time has passed, with a time to come back")
def _(context: Context) -> None:
    for played in context.refused:
        assert played.refused_at == played.submitted_at, played
        assert played.refusal.retry_after_s > 0, played


@then("all that were taken are served in time")
def _(context: Context) -> None:
    for played in _subject(context).taken():
        assert played.ended_at is not None, played
        assert played.ended_at <= played.deadline, played


@then("at least 9 in 10 of those that came back are served")
def _(context: Context) -> None:
    served = [played for played in context.came_back if played.ended_at]
    assert context.came_back
    assert len(served) >= 0.9 * len(context.came_back), (len(served), len(context.came_back))


@then("at least {least:d} of them are served in time")
def _(context: Context, least: int) -> None:
    _subject(context).advance(3.0)
    served = [played for played in _subject(context).served() if played.ended_at <= played.deadline]
    assert len(served) >= least, len(served)


@then(
    "whoever is refused after waiting is told before {most:d} ms have passed, "
    "with a time to come back"
)
def _(context: Context, most: int) -> None:
    refused = [played for played in _subject(context).played if played.refusal is not None]
    waited = [played for played in refused if played.refused_at > played.submitted_at]
    assert waited
    for played in waited:
        assert played.refused_at - played.submitted_at < most / 1000, played
        assert played.refusal.retry_after_s > 0, played


@then("upstream {number:d} runs at most {most:d} of them")
def _(context: Context, number: int, most: int) -> None:
    ran = [played for played in _subject(context).played if played.upstream == f"u{number}"]
    assert len(ran) <= most, len(ran)


@then("upstream {number:d} fails at most {most:d} of them")
def _(context: Context, number: int, most: int) -> None:
    failed = [p for p in _subject(context).played if p.upstream == f"u{number}" and p.failed]
    assert 0 < len(failed) <= most, len(failed)


@then("upstream {number:d} serves some of them afterwards")
def _(context: Context, number: int) -> None:
    served = [p for p in _subject(context).served() if p.upstream == f"u{number}"]
    assert served


@then("every upstream runs at least {least:d} of them")
def _(context: Context, least: int) -> None:
    subject = _subject(context)
    for number in range(subject.count):
        ran = [played for played in subject.played if played.upstream == f"u{number}"]
        assert len(ran) >= least, (number, len(ran))


@then("at least 9 in 10 of them meet their aim of 250 ms")
def _(context: Context) -> None:
    subject = _subject(context)
    met = [played for played in subject.served() if played.ended_at <= played.latency_objective_at]
    assert len(met) >= 0.9 * len(subject.played), (len(met), len(subject.played))


@when("{count:d} requests of {taken:d} ms have been answered")
def _(context: Context, count: int, taken: int) -> None:
    context.paces = LatencyEstimator()
    for number in range(count):
        context.paces.record_response("route", f"u{number}", taken / 1000)


@then("a request is expected to take {expected:d} ms, give or take {within:d}")
def _(context: Context, expected: int, within: int) -> None:
    work_ms = context.paces.mean_latency_s("route") * 1000
    assert abs(work_ms - expected) <= within, work_ms
