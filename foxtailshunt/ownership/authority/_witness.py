"""The witness: assents to one sender for each upstream, and refuses what is known to be old."""

import dataclasses
import threading
from collections.abc import Callable
from dataclasses import dataclass

from foxtailshunt.errors import ResultCode
from foxtailshunt.ownership._periods import ASSENT_PERIOD_S, surely_lapsed_after
from foxtailshunt.ownership._records import ZERO_FENCE, Fence
from foxtailshunt.ownership.authority._messages import fence_from_message, fence_to_message
from foxtailshunt.protocol import AssentItem, AssentReply, AssentRequest, RefuseReply, RefuseRequest
from foxtailshunt.telemetry import Metrics, log_state_change
from foxtailshunt.timing import Clock

#: Time from an assent's receipt until its dispatcher has surely stopped counting it, in seconds.
ASSENT_LAPSE_S = surely_lapsed_after(ASSENT_PERIOD_S)
#: Most upstreams that a witness keeps a fence for.
MAX_UPSTREAMS = 20_000


@dataclass(frozen=True, slots=True)
class AssentHolder:
    """The dispatcher that a witness last assented to for one upstream."""

    #: The dispatcher's instance.
    instance_id: str
    #: The dispatcher's incarnation.
    boot_id: str
    #: When its assent surely lapses, in seconds of the witness's clock.
    lapses_at: float
    #: Number of the request that asked for the assent.
    sequence: int
    #: Incarnation of the holder before this one; empty if there was none.
    previous_boot_id: str = ""

    def is_dispatcher(self, instance_id: str, boot_id: str) -> bool:
        """Return whether a dispatcher's incarnation is the holder.

        :param instance_id: the dispatcher's instance.
        :param boot_id: the dispatcher's incarnation.
        """
        return self.instance_id == instance_id and self.boot_id == boot_id


@dataclass(slots=True)
class _UpstreamRecord:
    #: No lower fence is assented to.
    floor: Fence
    #: The last holder; None if there was none.
    holder: AssentHolder | None


