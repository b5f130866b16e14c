"""Does the work: slots, time of service, and the answer."""

import hashlib
import itertools
import threading
import time
from dataclasses import dataclass

from foxtailshunt.ownership import Fence
from standins.http import Answer, CutAnswer, Request, WholeAnswer, json_answer
from standins.upstream._faults import SwitchBoard
from standins.upstream._messages import WorkMessage, WorkOutcome, work_from_request
from standins.upstream._ownership import Ownership
from standins.upstream._slots import WorkSlots

_STATUS_OF = {
    WorkOutcome.RAN: 200,
    WorkOutcome.REFUSED: 409,
    WorkOutcome.SHED: 503,
    WorkOutcome.EXPIRED: 504,
    WorkOutcome.CANCELLED: 499,
}
_COLD_FACTOR = 4


@dataclass(frozen=True, slots=True)
class ServiceTime:
    """How long work takes."""

    #: Time of work, in seconds.
    service_s: float
    #: Time after the start during which work takes longer, in seconds.
    cold_start_s: float
    #: When the upstream started, in seconds of the monotonic clock.
    started_at: float

    def is_warming(self) -> bool:
        """Return whether the upstream is still warming up."""
        return time.monotonic() < self.started_at + self.cold_start_s


class Worker:
    """Answers work.

    :param upstream_id: the upstream's id, for answers.
    :param ownership: grants in force and work in progress.
    :param slots: work done at one time.
    :param board: switches and faults.
    :param service_time: how long work takes.
    """

    def __init__(
        self,
        upstream_id: str,
        ownership: Ownership,
        slots: WorkSlots,
        board: SwitchBoard,
        service_time: ServiceTime,
    ) -> None:
        self._upstream_id = upstream_id
        self._ownership = ownership
        self._slots = slots
        self._board = board
        self._service_time = service_time
        self._run_numbers = itertools.count(1)
        self._last_lock = threading.Lock()
        self._last_answer: WholeAnswer | None = None

    def answer(self, req: Request) -> Answer:
        """Do the work of a request and answer it.

        :param req: the request.
        """
        work = work_from_request(req)
        outcome = self._perform(work, req)
        answer = self._whole_answer(work, outcome, req)
        return self._with_faults(answer)

    def _perform(self, work: WorkMessage, req: Request) -> WorkOutcome:
        if self._board.takes("shed_next") or not self._slots.enter():
            return WorkOutcome.SHED
        try:
            run = self._ownership.begin(work)
            if isinstance(run, WorkOutcome):
                return run
            run.cancelled.wait(self._service_s(req))
            return self._ownership.end(run)
        finally:
            self._slots.leave()

    def _service_s(self, req: Request) -> float:
        wanted = req.query_value("service_ms") if "service_ms" in req.query else None
        switched = self._board.switches.service_ms
        service_s = self._service_time.service_s
        if wanted is not None:
            service_s = float(wanted) / 1000
        elif switched is not None:
            service_s = switched / 1000
        return service_s * (_COLD_FACTOR if self._service_time.is_warming() else 1)

    def _whole_answer(self, work: WorkMessage, outcome: WorkOutcome, req: Request) -> WholeAnswer:
        headers = (("X-Request-Id", work.request_id), ("X-Outcome", outcome.value))
        value = {"upstream": self._upstream_id, "key": work.key, "request_id": work.request_id}
        if outcome is WorkOutcome.RAN:
            value["run"] = next(self._run_numbers)
            value["operation"] = f"{req.method} {req.path}"
            value["slot"] = work.slot
            value["fence"] = _fence_text(work.fence)
            value["body_sha256"] = hashlib.sha256(req.body).hexdigest()
        return json_answer(_STATUS_OF[outcome], value, headers)

    def _with_faults(self, answer: WholeAnswer) -> Answer:
        if self._board.takes("late_next"):
            time.sleep(self._board.switches.answer_late_ms / 1000)
        if self._board.takes("cross_next"):
            answer = self._crossed_answer()
        else:
            self._keep(answer)
        if self._board.takes("cut_next"):
            return CutAnswer(answer)
        return answer

    def _keep(self, answer: WholeAnswer) -> None:
        with self._last_lock:
            self._last_answer = answer

    def _crossed_answer(self) -> WholeAnswer:
        with self._last_lock:
            return self._last_answer or _answer_to_nobody(self._upstream_id)


def _answer_to_nobody(upstream_id: str) -> WholeAnswer:
    headers = (("X-Request-Id", "another-request"), ("X-Outcome", WorkOutcome.RAN.value))
    value = {"upstream": upstream_id, "key": "another-key", "request_id": "another-request"}
    return json_answer(200, value, headers)


def _fence_text(fence: Fence) -> str:
    return f"{fence.term}.{fence.version}"
