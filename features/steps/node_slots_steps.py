"""Steps that play loads on a pool of slots."""

import heapq
import itertools
from dataclasses import dataclass, field

from behave import given, then, when
from behave.runner import Context

from foxtailshunt.fleet import Upstream
from foxtailshunt.relay import Call, PaceBook, Refusal, SlotPool, Ticket, TicketState
from foxtailshunt.routing import RankFloor

_STEP_S = 0.005
_FAIL_S = 0.002


@dataclass
class Played:
    """What became of one request."""

    name: str
    came_at: float
    aim_at: float
    deadline: float
    refusal: Refusal | None = None
    refused_at: float = 0.0
    upstream: str = ""
    ended_at: float | None = None
    failed: bool = False
    came_back: bool = False


@dataclass
class PoolSubject:
    """A pool on simulated time."""

    count: int
    slots: int
    work_s: float
    slowness: dict[str, float] = field(default_factory=dict)
    fails_until: dict[str, float] = field(default_factory=dict)
    works: dict[str, float] = field(default_factory=dict)
    now: float = 1000.0

    def __post_init__(self) -> None:
        self.paces = PaceBook()
        self.learn("route", self.work_s)
        self.pool = SlotPool(self.paces, "zone")
        self.pool.set_upstreams(
            Upstream(f"u{n}", "desk", ("h", n + 1), "zone", self.slots, False, 0.0, 0)
            for n in range(self.count)
        )
        self.played: list[Played] = []
        self._tickets: dict[Ticket, Played] = {}
        self._ends: list[tuple[float, int, Ticket]] = []
        self._order = itertools.count()

    def come(
        self, name: str, rank: int, aim_s: float, deadline_s: float, route: str = "route"
    ) -> Played:
        played = Played(name, self.now, self.now + aim_s, self.now + deadline_s)
        self.played.append(played)
        call = Call(
            name, "desk", None, None, "GET", "/", (), b"", played.deadline, played.aim_at, rank,
            route,
        )  # fmt: skip
        ticket = Ticket(call, lambda: None, self.now)
        self._tickets[ticket] = played
        played.refusal = self.pool.offer(ticket, self.now)
        if played.refusal is not None:
            played.refused_at = self.now
        return played

    def start(self) -> None:
        for ticket in self.pool.assign(self.now):
            played = self._tickets[ticket]
            if ticket.state is TicketState.EXPIRED:
                played.refused_at = self.now
                played.refusal = ticket.refusal
                continue
            played.upstream = ticket.upstream.upstream_id
            played.failed = self.now < self.fails_until.get(played.upstream, 0.0)
            taken_s = self._taken_s(ticket)
            end = self.now + (_FAIL_S if played.failed else taken_s)
            heapq.heappush(self._ends, (end, next(self._order), ticket))

    def advance(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += _STEP_S
            while self._ends and self._ends[0][0] <= self.now:
                self._finish(heapq.heappop(self._ends)[2])
            self.start()

    def _finish(self, ticket: Ticket) -> None:
        played = self._tickets[ticket]
        played.ended_at = self.now
        if not played.failed:
            self.paces.note_answer(ticket.call.route, played.upstream, self._taken_s(ticket))
        self.pool.finish(ticket, played.failed, self.now)

    def _taken_s(self, ticket: Ticket) -> float:
        work_s = self.works.get(ticket.call.route, self.work_s)
        return work_s * self.slowness.get(self._tickets[ticket].upstream, 1.0)

    def learn(self, route: str, work_s: float) -> None:
        self.works[route] = work_s
        for number in range(400):
            # Each from another upstream, so that none of it is put down to a slow upstream.
            self.paces.note_answer(route, f"elsewhere-{number}", work_s)

    def taken(self) -> list[Played]:
        return [played for played in self.played if played.refusal is None]

    def served(self) -> list[Played]:
        return [played for played in self.played if played.ended_at and not played.failed]


def _subject(context: Context) -> PoolSubject:
    return context.pool_subject


@given("a pool of one upstream with {slots:d} slot and requests of {work:d} ms")
@given("a pool of one upstream with {slots:d} slots and requests of {work:d} ms")
def _(context: Context, slots: int, work: int) -> None:
    context.pool_subject = PoolSubject(1, slots, work / 1000)


@given("a pool of {count:d} upstreams with {slots:d} slots and requests of {work:d} ms")
def _(context: Context, count: int, slots: int, work: int) -> None:
    context.pool_subject = PoolSubject(count, slots, work / 1000)


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
        aim_s, deadline_s = int(row["aim ms"]) / 1000, int(row["deadline ms"]) / 1000
        subject.come(row["name"], int(row["rank"]), aim_s, deadline_s)
        if len(subject.played) == 1:
            subject.start()
    subject.advance(3.0)


@when("{count:d} requests with a deadline of {deadline:d} ms come together")
def _(context: Context, count: int, deadline: int) -> None:
    subject = _subject(context)
    for number in range(count):
        subject.come(f"r{number}", 1, 0.5, deadline / 1000)
        subject.start()
    context.refused = [played for played in subject.played if played.refusal is not None]
    if not any(step.name.startswith("the refused ones") for step in context.scenario.steps):
        subject.advance(deadline / 1000 + 1)


@when("{count:d} requests of rank {rank:d} with a deadline of {deadline:d} ms come together")
def _(context: Context, count: int, rank: int, deadline: int) -> None:
    subject = _subject(context)
    for number in range(count):
        subject.come(f"r{number}", rank, 0.02, deadline / 1000)
        subject.start()


@when(
    "{count:d} requests of rank {rank:d} with a deadline of {deadline:d} ms come after {pause:d} ms"
)
def _(context: Context, count: int, rank: int, deadline: int, pause: int) -> None:
    subject = _subject(context)
    subject.advance(pause / 1000)
    for number in range(count):
        subject.come(f"u{number}", rank, 0.02, deadline / 1000)
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
        context.came_back.append(subject.come("back", 1, left_s, left_s))
        subject.start()
    subject.advance(3.0)


@when("{count:d} requests come in {seconds:d} seconds")
def _(context: Context, count: int, seconds: int) -> None:
    subject = _subject(context)
    for number in range(count):
        subject.come(f"r{number}", 0, 0.25, 1.2)
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
        assert played.refused_at == played.came_at, played
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
    waited = [played for played in refused if played.refused_at > played.came_at]
    assert waited
    for played in waited:
        assert played.refused_at - played.came_at < most / 1000, played
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
    met = [played for played in subject.served() if played.ended_at <= played.aim_at]
    assert len(met) >= 0.9 * len(subject.played), (len(met), len(subject.played))


_RANKS = {"U": 0, "C": 1, "D": 2}
_LONG_S = 60.0


@given("floors of {careful:g} for careful and {deferrable:g} for deferrable work")
def _(context: Context, careful: float, deferrable: float) -> None:
    _subject(context).pool.set_floors((RankFloor(1, careful), RankFloor(2, deferrable)))


@given("careful work takes {careful:d} ms")
def _(context: Context, careful: int) -> None:
    _subject(context).learn("C", careful / 1000)


@when("{letters} wait behind one request")
def _(context: Context, letters: str) -> None:
    subject = _subject(context)
    begun = len(subject.played)
    subject.come("first", 0, 0.0, _LONG_S)
    subject.start()
    for letter in letters:
        route = letter if letter in subject.works else "route"
        subject.come(letter, _RANKS[letter], 0.0, _LONG_S, route)
    subject.advance(len(letters) * 0.4)
    context.in_turn = sorted(subject.played[begun + 1 :], key=lambda played: played.ended_at)


@when("{count:d} careful requests are served while nothing else waits")
def _(context: Context, count: int) -> None:
    subject = _subject(context)
    for _number in range(count):
        subject.come("C", 1, 0.0, _LONG_S)
        subject.start()
        subject.advance(0.2)


@then("they are served as {letters}")
def _(context: Context, letters: str) -> None:
    served = "".join(played.name for played in context.in_turn)
    assert served == letters, served


@then("a careful request is among the first {count:d} served")
def _(context: Context, count: int) -> None:
    assert "C" in [played.name for played in context.in_turn[:count]]


@when("{count:d} requests of {taken:d} ms have been answered")
def _(context: Context, count: int, taken: int) -> None:
    context.paces = PaceBook()
    for number in range(count):
        context.paces.note_answer("route", f"u{number}", taken / 1000)


@then("a request is expected to take {expected:d} ms, give or take {within:d}")
def _(context: Context, expected: int, within: int) -> None:
    work_ms = context.paces.work_s("route") * 1000
    assert abs(work_ms - expected) <= within, work_ms
