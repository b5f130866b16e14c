"""Steps for upstreams that ask for a pause."""

from dataclasses import replace

from behave import given, then, when
from behave.runner import Context

from features.pool_support import PoolSimulation, SimulatedRequest

_ARRIVAL_INTERVAL_S = 0.2


def _simulation(context: Context) -> PoolSimulation:
    return context.pool_simulation


def _submit(simulation: PoolSimulation, count: int, deadline_s: float) -> list[SimulatedRequest]:
    requests = []
    for number in range(count):
        requests.append(simulation.submit(f"p{number}", 1, 0.5, deadline_s))
        simulation.assign_slots()
    return requests


def _replace_upstream(simulation: PoolSimulation, number: int, **fields: object) -> None:
    simulation.upstreams[number] = replace(simulation.upstreams[number], **fields)
    simulation.pool.set_upstreams(simulation.upstreams)


@given("upstream {number:d} asks for a pause of {seconds:d} s")
@when("upstream {number:d} asks for a pause of {seconds:d} s")
@when("upstream {number:d} asks for a shorter pause of {seconds:d} s")
def _(context: Context, number: int, seconds: int) -> None:
    simulation = _simulation(context)
    simulation.pauses.record(simulation.upstreams[number], float(seconds), simulation.now)
    context.paused_at = getattr(context, "paused_at", simulation.now)
    simulation.assign_slots()


@when("{count:d} requests arrive that have {deadline:d} ms")
def _(context: Context, count: int, deadline: int) -> None:
    context.submitted = _submit(_simulation(context), count, deadline / 1000)


@when("{count:d} requests arrive one by one that have {deadline:d} ms")
def _(context: Context, count: int, deadline: int) -> None:
    simulation = _simulation(context)
    context.submitted = []
    for _number in range(count):
        context.submitted += _submit(simulation, 1, deadline / 1000)
        simulation.advance(_ARRIVAL_INTERVAL_S)
    simulation.advance(deadline / 1000)


@when("the requests in flight end")
def _(context: Context) -> None:
    _simulation(context).advance(0.5)


@when("upstream {number:d} leaves and joins again")
def _(context: Context, number: int) -> None:
    simulation = _simulation(context)
    remaining = [item for index, item in enumerate(simulation.upstreams) if index != number]
    simulation.pool.set_upstreams(remaining)
    simulation.advance(0.5)
    simulation.pool.set_upstreams(simulation.upstreams)


@when("upstream {number:d} has {slots:d} slots from now on")
def _(context: Context, number: int, slots: int) -> None:
    _replace_upstream(_simulation(context), number, slots=slots)


@when("upstream {number:d} restarts")
def _(context: Context, number: int) -> None:
    _replace_upstream(_simulation(context), number, started_ms=1)


@when("{seconds:d} s pass in the pool")
def _(context: Context, seconds: int) -> None:
    _simulation(context).advance(float(seconds))


@when("{count:d} further requests are sent that have {seconds:d} s")
def _(context: Context, count: int, seconds: int) -> None:
    subject = context.leaving_subject
    subject.outcomes = [subject.sender.send(f"f{n}", float(seconds)) for n in range(count)]


@when("a first request and then {count:d} more requests are sent to each")
def _(context: Context, count: int) -> None:
    scenario = context.requests
    context.refused = [
        scenario.send(path) for path in ("/issue/x", "/look/x") for _number in range(1 + count)
    ]


@then("all of them are refused at once with a Retry-After of at least {seconds:d} s")
def _(context: Context, seconds: int) -> None:
    for request in context.submitted:
        assert request.refusal is not None and request.refused_at == request.submitted_at, request
        assert request.refusal.retry_after_s >= seconds, request.refusal
    context.retry_after_s = max(item.refusal.retry_after_s for item in context.submitted)


@then("{count:d} requests that arrive after that time are served")
def _(context: Context, count: int) -> None:
    simulation = _simulation(context)
    simulation.advance(context.retry_after_s)
    requests = _submit(simulation, count, 1.0)
    simulation.advance(2.0)
    assert all(item.ended_at is not None for item in requests), requests


@then("all of them are served after {seconds:d} s")
def _(context: Context, seconds: int) -> None:
    simulation = _simulation(context)
    simulation.advance(6.0)
    for request in context.submitted:
        assert request.ended_at is not None and request.ended_at <= request.deadline, request
        assert request.started_at >= 1000.0 + seconds - 0.01, request


@then("those that wait are refused at once with a Retry-After of at least {seconds:d} s")
def _(context: Context, seconds: int) -> None:
    waiting = [item for item in context.submitted if not item.upstream]
    assert len(waiting) == len(context.submitted) - 2, context.submitted
    for request in waiting:
        assert request.refusal is not None and request.refused_at == context.paused_at, request
        assert request.refusal.retry_after_s >= seconds, request.refusal


@then("those that wait are served by upstream {number:d}")
def _(context: Context, number: int) -> None:
    waiting = [item for item in context.submitted if not item.upstream]
    _simulation(context).advance(3.0)
    assert len(waiting) == len(context.submitted) - 4, context.submitted
    assert all(item.upstream == f"u{number}" and item.ended_at for item in waiting), waiting


@then("upstream {number:d} has got none of them before {seconds:d} s")
def _(context: Context, number: int, seconds: int) -> None:
    got = [item for item in context.submitted if item.upstream == f"u{number}"]
    early = [item for item in got if item.started_at < context.paused_at + seconds]
    assert not early, early
    assert got, context.submitted


@then("the first request and the further ones have a Retry-After of at least {seconds:d} s")
def _(context: Context, seconds: int) -> None:
    subject = context.leaving_subject
    for outcome in (subject.first, *subject.outcomes):
        assert outcome.retry_after_s >= seconds, outcome


@then("each upstream has got exactly 1 request")
def _(context: Context) -> None:
    arrived = context.requests.counter.arrivals, context.requests.desk.arrivals
    assert arrived == (1, 1), arrived
