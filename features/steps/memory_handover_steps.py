"""Steps for the handover of the request memory."""

import json
import threading
import time
from dataclasses import replace

from assigner_support._slot_text import format_slots
from behave import given, then, when
from behave.runner import Context
from dispatch_fakes import FENCE, ManualClock

from foxtailshunt.dispatch._memory_era import MemoryEra
from foxtailshunt.errors import ResultCode
from foxtailshunt.ownership import Fence, UpstreamRow, table_from_json, table_to_json
from foxtailshunt.protocol import MemoryReply, MemoryRequest

_UPSTREAM = "desk-1"
_SLOT = 3
_SKEW_S = 2.0
_BOUND_S = 30.0
_NONE: frozenset[str] = frozenset()


class HandoverSubject:
    """Two dispatchers of one upstream; the second has the same clock readings as the first."""

    def __init__(self, context: Context) -> None:
        self.first = context.dispatch
        self.next = type(self.first)()
        self.next.right.held = False
        self.next.clock.time_s = self.first.clock.time_s
        self.sets: list[list[str]] = []
        self.replies: list[object] = []
        self.fence = FENCE

    def hand_over(self, how: str) -> None:
        self.pass_time(0.1)
        self.prepare(how)
        self.first.service.memory_transfer.keep_memory(_UPSTREAM)
        self.first.right.held = False
        if "the next row" in how:
            self.next.put_row(slots=frozenset(range(7)))
        self.next.right.held = True
        self.pass_time(0.6 if "too late" in how else 0.1)
        if how == "and was asked before by another":
            assert self.ask().code == ResultCode.ACCEPTED
        if how == "and takes it back":
            self.first.service.memory_transfer.discard_memory(_UPSTREAM)
        self.fence = self.next.row.fence
        if how == "with another row":
            self.next.put_row()
        if how != "without its memory":
            self.take()

    def prepare(self, how: str) -> None:
        if how == "after a gap of the right":
            self.first.right.held = False
            self.first.timer.tick()
            self.first.right.held = True
            self.pass_time(0.1)
        if how == "after the right has lapsed":
            self.first.right.held = False
        if "witness sets" in how:
            table = self.first.view.table("ba-ridge")
            sets = (("a", "b"), ("b", "c"))
            fence = Fence(1, table.fence.version + 1)
            table = replace(table, fence=fence, witness_sets=sets)
            assert self.first.view.accept_table(table_to_json(table))
            asked = sets[:1] if "fewer" in how else (("c", "d"), *sets)
            self.sets = [list(members) for members in asked]

    def pass_time(self, duration_s: float) -> None:
        self.first.wait_s(duration_s)
        self.next.wait_s(duration_s)

    def ask(self) -> MemoryReply:
        req = MemoryRequest("first", _UPSTREAM, self.sets)
        return self.first.service.memory_transfer.export(req)

    def take(self) -> None:
        reply = self.ask()
        if reply.code == ResultCode.ACCEPTED:
            self.next.service.memory_transfer.take_over(_UPSTREAM, reply, self.fence)

    def repeat(self, key: str = "k") -> object:
        self.next.request_id = self.first.request_id
        return self.next.request("issue", key=key)

    def state(self) -> object:
        return self.next.service._states.find(_UPSTREAM)

    def check(self, code: str, sends: int) -> None:
        self.next.join_threads()
        assert [ResultCode(reply.code).name for reply in self.replies] == [code], self.replies
        assert len(self.next.upstream.sent) == sends


@then("the sender before dispatcher {name:w} is {before:w}")
def check_sender_before(context: Context, name: str, before: str) -> None:
    boot_id = context.assents_subject.rigs[name].ledger.previous_holder("u1")
    assert boot_id == (None if before == "unknown" else f"{before}/1"), boot_id


@when("the upstream is handed over to the next dispatcher {how}")
def hand_over(context: Context, how: str) -> None:
    context.handover = HandoverSubject(context)
    context.handover.hand_over(how)


@then("the next dispatcher answers the same request with {code:w} after {sends:d} sends")
def check_same(context: Context, code: str, sends: int) -> None:
    subject = context.handover
    subject.replies.append(subject.next.service.execute(subject.repeat()))
    subject.check(code, sends)


@then("the next dispatcher answers another request of its id with {code:w} after {sends:d} sends")
def check_other(context: Context, code: str, sends: int) -> None:
    subject = context.handover
    subject.replies.append(subject.next.service.execute(subject.repeat(key="other")))
    subject.check(code, sends)


@when("the upstream is given up")
def give_up(context: Context) -> None:
    context.handover = HandoverSubject(context)
    context.dispatch.service.memory_transfer.keep_memory(_UPSTREAM)
    context.dispatch.right.held = False


@then("its memory is refused with {code:w}")
def check_refused(context: Context, code: str) -> None:
    replies: list[MemoryReply] = []
    thread = threading.Thread(target=lambda: replies.append(context.handover.ask()))
    thread.start()
    while thread.is_alive():
        context.dispatch.clock.time_s += 0.1
        thread.join(0.01)
    assert ResultCode(replies[0].code).name == code
    context.dispatch.upstream.answers.release()


@when("{count:d} requests are remembered with answers of {size:d} bytes")
def remember_large(context: Context, count: int, size: int) -> None:
    subject = context.dispatch
    plain = subject.upstream.send_work
    subject.upstream.send_work = lambda req: replace(plain(req), body=bytes(size))
    for _ in range(count):
        subject.request_id = subject.next_id()
        subject.execute(subject.request("issue"))


