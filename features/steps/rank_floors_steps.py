"""Steps for the floors of lower ranks."""

from behave import given, then, when
from behave.runner import Context

from features.pool_support import PoolSimulation
from foxtailshunt.routing import RankFloor

_RANKS = {"U": 0, "C": 1, "D": 2}
_LONG_S = 60.0


def _subject(context: Context) -> PoolSimulation:
    return context.pool_simulation


@given("floors of {careful:g} for careful and {deferrable:g} for deferrable work")
def _(context: Context, careful: float, deferrable: float) -> None:
    _subject(context).pool.set_floors((RankFloor(1, careful), RankFloor(2, deferrable)))


@given("careful work takes {careful:d} ms")
def _(context: Context, careful: int) -> None:
    _subject(context).seed_latency("C", careful / 1000)


@when("{letters} wait behind one request")
def _(context: Context, letters: str) -> None:
    subject = _subject(context)
    begun = len(subject.played)
    subject.submit("first", 0, 0.0, _LONG_S)
    subject.start()
    for letter in letters:
        route = letter if letter in subject.works else "route"
        subject.submit(letter, _RANKS[letter], 0.0, _LONG_S, route)
    subject.advance(len(letters) * 0.4)
    context.in_turn = sorted(subject.played[begun + 1 :], key=lambda played: played.ended_at)


@when("{count:d} careful requests are served while nothing else waits")
def _(context: Context, count: int) -> None:
    subject = _subject(context)
    for _number in range(count):
        subject.submit("C", 1, 0.0, _LONG_S)
        subject.start()
        subject.advance(0.2)


@then("they are served as {letters}")
def _(context: Context, letters: str) -> None:
    served = "".join(played.name for played in context.in_turn)
    assert served == letters, served


@then("a careful request is among the first {count:d} served")
def _(context: Context, count: int) -> None:
    assert "C" in [played.name for played in context.in_turn[:count]]