class Witness:
    """Answers the dispatchers of one zone; one object is one incarnation of a witness.

    Nothing outlives the process, so a new incarnation is silent until every assent that an earlier
    one may have given has lapsed. Each answer reads the clock while it is made: a pause only makes
    an assent last longer here than at the dispatcher that was given it.

    :param boot_id: this process's boot id; messages for another incarnation are refused.
    :param zone: the availability zone.
    :param clock: a monotonic clock.
    :param metrics: where answers are counted.
    """

    def __init__(self, boot_id: str, zone: str, clock: Clock, metrics: Metrics) -> None:
        self._boot_id = boot_id
        self._zone = zone
        self._clock = clock
        self._metrics = metrics
        self._lock = threading.Lock()
        self._table_floor = ZERO_FENCE
        self._records: dict[str, _UpstreamRecord] = {}
        self._on_release: list[Callable[[], None]] = []
        #: The first moment at which this witness assents, in seconds of its clock.
        self.speaks_from = clock.now() + ASSENT_LAPSE_S

    def assent(self, req: AssentRequest) -> AssentReply:
        """Assent to a dispatcher as the sender for the upstreams that it names.

        :param req: the dispatcher's request.
        :returns: the upstreams assented to, or a code that says why there are none.
        """
        with self._lock:
            code = self._check(req.witness_boot_id, req.zone)
            if code is ResultCode.ACCEPTED and self._clock.now() < self.speaks_from:
                code = ResultCode.WITNESS_SILENT
            if (
                code is ResultCode.ACCEPTED
                and fence_from_message(req.table_fence) < self._table_floor
            ):
                code = ResultCode.STALE_FENCE
            granted: list[str] = []
            previous: dict[str, str] = {}
            freed = False
            if code is ResultCode.ACCEPTED:
                granted = self._grant_items(req)
                previous = self._previous_holders(granted)
                freed = self._release_items(req)
            floor = fence_to_message(self._table_floor)
        self._count("assent", code)
        if freed:
            self._notify()
        return AssentReply(
            code=int(code), granted=granted, table_fence=floor, previous_holders=previous
        )

    def refuse(self, req: RefuseRequest) -> RefuseReply:
        """Raise the lowest fences that this witness assents to.

        :param req: the assigner's request.
        :returns: ``ACCEPTED`` once the floors hold, and this witness's boot id in any case.
        """
        with self._lock:
            code = self._check(req.witness_boot_id, req.zone)
            if code is ResultCode.ACCEPTED:
                self._raise_floors(req)
        self._count("refuse", code)
        return RefuseReply(code=int(code), witness_boot_id=self._boot_id)

    def holder_of(self, upstream_id: str) -> AssentHolder | None:
        """Return the dispatcher last assented to, or None if this witness knows none.

        :param upstream_id: the upstream.
        """
        with self._lock:
            record = self._records.get(upstream_id)
            return record.holder if record else None

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call a function after a dispatcher released an upstream.

        :param callback: must not block.
        """
        self._on_release.append(callback)

    def dump(self) -> dict[str, object]:
        """Return the witness's state for operators."""
        with self._lock:
            now = self._clock.now()
            return {
                "speaks": now >= self.speaks_from,
                "table_floor": str(self._table_floor),
                "upstreams": {
                    name: _describe(record, now) for name, record in self._records.items()
                },
            }

    def _check(self, witness_boot_id: str, zone: str) -> ResultCode:
        if witness_boot_id != self._boot_id:
            return ResultCode.WRONG_BOOT_ID
        if zone != self._zone:
            return ResultCode.UNKNOWN_ZONE
        return ResultCode.ACCEPTED

    def _grant_items(self, req: AssentRequest) -> list[str]:
        return [item.upstream_id for item in req.items if self._grant(item, req)]

    def _previous_holders(self, granted: list[str]) -> dict[str, str]:
        holders = {upstream_id: self._records[upstream_id].holder for upstream_id in granted}
        return {
            upstream_id: holder.previous_boot_id
            for upstream_id, holder in holders.items()
            if holder is not None and holder.previous_boot_id
        }

    def _release_items(self, req: AssentRequest) -> bool:
        """Free what a dispatcher released and return whether that changed anything."""
        freed = [self._release(upstream_id, req) for upstream_id in req.released or ()]
        return any(freed)

    def _grant(self, item: AssentItem, req: AssentRequest) -> bool:
        now = self._clock.now()
        fence = fence_from_message(item.fence)
        record = self._record_of(item.upstream_id, now)
        # Making room for the record may have raised the table floor.
        if fence < record.floor or fence_from_message(req.table_fence) < self._table_floor:
            return False
        holder = record.holder
        renewed = holder is not None and holder.is_dispatcher(
            req.dispatcher_id, req.dispatcher_boot_id
        )
        if holder is not None and not renewed and now < holder.lapses_at:
            return False
        sequence = max(req.sequence or 0, holder.sequence if holder and renewed else 0)
        record.floor = fence
        previous = ""
        if holder is not None:
            previous = holder.previous_boot_id if renewed else holder.boot_id
        record.holder = AssentHolder(
            req.dispatcher_id, req.dispatcher_boot_id, now + ASSENT_LAPSE_S, sequence, previous
        )
        if not renewed:
            log_state_change(
                "witness.holder_changed", upstream=item.upstream_id, holder=req.dispatcher_id
            )
        return True

    def _release(self, upstream_id: str, req: AssentRequest) -> bool:
        record = self._records.get(upstream_id)
        holder = record.holder if record else None
        if record is None or holder is None:
            return False
        if not holder.is_dispatcher(req.dispatcher_id, req.dispatcher_boot_id):
            return False
        now = self._clock.now()
        # An older release may arrive late, after the dispatcher asked anew.
        if (req.sequence or 0) <= holder.sequence or now >= holder.lapses_at:
            return False
        record.holder = dataclasses.replace(holder, lapses_at=now)
        return True

    def _record_of(self, upstream_id: str, now: float) -> _UpstreamRecord:
        record = self._records.get(upstream_id)
        if record is None:
            self._make_room(now)
            record = _UpstreamRecord(ZERO_FENCE, None)
            self._records[upstream_id] = record
        return record

    def _raise_floors(self, req: RefuseRequest) -> None:
        self._table_floor = max(self._table_floor, fence_from_message(req.table_fence))
        now = self._clock.now()
        for item in req.floors:
            record = self._record_of(item.upstream_id, now)
            record.floor = max(record.floor, fence_from_message(item.fence))

    def _make_room(self, now: float) -> None:
        """Drop records without an assent in force once there are too many.

        A dropped floor lives on in the table floor: a row's fence is that of the table that last
        changed it, so every table from there on has the row at that fence or a higher one.
        """
        if len(self._records) < MAX_UPSTREAMS:
            return
        for upstream_id, record in list(self._records.items()):
            if record.holder is None or now >= record.holder.lapses_at:
                self._table_floor = max(self._table_floor, record.floor)
                del self._records[upstream_id]

    def _notify(self) -> None:
        for callback in self._on_release:
            callback()

    def _count(self, kind: str, code: ResultCode) -> None:
        self._metrics.count(
            "foxtailshunt_witness_answers_total",
            "Answers of this witness.",
            {"kind": kind, "code": code.name},
        )


def _describe(record: _UpstreamRecord, now: float) -> dict[str, object]:
    holder = record.holder
    return {
        "floor": str(record.floor),
        "holder": holder.instance_id if holder else None,
        "in_force": holder is not None and now < holder.lapses_at,
    }