@when("the next dispatcher has the upstream, and the same request comes before the memory")
def come_before_memory(context: Context) -> None:
    subject = HandoverSubject(context)
    context.handover = subject
    subject.hand_over("without its memory")
    subject.state().pulls.longest_wait_s = _BOUND_S
    subject.next.service.begin_pull(_UPSTREAM)
    req = subject.repeat()
    req.remaining_ms = int(_BOUND_S * 1000)
    subject.replies = subject.next.start(req)
    ends_at = time.monotonic() + _BOUND_S
    while subject.next.service.load_of(_UPSTREAM).in_flight == 0:
        assert time.monotonic() < ends_at
        time.sleep(0.002)
    assert not subject.replies
    subject.take()
    subject.next.service.end_pull(_UPSTREAM)


@when("the next dispatcher has the upstream, and the memory does not come")
def come_without_memory(context: Context) -> None:
    subject = HandoverSubject(context)
    context.handover = subject
    subject.hand_over("without its memory")
    subject.next.service.begin_pull(_UPSTREAM)
    subject.replies = subject.next.start(subject.repeat())


@then("it is answered with {code:w} after {sends:d} sends")
def check_answer(context: Context, code: str, sends: int) -> None:
    context.handover.check(code, sends)


class EraSubject:
    """The memory eras of two upstreams at one dispatcher."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.rows = {"u0": _row("u0", range(4)), "u1": _row("u1", range(4, 8))}
        self.eras = {name: MemoryEra(self.clock, lambda key: _SLOT) for name in self.rows}
        for name, row in self.rows.items():
            self.eras[name].take_row(row)
        self.started_at = self.clock.wall_time()
        self.observe()

    def observe(self) -> None:
        for era in self.eras.values():
            era.observe(True, lambda slot, key: True)
        self.clock.time_s += 0.1

    def happen(self, event: str) -> None:
        match event.split():
            case [name, "lapses"]:
                self.eras[name].end()
            case [name, "pauses"]:
                self.clock.time_s += 1
                for other in self.eras.keys() - {name}:
                    self.eras[other]._observed_at = self.clock.now()
                return
            case [name, "loses", version]:
                self.change(name, version, self.rows[name].slots - {_SLOT})
            case [name, "is", "handed", "over", *across]:
                self.hand_over(name, across[1:])
            case [name, "gains", version]:
                self.change(name, version, self.rows[name].slots | {_SLOT})
            case [name, "changes", version]:
                self.change(name, version, self.rows[name].slots)
            case ["arrives", transit, gain]:
                self.arrive(Fence(1, int(transit)), Fence(1, int(gain)))
            case _:
                raise AssertionError(event)
        self.observe()

    def change(self, name: str, version: str, slots: frozenset[int]) -> None:
        fence = Fence(1, int(version))
        self.rows[name] = replace(self.rows[name], fence=fence, slots=slots)
        self.eras[name].take_row(self.rows[name])

    def hand_over(self, name: str, version: list[str]) -> None:
        """Let another era go on with an upstream, maybe after its row lost the slot."""
        moments = self.eras[name].hand_over()
        self.eras[name] = MemoryEra(self.clock, lambda key: _SLOT)
        if version:
            slots = self.rows[name].slots - {_SLOT}
            self.rows[name] = replace(self.rows[name], fence=Fence(1, int(version[0])), slots=slots)
        self.eras[name].take_row(self.rows[name])
        self.observe()
        if moments is not None:
            self.eras[name].take_over(moments, self.rows[name].fence)

    def arrive(self, transit: Fence, gain: Fence) -> None:
        moments = self.eras["u0"].departed(frozenset({_SLOT}), transit)
        if moments is not None:
            self.eras["u1"].take_arrival(gain, moments)


def _row(upstream_id: str, slots: range) -> UpstreamRow:
    address = ("127.0.0.1", 1)
    return UpstreamRow(
        upstream_id, "desk", address, FENCE, frozenset(slots), _NONE, _NONE, ("i1",), False
    )


@given("one dispatcher for u0 with slots 0-3 and u1 with slots 4-7")
def make_eras(context: Context) -> None:
    context.eras = EraSubject()


@when("these events happen to slot 3: {events}")
def let_happen(context: Context, events: str) -> None:
    for event in events.split(", "):
        context.eras.happen(event)


@then("the memory of slot 3 at u1 {result}")
def check_memory(context: Context, result: str) -> None:
    since = context.eras.eras["u1"].since(_SLOT, "k")
    assert (since == context.eras.started_at) == (result == "goes on"), since


@when('the table after it is planned with "{text}"')
def plan_after(context: Context, text: str) -> None:
    context.plan.plan(dict(part.split("=") for part in text.split()))


@then('its arrivals are "{arrivals}"')
@then('its arrivals are ""')
def check_arrivals(context: Context, arrivals: str = "") -> None:
    found = " ".join(
        f"{each.from_upstream_id}>{format_slots({each.to_upstream_id: each.slots})}"
        for each in context.plan.table.arrivals
    )
    assert found == arrivals, found


@then("its document gives the same arrivals")
def check_document(context: Context) -> None:
    table = context.plan.table
    assert table_from_json(table_to_json(table)).arrivals == table.arrivals


@then("its document without arrivals gives none")
def check_old_document(context: Context) -> None:
    document = json.loads(table_to_json(context.plan.table))
    del document["arrivals"]
    assert table_from_json(json.dumps(document)).arrivals == ()
