"""Steps for the ejection of upstreams that fail far more requests than their peers."""

from dataclasses import replace

from behave import given, then, when
from behave.runner import Context

from features.pool_support import PoolSimulation
from foxtailshunt.fleet import Upstream
from foxtailshunt.upstreams import LoadReport, OutlierDetector, RequestResult

_STEP_S = 0.01


class EjectionSubject:
    """Upstreams whose results are recorded one by one, in virtual time."""

    def __init__(self, names: list[str], slots: int) -> None:
        self.now = 100.0
        self.detector = OutlierDetector()
        self.upstreams = {
            name: Upstream(name, "counter", ("h", 1), "zone", slots, False, 0.0, 0)
            for name in names
        }
        self.publish()

    def publish(self) -> None:
        self.detector.set_upstreams(self.upstreams.values())

    def record(self, name: str, result: RequestResult, started_at: float | None = None) -> None:
        self.now += _STEP_S
        at = self.now - _STEP_S / 2 if started_at is None else started_at
        self.detector.record(name, result, at, self.now)

    def rest_s(self, name: str) -> float:
        """Return the rest of the ejection of an upstream, in seconds."""
        return max(0.0, self.detector.blocked_until(name) - self.now)

    def end_ejection(self, name: str) -> None:
        self.now += self.rest_s(name) + _STEP_S

    def max_running(self, name: str) -> int:
        return self.detector.max_running(self.upstreams[name])


class EjectionRun:
    """A simulated pool at which requests arrive evenly; counts the ejected upstreams."""

    def __init__(self, simulation: PoolSimulation) -> None:
        self.simulation = simulation
        self.most_ejected = 0

    def run(self, seconds: float, rate_per_s: float) -> None:
        simulation = self.simulation
        for number in range(int(seconds * rate_per_s)):
            simulation.submit(f"r{number}", 0, 0.25, 1.2)
            simulation.assign_slots()
            simulation.advance(1 / rate_per_s)
            ejected = simulation.pool.outliers.ejected(simulation.now)
            self.most_ejected = max(self.most_ejected, ejected)
        simulation.advance(0.5)

    def received(self, number: int) -> int:
        return sum(item.upstream == f"u{number}" for item in self.simulation.requests)

    def failed(self, number: int) -> int:
        return sum(
            item.upstream == f"u{number}" and item.failed for item in self.simulation.requests
        )


def _subject(context: Context) -> EjectionSubject:
    return context.ejection_subject


def _fail(context: Context, numbers: range, percent: float, kind: str) -> None:
    simulation = context.pool_simulation
    for number in numbers:
        simulation.failure_shares[f"u{number}"] = percent / 100
        simulation.failure_results[f"u{number}"] = RequestResult(kind)


@given("each upstream fails {percent:g} % of its requests with {kind}")
def _(context: Context, percent: float, kind: str) -> None:
    _fail(context, range(context.pool_simulation.count), percent, kind)


@given("upstream {number:d} fails {percent:g} % of its requests with {kind}")
def _(context: Context, number: int, percent: float, kind: str) -> None:
    _fail(context, range(number, number + 1), percent, kind)


@given("{failing:d} of them fail 100 % and {poor:d} of them fail 50 % of their requests with error")
def _(context: Context, failing: int, poor: int) -> None:
    context.failing, context.poor = range(failing), range(failing, failing + poor)
    _fail(context, context.failing, 100, "error")
    _fail(context, context.poor, 50, "error")


@when("requests arrive for {seconds:d} seconds at {rate:d} a second for each upstream")
def _(context: Context, seconds: int, rate: int) -> None:
    simulation = context.pool_simulation
    context.ejection_run = EjectionRun(simulation)
    context.ejection_run.run(seconds, rate * simulation.count)


@then("no upstream has been ejected")
def _(context: Context) -> None:
    ejections = context.pool_simulation.pool.outliers.ejections_by_service
    assert not ejections, ejections


@then("upstream {number:d} has failed at most {most:d} requests")
def _(context: Context, number: int, most: int) -> None:
    failed = context.ejection_run.failed(number)
    assert 0 < failed <= most, failed


@then("the others have served all that it did not get")
def _(context: Context) -> None:
    requests = context.pool_simulation.requests
    not_served = [item for item in requests if item.upstream != "u0" and item.ended_at is None]
    assert not not_served, len(not_served)


