"""Steps for witnesses."""

from behave import given, then, when
from behave.model import Row
from behave.runner import Context

from foxtailshunt.errors import ResultCode
from foxtailshunt.ownership.authority import ASSENT_LAPSE_S, Witness, fence_to_message
from foxtailshunt.ownership.authority._witness import MAX_UPSTREAMS
from foxtailshunt.protocol import AssentItem, AssentRequest, RefuseRequest
from foxtailshunt.telemetry import Metrics
from standins.ownership import FakeClock, fence_of

_ZONE = "wanaka"


class WitnessSubject:
    """One witness with a clock that counts from the moment at which it begins to speak."""

    def __init__(self, boot_id: str) -> None:
        self.clock = FakeClock()
        self.witness = Witness(boot_id, _ZONE, self.clock, Metrics())
        self.speaks_from = self.clock.time + ASSENT_LAPSE_S
        self.releases = 0
        self.witness.subscribe(self._count_release)

    def send(self, row: Row) -> str:
        self.clock.time = self.speaks_from + float(row["at"])
        kind, _, sequence = row["message"].partition("#")
        if kind == "refuse":
            return self._refuse(row)
        return self._assent(row, int(sequence or 0), releases=kind == "release")

    def hear_of_many(self) -> None:
        floors = [
            AssentItem(f"x{n}", fence_to_message(fence_of("1.0"))) for n in range(MAX_UPSTREAMS)
        ]
        req = RefuseRequest(_ZONE, "w1", fence_to_message(fence_of("1.0")), floors)
        assert self.witness.refuse(req).code == ResultCode.ACCEPTED

    def _assent(self, row: Row, sequence: int, releases: bool) -> str:
        instance_id, _, boot_id = row["from"].partition("/")
        item = AssentItem(row["upstream"], fence_to_message(fence_of(row["fence"])))
        reply = self.witness.assent(
            AssentRequest(
                zone=_ZONE,
                dispatcher_id=instance_id,
                dispatcher_boot_id=boot_id,
                witness_boot_id=row["witness"],
                table_fence=fence_to_message(fence_of(row["table"])),
                items=[] if releases else [item],
                sequence=sequence,
                released=[row["upstream"]] if releases else [],
            )
        )
        if reply.code != ResultCode.ACCEPTED:
            return ResultCode(reply.code).name
        return "granted" if reply.granted == [row["upstream"]] else "withheld"

    def _refuse(self, row: Row) -> str:
        floor = AssentItem(row["upstream"], fence_to_message(fence_of(row["fence"])))
        table_fence = fence_to_message(fence_of(row["table"]))
        reply = self.witness.refuse(RefuseRequest(_ZONE, row["witness"], table_fence, [floor]))
        return ResultCode(reply.code).name

    def _count_release(self) -> None:
        self.releases += 1


@given("a witness of incarnation {boot_id}")
def start_witness(context: Context, boot_id: str) -> None:
    context.witness_subject = WitnessSubject(boot_id)


@when("these messages arrive")
def send_messages(context: Context) -> None:
    for row in context.table:
        answer = context.witness_subject.send(row)
        assert answer == row["answer"], f"{row.as_dict()}: {answer}"


@when("it hears of more upstreams than it keeps")
def hear_of_many(context: Context) -> None:
    context.witness_subject.hear_of_many()


@then("the witness's last holder of {upstream_id} is {instance_id}")
def check_holder(context: Context, upstream_id: str, instance_id: str) -> None:
    holder = context.witness_subject.witness.holder_of(upstream_id)
    assert holder is not None
    assert holder.instance_id == instance_id


@then("the witness's subscribers heard of {count:d} release")
def check_releases(context: Context, count: int) -> None:
    assert context.witness_subject.releases == count, context.witness_subject.releases
