"""Steps that simulate load on a slot pool."""

from behave import given, then, when
from behave.runner import Context

from features.pool_support import PoolSimulation
from foxtailshunt.upstreams import LatencyEstimator


def _simulation(context: Context) -> PoolSimulation:
    return context.pool_simulation


@given("a pool of one upstream with {slots:d} slot and requests of {latency:d} ms")
@given("a pool of one upstream with {slots:d} slots and requests of {latency:d} ms")
def _(context: Context, slots: int, latency: int) -> None:
    context.pool_simulation = PoolSimulation(1, slots, latency / 1000)


@given("a pool of {count:d} upstreams with {slots:d} slots and requests of {latency:d} ms")
def _(context: Context, count: int, slots: int, latency: int) -> None:
    context.pool_simulation = PoolSimulation(count, slots, latency / 1000)


@given("upstream {number:d} takes {factor:d} times as long")
def _(context: Context, number: int, factor: int) -> None:
    _simulation(context).latency_factors[f"u{number}"] = float(factor)


@given("upstream {number:d} takes {factor:d} times as long from now on")
def _(context: Context, number: int, factor: int) -> None:
    _simulation(context).latency_factors[f"u{number}"] = float(factor)


@given("upstream {number:d} fails each request immediately for {seconds:d} seconds")
def _(context: Context, number: int, seconds: int) -> None:
    _simulation(context).fails_until[f"u{number}"] = _simulation(context).now + seconds


@when("these requests arrive at the same time")
def _(context: Context) -> None:
    simulation = _simulation(context)
    for row in context.table:
        latency_objective_s, deadline_s = (
            int(row["objective ms"]) / 1000,
            int(row["deadline ms"]) / 1000,
        )
        simulation.submit(row["name"], int(row["rank"]), latency_objective_s, deadline_s)
        if len(simulation.requests) == 1:
            simulation.assign_slots()
    simulation.advance(3.0)


@when("{count:d} requests with a deadline of {deadline:d} ms arrive at the same time")
def _(context: Context, count: int, deadline: int) -> None:
    simulation = _simulation(context)
    for number in range(count):
        simulation.submit(f"r{number}", 1, 0.5, deadline / 1000)
        simulation.assign_slots()
    context.refused = [request for request in simulation.requests if request.refusal is not None]
    if not any(step.name.startswith("the refused requests") for step in context.scenario.steps):
        simulation.advance(deadline / 1000 + 1)


@when(
    "{count:d} requests of rank {rank:d} with a deadline of {deadline:d} ms arrive at the same time"
)
def _(context: Context, count: int, rank: int, deadline: int) -> None:
    simulation = _simulation(context)
    for number in range(count):
        simulation.submit(f"r{number}", rank, 0.02, deadline / 1000)
        simulation.assign_slots()


@when(
    "{count:d} requests of rank {rank:d} with a deadline of {deadline:d} ms "
    "arrive after {pause:d} ms"
)
def _(context: Context, count: int, rank: int, deadline: int, pause: int) -> None:
    simulation = _simulation(context)
    simulation.advance(pause / 1000)
    for number in range(count):
        simulation.submit(f"u{number}", rank, 0.02, deadline / 1000)
        simulation.assign_slots()


@when("the refused requests are retried after their Retry-After time")
def _(context: Context) -> None:
    simulation = _simulation(context)
    retries = sorted((p.refused_at + p.refusal.retry_after_s, p.deadline) for p in context.refused)
    context.retried = []
    for retry_at, deadline in retries:
        if retry_at > simulation.now:
            simulation.advance(retry_at - simulation.now)
        remaining_s = deadline + 1.5 - simulation.now
        context.retried.append(simulation.submit("back", 1, remaining_s, remaining_s))
        simulation.assign_slots()
    simulation.advance(3.0)


@when("{count:d} requests arrive within {seconds:d} seconds")
def _(context: Context, count: int, seconds: int) -> None:
    simulation = _simulation(context)
    for number in range(count):
        simulation.submit(f"r{number}", 0, 0.25, 1.2)
        simulation.assign_slots()
        simulation.advance(seconds / count)
    simulation.advance(3.0)


