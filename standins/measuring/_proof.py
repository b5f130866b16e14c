"""Checks a fleet's records and callers' outcomes for broken promises."""

from collections.abc import Iterable
from dataclasses import dataclass

from standins.fleet import Fleet
from standins.load import Outcome
from standins.records import RunOutsideGrant, RunRecord, TwoOwners, check_records, read_records
from standins.traffic import Fault, audit_outcomes


@dataclass(frozen=True, slots=True)
class Proof:
    """Counts of broken promises; all are 0 if every promise was kept."""

    #: Moments at which two upstreams held a key.
    owner_overlaps: int
    #: Runs that took effect outside a grant.
    work_outside_grant: int
    #: Answers of another request or cut short.
    wrong_answers: int
    #: Requests that were told "not run" and took effect.
    false_not_run: int
    #: Requests that were told that they ran and took no effect.
    false_ran: int
    #: Requests that must not repeat and took effect more than once.
    double_runs: int
    #: Lines that describe what was broken.
    details: tuple[str, ...]

    @property
    def kept(self) -> bool:
        """Return whether every promise was kept."""
        return not self.details


def prove_fleet(fleet: Fleet, outcomes: Iterable[Outcome]) -> Proof:
    """Check everything that a fleet's upstreams recorded and its callers were told.

    :param fleet: the fleet; its upstreams need not run any more.
    :param outcomes: what callers were told.
    """
    records = read_records(sorted(fleet.records_dir.glob("*.jsonl")))
    report = check_records(records, slot_counts=fleet.layout.slot_counts)
    if not report.holding_count or not report.effect_count:
        raise ValueError("the records hold no grants or no work; nothing can be proved")
    violations = report.violations
    effects = [r.request_id for r in records if isinstance(r, RunRecord) and r.effect]
    findings = audit_outcomes(outcomes, effects)
    faults = [finding.fault for finding in findings]
    details = [str(violation) for violation in violations]
    details += [f"{finding.fault.value}: {finding.request_id}" for finding in findings]
    return Proof(
        owner_overlaps=sum(isinstance(v, TwoOwners) for v in violations),
        work_outside_grant=sum(isinstance(v, RunOutsideGrant) for v in violations),
        wrong_answers=faults.count(Fault.WRONG_ANSWER),
        false_not_run=faults.count(Fault.FALSE_NOT_RUN),
        false_ran=faults.count(Fault.FALSE_RAN),
        double_runs=faults.count(Fault.DOUBLE_RUN),
        details=tuple(details),
    )
