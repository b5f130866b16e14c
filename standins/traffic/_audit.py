"""Compares the results that callers received with the requests that the upstreams ran."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from standins.load import Outcome


class Fault(Enum):
    """A violation of the guarantees about results."""

    #: The response belongs to another request or is truncated.
    WRONG_ANSWER = "wrong answer"
    #: The result was "not run", but the request took effect.
    FALSE_NOT_RUN = "false not run"
    #: The result was "ran", but the request took effect at no upstream.
    FALSE_RAN = "false ran"
    #: A request that is not idempotent took effect more than once.
    DOUBLE_RUN = "double run"


@dataclass(frozen=True, slots=True)
class AuditFinding:
    """One violation found by the audit."""

    #: Kind of the violation.
    fault: Fault
    #: Id of the request.
    request_id: str


def audit_outcomes(outcomes: Iterable[Outcome], effects: Iterable[str]) -> list[AuditFinding]:
    """Return all violations.

    Several outcomes have the same request id if a caller retried its request.

    :param outcomes: the results that callers received.
    :param effects: request ids of the runs that took effect, one for each run.
    """
    runs = Counter(effects)
    outcomes_by_id: dict[str, list[Outcome]] = {}
    for outcome in outcomes:
        outcomes_by_id.setdefault(outcome.request_id, []).append(outcome)
    findings = []
    for request_id, request_outcomes in outcomes_by_id.items():
        findings += _audit_request(request_id, request_outcomes, runs[request_id])
    return findings


def _audit_request(request_id: str, outcomes: list[Outcome], runs: int) -> list[AuditFinding]:
    faults = []
    if not all(outcome.right for outcome in outcomes):
        faults.append(Fault.WRONG_ANSWER)
    families = {outcome.family for outcome in outcomes}
    if families == {"not run"} and runs > 0:
        faults.append(Fault.FALSE_NOT_RUN)
    if "ran" in families and runs == 0:
        faults.append(Fault.FALSE_RAN)
    if not outcomes[0].idempotent and runs > 1:
        faults.append(Fault.DOUBLE_RUN)
    return [AuditFinding(fault, request_id) for fault in faults]
