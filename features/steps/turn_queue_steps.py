"""Steps for the queue of one upstream."""

from behave import given, then, when
from behave.runner import Context

from foxtailshunt.config import FloorShares, QueueLimits, Rank
from foxtailshunt.dispatch._in_flight_limit import InFlightLimit
from foxtailshunt.dispatch._right_gate import Readiness
from foxtailshunt.dispatch._turn import Turn, TurnState
from foxtailshunt.dispatch._turn_queue import TurnQueue

_RANKS = {"U": Rank.URGENT, "C": Rank.CAREFUL, "D": Rank.DEFERRABLE}
_NO_HURRY_S = 10_000.0


class ManualClock:
    """A clock that moves only when told."""

    def __init__(self) -> None:
        self.time_s = 1000.0

    def now(self) -> float:
        return self.time_s

    def wall_time(self) -> float:
        return self.time_s


class SwitchedGate:
    """Finds every request ready but those of chosen keys."""

    def __init__(self) -> None:
        self.readiness: dict[str, Readiness] = {}

    def assess(self, turn: Turn) -> Readiness:
        return self.readiness.get(turn.key, Readiness.READY)


class QueueSubject:
    """A queue, the turn that holds its slot, and the turns that joined since."""

    def __init__(self, careful: float, deferrable: float, length: int = 100) -> None:
        self.clock = ManualClock()
        limit = InFlightLimit(self.clock, 1, 0.0)
        floors = FloorShares(careful, deferrable)
        lengths = QueueLimits(length, length, length)
        self.gate = SwitchedGate()
        self.queue = TurnQueue(self.clock, limit, floors, lengths, self.gate)
        self.service_s = dict.fromkeys(Rank, 0.1)
        self.joined: list[Turn] = []
        self.served = ""

    def join(self, letter: str, left_s: float = _NO_HURRY_S) -> Turn:
        rank = _RANKS[letter]
        cost_s = self.service_s[rank]
        turn = Turn("id", rank, 0, "key", self.clock.now() + left_s, cost_s)
        self.queue.join(turn)
        self.joined.append(turn)
        return turn

    def finish(self, turn: Turn) -> None:
        self.clock.time_s += self.service_s[turn.rank]
        self.queue.release(turn)

    def serve_all(self, letters: str) -> None:
        holder = self.join("U")
        self.joined.clear()
        for letter in letters:
            self.join(letter)
        self.finish(holder)
        while granted := [turn for turn in self.joined if turn.state is TurnState.GRANTED]:
            assert len(granted) == 1
            self.served += next(name for name, rank in _RANKS.items() if rank is granted[0].rank)
            self.finish(granted[0])


@given("a queue with 1 slot and floors of {careful:g} and {deferrable:g}")
def make_queue(context: Context, careful: float, deferrable: float) -> None:
    context.queue = QueueSubject(careful, deferrable)


@given("a queue with 1 slot, {length:d} places a rank and service times of 100 ms")
def make_bounded_queue(context: Context, length: int) -> None:
    context.queue = QueueSubject(0, 0, length)


@given("careful work takes {careful:d} ms and urgent work {urgent:d} ms")
def set_service_times(context: Context, careful: int, urgent: int) -> None:
    context.queue.service_s[Rank.CAREFUL] = careful / 1000
    context.queue.service_s[Rank.URGENT] = urgent / 1000


@when("{letters:w} wait behind one request and each takes 100 ms")
@when("{letters:w} wait behind one request")
def serve(context: Context, letters: str) -> None:
    context.queue.serve_all(letters)


@when("{count:d} careful requests are served while nothing else waits")
def serve_alone(context: Context, count: int) -> None:
    for _ in range(count):
        context.queue.finish(context.queue.join("C"))


@when("{letters:w} join with {left:d} ms left while the slot is taken")
def join_behind(context: Context, letters: str, left: int) -> None:
    if not context.queue.joined:
        context.holder = context.queue.join("U")
    for letter in letters:
        context.queue.join(letter, left / 1000)


@when("{letter:w} joins with {left:d} ms left while the slot is free")
def join_free(context: Context, letter: str, left: int) -> None:
    context.queue.join(letter, left / 1000)


@when("{duration:d} ms pass")
def pass_time(context: Context, duration: int) -> None:
    context.queue.clock.time_s += duration / 1000


@when("the slot is freed after {delay:d} ms")
def free_slot(context: Context, delay: int) -> None:
    context.queue.clock.time_s += delay / 1000
    context.queue.queue.release(context.holder)


@when("the slot lingers for {delay:d} ms while {letter:w} waits")
def linger(context: Context, delay: int, letter: str) -> None:
    holder = context.queue.join("U")
    context.queue.queue.release_at(holder, context.queue.clock.now() + delay / 1000)
    context.queue.queue.release(holder)
    context.waiting = context.queue.join(letter)
    context.started_at = context.queue.clock.now()


@then("they are served as {served:w}")
def check_served(context: Context, served: str) -> None:
    assert context.queue.served == served, context.queue.served


@then("a careful request is among the first {count:d} served")
def check_among_first(context: Context, count: int) -> None:
    assert "C" in context.queue.served[:count], context.queue.served


@then("{count:d} are rejected as {code:w}")
def check_rejected(context: Context, count: int, code: str) -> None:
    rejected = [turn for turn in context.queue.joined if turn.state is TurnState.REJECTED]
    assert [turn.code.name for turn in rejected] == [code] * count, rejected


@then("{letter:w} is granted after {granted:d} ms and not after {waiting:d} ms")
def check_lingering(context: Context, letter: str, granted: int, waiting: int) -> None:
    subject = context.queue
    for delay, state in ((waiting, TurnState.WAITING), (granted, TurnState.GRANTED)):
        subject.clock.time_s = context.started_at + delay / 1000
        subject.queue.refresh()
        assert context.waiting.state is state, (delay, context.waiting.state)


class LimitSubject:
    """A limit and its clock."""

    def __init__(self, slots: int, slow_start_s: float) -> None:
        self.clock = ManualClock()
        self.limit = InFlightLimit(self.clock, slots, slow_start_s)

    def apply(self, event: str) -> None:
        if event == "the upstream starts":
            self.limit.note_cold_start()
        shed = {"a request is shed": 1, "two requests are shed": 2}
        for _ in range(shed.get(event, 0)):
            self.limit.note_shed()


@given("a limit of {slots:d} slots with a slow start of {slow_start:d} ms")
def make_limit(context: Context, slots: int, slow_start: int) -> None:
    context.limit = LimitSubject(slots, slow_start / 1000)


@when("{event} and {elapsed:d} ms pass")
def change_limit(context: Context, event: str, elapsed: int) -> None:
    context.limit.apply(event)
    context.limit.clock.time_s += elapsed / 1000


@then("the limit is {limit:d}")
def check_limit(context: Context, limit: int) -> None:
    now = context.limit.clock.now()
    assert context.limit.limit.value(now) == limit, context.limit.limit.value(now)
