"""The upstream's HTTP calls."""

from standins.http import Answer, Request, WholeAnswer, json_answer
from standins.upstream._clock import UpstreamClock
from standins.upstream._faults import SwitchBoard
from standins.upstream._health import ConditionSource, HealthReport
from standins.upstream._messages import WorkOutcome, grant_from_request
from standins.upstream._ownership import Ownership
from standins.upstream._worker import Worker


class UpstreamHandler:
    """Answers control calls, health, work, and the calls that control the stand-in.

    :param boot_id: id of this incarnation.
    :param clock: the upstream's clock.
    :param ownership: grants in force and work in progress.
    :param worker: answers work.
    :param board: switches and faults.
    :param condition: gives the true state.
    :param report: what health and load show.
    """

    def __init__(
        self,
        boot_id: str,
        clock: UpstreamClock,
        ownership: Ownership,
        worker: Worker,
        board: SwitchBoard,
        condition: ConditionSource,
        report: HealthReport,
    ) -> None:
        self._boot_id = boot_id
        self._clock = clock
        self._ownership = ownership
        self._worker = worker
        self._board = board
        self._condition = condition
        self._report = report

    def __call__(self, req: Request) -> Answer:
        """Answer one request.

        :param req: the request.
        """
        try:
            return self._answer(req)
        except ValueError as exc:
            return json_answer(400, {"error": str(exc)})

    def _answer(self, req: Request) -> Answer:
        match req.method, req.path:
            case "POST", "/control/grant":
                return self._grant(req)
            case "POST", "/control/cancel":
                return self._cancel(req)
            case "GET", "/health":
                return self._health()
            case "GET", "/load":
                return json_answer(200, {"load": self._report.condition().load})
            case "PUT", "/standin/control":
                self._board.put(req.json_body())
                return json_answer(200, True)
        return self._worker.answer(req)

    def _grant(self, req: Request) -> WholeAnswer:
        answer = self._ownership.take(grant_from_request(req))
        condition = self._condition()
        fence = answer.highest_fence
        value = {
            "accepted": answer.accepted,
            "released": answer.released,
            "highest_fence": [fence.term, fence.version],
            "reading_ms": self._clock.reading_ms(),
            "boot_id": self._boot_id,
            "draining": condition.draining,
            "warming": condition.warming,
        }
        return json_answer(409 if answer.stale else 200, value)

    def _cancel(self, req: Request) -> WholeAnswer:
        outcome = self._ownership.cancel(str(req.json_body().get("request_id", "")))
        name = outcome.value if isinstance(outcome, WorkOutcome) else "unknown"
        return json_answer(200, {"outcome": name})

    def _health(self) -> WholeAnswer:
        shown = self._report.condition()
        ready = not shown.draining and not shown.warming
        value = {"ready": ready, "draining": shown.draining, "warming": shown.warming}
        return json_answer(200, value)