@when(
    "{count:d} requests arrive within {seconds:d} seconds "
    "at {upstreams:d} upstreams that process {rate:d} a second"
)
def _(context: Context, count: int, seconds: int, upstreams: int, rate: int) -> None:
    slots = 2
    context.lookups_by_deadline = {}
    for deadline_s in (0.75, 3.0):
        simulation = PoolSimulation(upstreams, slots, upstreams * slots / rate)
        for number in range(count):
            simulation.submit(f"r{number}", 0, 0.25, deadline_s)
            simulation.assign_slots()
            simulation.advance(seconds / count)
        context.lookups_by_deadline[deadline_s] = simulation.latencies.lookups


@then("a queue that is 4 times as long takes at most 1.5 times the work")
def _(context: Context) -> None:
    short, long = context.lookups_by_deadline.values()
    assert long <= 1.5 * short, (short, long)


@then("they are served in the order {names}")
def _(context: Context, names: str) -> None:
    served = sorted(_simulation(context).served(), key=lambda request: request.ended_at)
    assert [request.name for request in served] == names.split(), served


@then("between {least:d} and {most:d} of them are accepted")
def _(context: Context, least: int, most: int) -> None:
    accepted = len(_simulation(context).accepted())
    assert least <= accepted <= most, accepted


@then("all others are refused immediately with a Retry-After time")
def _(context: Context) -> None:
    for request in context.refused:
        assert request.refused_at == request.submitted_at, request
        assert request.refusal.retry_after_s > 0, request


@then("all accepted requests are served before their deadline")
def _(context: Context) -> None:
    for request in _simulation(context).accepted():
        assert request.ended_at is not None, request
        assert request.ended_at <= request.deadline, request


@then("at least 9 in 10 of the retried requests are served")
def _(context: Context) -> None:
    served = [request for request in context.retried if request.ended_at]
    assert context.retried
    assert len(served) >= 0.9 * len(context.retried), (len(served), len(context.retried))


@then("at least {least:d} of them are served before their deadline")
def _(context: Context, least: int) -> None:
    _simulation(context).advance(3.0)
    served = [
        request for request in _simulation(context).served() if request.ended_at <= request.deadline
    ]
    assert len(served) >= least, len(served)


@then("requests that expire in the queue are refused within {most:d} ms with a Retry-After time")
def _(context: Context, most: int) -> None:
    refused = [request for request in _simulation(context).requests if request.refusal is not None]
    waited = [request for request in refused if request.refused_at > request.submitted_at]
    assert waited
    for request in waited:
        assert request.refused_at - request.submitted_at < most / 1000, request
        assert request.refusal.retry_after_s > 0, request


@then("upstream {number:d} receives at most {most:d} of them")
def _(context: Context, number: int, most: int) -> None:
    received = [
        request for request in _simulation(context).requests if request.upstream == f"u{number}"
    ]
    assert len(received) <= most, len(received)


@then("upstream {number:d} fails at most {most:d} of them")
def _(context: Context, number: int, most: int) -> None:
    failed = [p for p in _simulation(context).requests if p.upstream == f"u{number}" and p.failed]
    assert 0 < len(failed) <= most, len(failed)


@then("upstream {number:d} serves some of them afterwards")
def _(context: Context, number: int) -> None:
    served = [p for p in _simulation(context).served() if p.upstream == f"u{number}"]
    assert served


@then("every upstream receives at least {least:d} of them")
def _(context: Context, least: int) -> None:
    simulation = _simulation(context)
    for number in range(simulation.count):
        received = [request for request in simulation.requests if request.upstream == f"u{number}"]
        assert len(received) >= least, (number, len(received))


@then("at least 9 in 10 of them meet their latency objective of 250 ms")
def _(context: Context) -> None:
    simulation = _simulation(context)
    in_time = [
        request
        for request in simulation.served()
        if request.ended_at <= request.latency_objective_at
    ]
    assert len(in_time) >= 0.9 * len(simulation.requests), (len(in_time), len(simulation.requests))


@when("{count:d} requests with a latency of {latency:d} ms have been recorded")
def _(context: Context, count: int, latency: int) -> None:
    context.latencies = LatencyEstimator()
    for number in range(count):
        context.latencies.record_response("route", f"u{number}", latency / 1000)


@then("the mean latency is estimated at {expected:d} ms within {tolerance:d} ms")
def _(context: Context, expected: int, tolerance: int) -> None:
    mean_ms = context.latencies.mean_latency_s("route") * 1000
    assert abs(mean_ms - expected) <= tolerance, mean_ms
