"""What an upstream holds and the work that it does under it."""

import threading
from collections import OrderedDict

from foxtailshunt.ownership import ZERO_FENCE
from standins.records import GrantRecord, Incarnation, RecordWriter, RunRecord
from standins.upstream._clock import UpstreamClock
from standins.upstream._grants import GrantAnswer, HeldGrant, Run
from standins.upstream._messages import GrantMessage, WorkMessage, WorkOutcome

_REMEMBERED_RUNS = 10_000


class Ownership:
    """Grants in force and work in progress of an upstream that checks fences.

    :param incarnation: this process, for records.
    :param clock: the upstream's clock.
    :param writer: where changes are recorded.
    """

    def __init__(
        self, incarnation: Incarnation, clock: UpstreamClock, writer: RecordWriter
    ) -> None:
        self._incarnation = incarnation
        self._clock = clock
        self._writer = writer
        self._lock = threading.Lock()
        self._highest_fence = ZERO_FENCE
        self._held: HeldGrant | None = None
        self._runs: set[Run] = set()
        self._ended: OrderedDict[str, WorkOutcome] = OrderedDict()

    @property
    def runs_in_progress(self) -> int:
        """Return the number of runs in progress."""
        return len(self._runs)

    def take(self, message: GrantMessage) -> GrantAnswer:
        """Take a grant into force if it may be.

        :param message: the grant.
        """
        with self._lock:
            now = self._clock.now()
            until = self._until_of(message, now)
            if self._is_stale(message) or until is None:
                return self._answer(message, accepted=False)
            self._highest_fence = message.fence
            self._hold(HeldGrant(message, until), now)
            return self._answer(message, accepted=now < until)

    def begin(self, work: WorkMessage) -> Run | WorkOutcome:
        """Begin work if it is granted and in time.

        :param work: the work.
        :returns: the run, or why it was turned away.
        """
        with self._lock:
            now = self._clock.now()
            covered_until = self._covered_until(work, now)
            if covered_until is None:
                return WorkOutcome.REFUSED
            if self._is_past_deadline(work):
                return WorkOutcome.EXPIRED
            run = Run(work, now, covered_until)
            self._runs.add(run)
            return run

    def end(self, run: Run) -> WorkOutcome:
        """End a run; it takes effect at this moment if it still may.

        :param run: the run.
        """
        with self._lock:
            now = self._clock.now()
            outcome = self._outcome_of(run, now)
            self._runs.discard(run)
            self._remember(run.work.request_id, outcome)
            self._record_run(run, now, outcome)
            return outcome

    def cancel(self, request_id: str) -> WorkOutcome | None:
        """Give up the runs of a request.

        :param request_id: the request.
        :returns: CANCELLED if it will have no effect, RAN if it had, None if it is not known.
        """
        with self._lock:
            ended = self._ended.get(request_id)
            if ended is WorkOutcome.RAN:
                return ended
            runs = [run for run in self._runs if run.work.request_id == request_id]
            for run in runs:
                run.cancelled.set()
            return WorkOutcome.CANCELLED if runs or ended else None

    def _is_stale(self, message: GrantMessage) -> bool:
        return message.fence < self._highest_fence

    def _until_of(self, message: GrantMessage, now: float) -> float | None:
        if message.reading_ms is None or message.boot_id != self._incarnation.boot_id:
            return None
        return self._clock.time_of_reading(message.reading_ms + message.ttl_ms)

    def _covered_until(self, work: WorkMessage, now: float) -> float | None:
        held = self._held
        if held is None or now >= held.until or work.fence < held.message.fence:
            return None
        if work.boot_id != self._incarnation.boot_id or not held.covers(work):
            return None
        return held.until

    def _hold(self, grant: HeldGrant, now: float) -> None:
        if self._is_late_renewal(grant):
            return
        self._held = grant
        for run in self._runs:
            self._extend(run, grant, now)
        self._record_grant(grant, now)

    def _is_late_renewal(self, grant: HeldGrant) -> bool:
        current = self._held
        if current is None or current.message.fence != grant.message.fence:
            return False
        return grant.until <= current.until

    def _extend(self, run: Run, grant: HeldGrant, now: float) -> None:
        if now < run.covered_until and grant.covers(run.work):
            run.covered_until = grant.until

    def _answer(self, message: GrantMessage, accepted: bool) -> GrantAnswer:
        released = accepted and not self._has_runs_outside_grant()
        return GrantAnswer(accepted, released, self._highest_fence, self._is_stale(message))

    def _has_runs_outside_grant(self) -> bool:
        held = self._held
        return any(held is None or not held.covers(run.work) for run in self._runs)

    def _is_past_deadline(self, work: WorkMessage) -> bool:
        deadline_ms = work.deadline_reading_ms
        return deadline_ms is not None and self._clock.reading_ms() >= deadline_ms

    def _outcome_of(self, run: Run, now: float) -> WorkOutcome:
        if run.cancelled.is_set():
            return WorkOutcome.CANCELLED
        if now >= run.covered_until:
            return WorkOutcome.REFUSED
        if self._is_past_deadline(run.work):
            return WorkOutcome.EXPIRED
        return WorkOutcome.RAN

    def _remember(self, request_id: str, outcome: WorkOutcome) -> None:
        if self._ended.get(request_id) is not WorkOutcome.RAN:
            self._ended[request_id] = outcome
        if len(self._ended) > _REMEMBERED_RUNS:
            self._ended.popitem(last=False)

    def _record_grant(self, grant: HeldGrant, now: float) -> None:
        message = grant.message
        self._writer.write(
            GrantRecord(
                incarnation=self._incarnation,
                sender=message.sender,
                fence=message.fence,
                slots=message.slots,
                pins=message.pins,
                excluded=message.excluded,
                start=now,
                until=grant.until,
            )
        )

    def _record_run(self, run: Run, now: float, outcome: WorkOutcome) -> None:
        work = run.work
        self._writer.write(
            RunRecord(
                incarnation=self._incarnation,
                request_id=work.request_id,
                key=work.key,
                slot=work.slot,
                fence=work.fence,
                start=run.start,
                end=now,
                effect=outcome is WorkOutcome.RAN,
            )
        )


class UncheckedOwnership(Ownership):
    """Grants and work of an upstream that does not check fences: it obeys all."""

    def _is_stale(self, message: GrantMessage) -> bool:
        return False

    def _until_of(self, message: GrantMessage, now: float) -> float:
        return now + message.ttl_ms / 1000

    def _covered_until(self, work: WorkMessage, now: float) -> float:
        return float("inf")

    def _extend(self, run: Run, grant: HeldGrant, now: float) -> None:
        return
