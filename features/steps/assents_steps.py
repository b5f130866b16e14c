"""Steps for assents between dispatchers."""

from behave import given, then, when
from behave.runner import Context

from foxtailshunt.errors import ResultCode
from foxtailshunt.ownership import ProcessRef
from foxtailshunt.ownership.authority import ASSENT_LAPSE_S, fence_to_message
from foxtailshunt.protocol import AssentReply, AssentRequest, RefuseRequest
from standins.ownership import (
    ZONE,
    DispatcherRig,
    FakeClient,
    FakeClock,
    FakeUpstream,
    fence_of,
    row_of,
    table_document,
)

_START_S = 1000.0


class AssentSubject:
    """Dispatchers that share one clock and answer each other at once."""

    def __init__(self, names: list[str], listed: list[str], witnesses: str) -> None:
        self.clock = FakeClock(_START_S - ASSENT_LAPSE_S)
        self.listed = listed
        self.waits_s = 0.0
        self.gives_up: DispatcherRig | None = None
        client = FakeClient(FakeUpstream(self.clock), self.clock)
        self._upstream_client = client
        self.rigs = {name: DispatcherRig(name, 1, self.clock, self._call, self) for name in names}
        for rig in self.rigs.values():
            self.take_table(rig, "1.5", witnesses)
        self.clock.time = _START_S

    def client(self, upstream_id: str) -> FakeClient:
        return self._upstream_client

    def take_table(self, rig: DispatcherRig, fence: str, sets: str) -> None:
        row = row_of("u1", fence_of(fence), range(4), self.listed)
        refs = [other.ref for other in self.rigs.values()]
        members = [[f"{name}/1" for name in group] for group in sets.split("+")]
        assert rig.view.accept_table(table_document(fence_of(fence), [row], refs, members))

    def happen(self, event: str) -> None:
        match event.split():
            case []:
                pass
            case [asker, "asks", witness]:
                self._ask(asker, witness)
            case [asker, "asks", witness, "and", "waits", seconds]:
                self.waits_s = float(seconds)
                self._ask(asker, witness)
            case [asker, "gives", "up", "u1", "while", "asking", witness]:
                self.gives_up = self.rigs[asker]
                self._ask(asker, witness)
            case [taker, "takes", fence, sets]:
                self.take_table(self.rigs[taker], fence, sets)
            case [witness, "refuses", "tables", "<", fence]:
                self._refuse(witness, fence)
            case _:
                raise AssertionError(event)

    def holders(self) -> str:
        holders = [name for name, rig in self.rigs.items() if rig.ledger.holds("u1")]
        return " ".join(holders) or "none"

    def _ask(self, asker: str, witness: str) -> None:
        self.rigs[asker].asker.ask(self.rigs[witness].ref)

    def _refuse(self, witness: str, fence: str) -> None:
        message = fence_to_message(fence_of(fence))
        reply = self.rigs[witness].witness.refuse(RefuseRequest(ZONE, f"{witness}/1", message, []))
        assert reply.code == ResultCode.ACCEPTED

    def _call(self, ref: ProcessRef, req: AssentRequest) -> AssentReply:
        reply = self.rigs[ref.instance_id].witness.assent(req)
        self.clock.time += self.waits_s
        self.waits_s = 0.0
        if self.gives_up is not None:
            self.gives_up.candidacy.give_up("u1")
            self.gives_up.ledger.drop("u1")
            self.gives_up = None
        return reply


@given("dispatchers {names} that list {listed} for u1 with witnesses {witnesses}")
def start_dispatchers(context: Context, names: str, listed: str, witnesses: str) -> None:
    context.assents_subject = AssentSubject(names.split(", "), listed.split(", "), witnesses)


@when("these requests for assent are made")
def make_requests(context: Context) -> None:
    subject = context.assents_subject
    for row in context.table:
        subject.clock.time = max(subject.clock.time, _START_S + float(row["at"]))
        subject.happen(row["event"])
        assert subject.holders() == row["holds"], f"{row.as_dict()}: {subject.holders()}"


@then("dispatcher {name} holds u1 for fence {held} but not for {other}")
def check_fence(context: Context, name: str, held: str, other: str) -> None:
    ledger = context.assents_subject.rigs[name].ledger
    assert ledger.holds_fence("u1", fence_of(held))
    assert not ledger.holds_fence("u1", fence_of(other))


@then("dispatcher {name} holds u1 since {at:g}")
def check_since(context: Context, name: str, at: float) -> None:
    since = context.assents_subject.rigs[name].ledger.held_since("u1")
    assert since == _START_S + at, since
