"""All checks over the records of a run."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from standins.records._assignment_check import AcceptedAssignment, lost_assignments
from standins.records._format import Record, RunRecord
from standins.records._holdings import holdings_of
from standins.records._ownership_check import OwnershipCheck
from standins.records._run_check import repeated_runs, runs_outside_grants
from standins.records._violations import Violation


@dataclass(frozen=True, slots=True)
class Report:
    """What the checks found, and how much there was to check."""

    #: The violations.
    violations: tuple[Violation, ...]
    #: Number of holdings of upstreams.
    holding_count: int
    #: Number of runs that took effect.
    effect_count: int


def _never(request_id: str) -> bool:
    return False


def check_records(
    records: Iterable[Record],
    must_not_repeat: Callable[[str], bool] = _never,
    accepted: Iterable[AcceptedAssignment] = (),
    slot_counts: dict[str, int] | None = None,
) -> Report:
    """Check the records of all upstreams of a run.

    :param records: the records, in order for each upstream.
    :param must_not_repeat: tells by a request's id whether it must not repeat.
    :param accepted: assignments that were reported as accepted.
    :param slot_counts: number of slots by service, to compare pinned keys with slots.
    """
    records = list(records)
    holdings = holdings_of(records)
    runs = [record for record in records if isinstance(record, RunRecord) and record.effect]
    violations = (
        *OwnershipCheck(holdings, runs, slot_counts or {}).violations(),
        *runs_outside_grants(holdings, runs),
        *repeated_runs(runs, must_not_repeat),
        *lost_assignments(holdings, accepted),
    )
    return Report(violations, len(holdings), len(runs))
