"""Compares what callers were told with what the upstreams ran."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from standins.load import Outcome


class Fault(Enum):
    """A way in which an answer breaks a promise."""

    #: The answer belongs to another request or is cut short.
    WRONG_ANSWER = "wrong answer"
    #: The caller was told "not run", and the request took effect.
    FALSE_NOT_RUN = "false not run"
    #: The caller was told that it ran, and it took no effect anywhere.
    FALSE_RAN = "false ran"
    #: A request that must not repeat took effect more than once.
    DOUBLE_RUN = "double run"


@dataclass(frozen=True, slots=True)
class AuditFinding:
    """One broken promise."""

    #: What was broken.
    fault: Fault
    #: The request.
    request_id: str


def audit_outcomes(outcomes: Iterable[Outcome], effects: Iterable[str]) -> list[AuditFinding]:
    """Return every broken promise.

    Several outcomes may name one request id, where a caller repeated its request.

    :param outcomes: what callers were told.
    :param effects: the request id of each run that took effect, once for each run.
    """
    runs = Counter(effects)
    told: dict[str, list[Outcome]] = {}
    for outcome in outcomes:
        told.setdefault(outcome.request_id, []).append(outcome)
    findings = []
    for request_id, answers in told.items():
        findings += _audit_request(request_id, answers, runs[request_id])
    return findings


def _audit_request(request_id: str, answers: list[Outcome], runs: int) -> list[AuditFinding]:
    faults = []
    if not all(answer.right for answer in answers):
        faults.append(Fault.WRONG_ANSWER)
    families = {answer.family for answer in answers}
    if families == {"not run"} and runs > 0:
        faults.append(Fault.FALSE_NOT_RUN)
    if "ran" in families and runs == 0:
        faults.append(Fault.FALSE_RAN)
    if not answers[0].idempotent and runs > 1:
        faults.append(Fault.DOUBLE_RUN)
    return [AuditFinding(fault, request_id) for fault in faults]
