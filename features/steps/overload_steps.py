"""Steps for the simulated overload of a pool."""

from behave import given, then, when
from behave.runner import Context

from features.overload_support import Kind, OverloadSimulation
from foxtailshunt.admission import Decision, OverloadPolicy, QueueEntryState

#: The kinds of request of deployment P: rank, requests per second, work, objective, patience and
#: timeout in seconds, idempotent.
_STOCK_CHECK = Kind("stock check", 0, 615, 0.130, 0.407, 2.543, 1.2, True)
_ORDER = Kind("order", 1, 205, 0.170, 0.610, 3.049, 1.5, False)
_CATALOGUE = Kind("catalogue", 1, 194, 0.322, 1.012, 6.025, 3.0, True)
_STATEMENT = Kind("statement", 2, 137, 0.524, 3.017, 10.014, 5.0, True)
#: Kinds of request of each service, and the base speeds of the upstreams of one of its pools.
_SERVICES = {
    "T": ([_STOCK_CHECK, _ORDER], [0.6, 1.0, 1.6], False),
    "L": ([_CATALOGUE, _STATEMENT], [1.0], True),
}
_TURNED_AWAY = (Decision.DELAYED, Decision.DISPLACED, Decision.REFUSED, Decision.EXPIRED)
_MAX_EXPIRED, _MIN_WORK, _RECOVERY_S = 0.02, 0.95, 1.0


class OverloadSubject:
    """A simulated overload and its measures.

    :param service: name of the service.
    :param policy: the policy of the pool.
    :param seed: seed of the random numbers.
    """

    def __init__(self, service: str, policy: OverloadPolicy, seed: int) -> None:
        self._kinds, self._factors, self._keyed = _SERVICES[service]
        self._policy, self._seed = policy, seed

    def run(self, load: float) -> None:
        self.simulation = OverloadSimulation(
            self._policy, self._kinds, self._factors, self._seed, load, self._keyed
        )
        self.simulation.run()

    def share_expired(self) -> float:
        admitted = [item for item in self.simulation.attempts if item.admitted]
        expired = [item for item in admitted if item.state is QueueEntryState.EXPIRED]
        return len(expired) / len(admitted)

    def shares_served(self) -> list[float]:
        """Return the share of the callers that were answered, by kind, the most urgent first."""
        sim = self.simulation
        return [
            _share([c.answered_at is not None for c in sim.arrived(sim.begins_at, sim.ends_at, k)])
            for k in (kind.name for kind in self._kinds)
        ]

    def share_done_afterwards(self) -> float:
        """Return the share of the work that is done of callers which arrive after the overload."""
        sim = self.simulation
        callers = [
            caller
            for caller in sim.arrived(sim.ends_at + _RECOVERY_S, sim.ends_at + sim.after_s)
            if not caller.is_impatient
        ]
        done_s = sum(c.kind.work_s for c in callers if c.answered_at is not None)
        return done_s / sum(c.kind.work_s for c in callers)

    def share_turned_away(self, kind: Kind) -> float:
        """Return how often requests of a kind were delayed or refused, per attempt."""
        count = sum(self.simulation.decisions.get((item, kind.rank), 0) for item in _TURNED_AWAY)
        attempts = [a for a in self.simulation.attempts if a.caller.kind is kind]
        return count / len(attempts)


def _share(values: list[bool]) -> float:
    return sum(values) / len(values)


@given("a pool of {service:w} with the policy {policy}, and random numbers from {seed:d}")
def _(context: Context, service: str, policy: str, seed: int) -> None:
    context.overload = OverloadSubject(service, OverloadPolicy(policy), seed)


@when("callers demand {load:g} times its capacity for 8 s, and half of it before and afterwards")
def _(context: Context, load: float) -> None:
    context.overload.run(load)


@then("fewer than 2% of the admitted requests expire")
def _(context: Context) -> None:
    share = context.overload.share_expired()
    assert share < _MAX_EXPIRED, share


@then("more than 2% of the admitted requests expire")
def _(context: Context) -> None:
    share = context.overload.share_expired()
    assert share > _MAX_EXPIRED, share


@then("no work is done that was foreseeably too late at admission")
def _(context: Context) -> None:
    late = context.overload.simulation.foreseeably_late()
    assert not late, late[:3]


@then("the work done for callers is at least 95% of the capacity during the overload")
def _(context: Context) -> None:
    sim = context.overload.simulation
    # The queue fills in the first second.
    share = sim.useful_share(sim.begins_at + 1.0, sim.ends_at)
    assert share >= _MIN_WORK, share


@then("the work done for callers is at least 95% of the capacity in the 2 s after the overload")
def _(context: Context) -> None:
    sim = context.overload.simulation
    share = sim.useful_share(sim.ends_at, sim.ends_at + 2.0)
    assert share >= _MIN_WORK, share


@then("the work of callers that arrive from 1 s after the overload and honour Retry-After is done")
def _(context: Context) -> None:
    share = context.overload.share_done_afterwards()
    assert share >= _MIN_WORK, share


@then("no kind is served less often than a less urgent one")
def _(context: Context) -> None:
    shares = context.overload.shares_served()
    assert shares == sorted(shares, reverse=True), shares


@then("some kind is served less often than a less urgent one")
def _(context: Context) -> None:
    shares = context.overload.shares_served()
    assert shares != sorted(shares, reverse=True), shares


@then("statements are delayed, displaced or refused more often than the catalogue")
def _(context: Context) -> None:
    statements = context.overload.share_turned_away(_STATEMENT)
    catalogue = context.overload.share_turned_away(_CATALOGUE)
    assert statements > catalogue, (statements, catalogue)


@then("admitted statements that end after the overload meet their deadline")
def _(context: Context) -> None:
    sim = context.overload.simulation
    ended = [
        item
        for item in sim.attempts
        if item.caller.kind is _STATEMENT and item.started_at and item.ended_at > sim.ends_at
    ]
    assert ended and all(item.useful for item in ended), ended
