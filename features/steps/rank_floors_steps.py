"""Steps for the minimum shares of lower ranks."""

from behave import given, then, when
from behave.runner import Context

from features.pool_support import PoolSimulation
from foxtailshunt.admission import OverloadPolicy
from foxtailshunt.routing import RankFloor

_RANKS = {"U": 0, "C": 1, "D": 2}
_LONG_DEADLINE_S = 60.0


def _simulation(context: Context) -> PoolSimulation:
    return context.pool_simulation


@given("a by-cost pool of one upstream with 1 slot and requests of {latency:d} ms")
def _(context: Context, latency: int) -> None:
    context.pool_simulation = PoolSimulation(1, 1, latency / 1000, policy=OverloadPolicy.BY_COST)


@given("floors of {careful:g} for careful and {deferrable:g} for deferrable work")
def _(context: Context, careful: float, deferrable: float) -> None:
    _simulation(context).pool.set_floors((RankFloor(1, careful), RankFloor(2, deferrable)))


@given("careful work takes {careful:d} ms")
def _(context: Context, careful: int) -> None:
    _simulation(context).seed_latency("C", careful / 1000)


@when("{letters} requests are queued behind another request")
def _(context: Context, letters: str) -> None:
    simulation = _simulation(context)
    first_index = len(simulation.requests)
    simulation.submit("first", 0, 0.0, _LONG_DEADLINE_S)
    simulation.assign_slots()
    for letter in letters:
        route = letter if letter in simulation.route_latencies_s else "route"
        simulation.submit(letter, _RANKS[letter], 0.0, _LONG_DEADLINE_S, route)
    simulation.advance(len(letters) * 0.4)
    context.served_requests = sorted(
        simulation.requests[first_index + 1 :], key=lambda request: request.ended_at
    )


@when("{count:d} careful requests are served while no other request is queued")
def _(context: Context, count: int) -> None:
    simulation = _simulation(context)
    for _number in range(count):
        simulation.submit("C", 1, 0.0, _LONG_DEADLINE_S)
        simulation.assign_slots()
        simulation.advance(0.2)


@then("they are served as {letters}")
def _(context: Context, letters: str) -> None:
    served = "".join(request.name for request in context.served_requests)
    assert served == letters, served


@then("a careful request is among the first {count:d} served")
def _(context: Context, count: int) -> None:
    assert "C" in [request.name for request in context.served_requests[:count]]