@then("at least {percent:d} % of the requests have been served")
def _(context: Context, percent: int) -> None:
    simulation = context.pool_simulation
    served, count = len(simulation.served()), len(simulation.requests)
    assert served >= percent / 100 * count, (served, count)


@then("at most {most:d} upstreams have been ejected at a time")
def _(context: Context, most: int) -> None:
    assert 0 < context.ejection_run.most_ejected <= most, context.ejection_run.most_ejected


@then("the upstreams that fail all requests got fewer of them than those that fail half")
def _(context: Context) -> None:
    run = context.ejection_run
    failing = [run.received(number) for number in context.failing]
    poor = [run.received(number) for number in context.poor]
    assert max(failing) < min(poor), (failing, poor)


@given("the upstreams {names} with {slots:d} slots are compared")
def _(context: Context, names: str, slots: int) -> None:
    context.ejection_subject = EjectionSubject(names.split(), slots)


@given("{name} has served {count:d} requests")
def _(context: Context, name: str, count: int) -> None:
    for _number in range(count):
        _subject(context).record(name, RequestResult.SERVED)


@given("{name} has failed every second of {count:d} requests")
def _(context: Context, name: str, count: int) -> None:
    for number in range(count):
        result = RequestResult.ERROR if number % 2 else RequestResult.SERVED
        _subject(context).record(name, result)


@when("{name} fails {count:d} requests in a row with {kind}")
def _(context: Context, name: str, count: int, kind: str) -> None:
    for _number in range(count):
        _subject(context).record(name, RequestResult(kind))


@when("only {name} is left")
def _(context: Context, name: str) -> None:
    subject = _subject(context)
    subject.upstreams = {name: subject.upstreams[name]}
    subject.publish()


@when("{count:d} requests from before fail when its ejection has ended")
def _(context: Context, count: int) -> None:
    subject = _subject(context)
    started_at = subject.now - _STEP_S
    subject.end_ejection("u1")
    for _number in range(count):
        subject.record("u1", RequestResult.NO_RESPONSE, started_at)


@when("{name} is replaced by its next process")
def _(context: Context, name: str) -> None:
    subject = _subject(context)
    subject.upstreams[name] = replace(subject.upstreams[name], started_ms=1)
    subject.publish()


@then("{name} may get {count:d} requests at a time")
def _(context: Context, name: str, count: int) -> None:
    subject = _subject(context)
    assert subject.rest_s(name) == 0, subject.rest_s(name)
    assert subject.max_running(name) == count, subject.max_running(name)


@then("{name} is ejected for {seconds:g} s")
def _(context: Context, name: str, seconds: float) -> None:
    rest_s = _subject(context).rest_s(name)
    # Results that arrive after the ejection do not extend it.
    assert seconds - 3 * _STEP_S < rest_s <= seconds + 1e-6, rest_s


@then("its next ejections, after one more failure each, last {lengths} s")
def _(context: Context, lengths: str) -> None:
    subject = _subject(context)
    found = []
    for _length in lengths.split():
        subject.end_ejection("u1")
        assert subject.max_running("u1") == 1
        subject.record("u1", RequestResult.ERROR)
        found.append(subject.rest_s("u1"))
    expected = [float(length) for length in lengths.split()]
    assert all(abs(a - b) < 1e-6 for a, b in zip(found, expected, strict=True)), found


@then("afterwards it may get these requests at a time as it serves them: {limits}")
def _(context: Context, limits: str) -> None:
    subject = _subject(context)
    subject.end_ejection("u1")
    found = []
    for _limit in limits.split():
        found.append(subject.max_running("u1"))
        subject.record("u1", RequestResult.SERVED)
    assert found == [int(limit) for limit in limits.split()], found


@when("upstream {number:d} reports that work takes {percent:d} % of the usual time")
def _(context: Context, number: int, percent: int) -> None:
    report = LoadReport(1, 0, 4, percent)
    context.pool_simulation.latencies.record_load(f"u{number}", report)


@then("upstream {number:d} has got all of them")
def _(context: Context, number: int) -> None:
    found = [item.upstream for item in context.submitted]
    assert found == [f"u{number}"] * len(found), found
