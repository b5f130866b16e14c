"""Steps for the checker of upstreams' records."""

import re
import subprocess
import sys
import tempfile
from functools import singledispatch
from pathlib import Path

from behave import given, then, when
from behave.runner import Context

from foxtailshunt.ownership import Fence, slots_from_ranges
from standins.records import (
    AcceptedAssignment,
    AssignmentLost,
    FileRecordWriter,
    GrantRecord,
    Incarnation,
    RanTwice,
    Record,
    RunOutsideGrant,
    RunRecord,
    StartRecord,
    TwoOwners,
    Violation,
    check_records,
    read_records,
)

_FENCE = Fence(1, 2)
_GRANT = re.compile(r"(?:(\d+)-(\d+))?(?:!(\w+))?(?:\+(\w+))?")


def incarnation_of(text: str) -> Incarnation:
    upstream, _, service = text.partition(":")
    return Incarnation(upstream, service or "desk", "boot")


def times_of(text: str) -> tuple[float, float]:
    start, _, end = text.partition("..")
    return float(start), float(end)


def grant_of(words: list[str]) -> GrantRecord:
    upstream, content, times = words
    first, last, excluded, pin = _GRANT.fullmatch(content).groups()
    ranges = [] if first is None else [[int(first), int(last) + 1]]
    return GrantRecord(
        incarnation_of(upstream),
        "i1",
        _FENCE,
        slots_from_ranges(ranges),
        frozenset(filter(None, [pin])),
        frozenset(filter(None, [excluded])),
        *times_of(times),
    )


def record_of(text: str) -> Record:
    kind, *words = text.split()
    if kind == "grant":
        return grant_of(words)
    if kind == "start":
        return StartRecord(incarnation_of(words[0]), True, float(words[1]))
    upstream, slot, key, request_id, times = words
    start, end = times_of(times)
    incarnation = incarnation_of(upstream)
    has_effect = kind == "run"
    return RunRecord(incarnation, request_id, key, int(slot), _FENCE, start, end, has_effect)


def records_of(text: str) -> list[Record]:
    return [record_of(part) for part in text.split("; ")]


def assignment_of(text: str) -> AcceptedAssignment:
    upstream, subject, _, at = text.split()
    is_key = subject.startswith("+")
    return AcceptedAssignment(
        service="desk",
        slot=None if is_key else int(subject),
        key=subject[1:] if is_key else None,
        upstream=upstream,
        at=float(at),
    )


@singledispatch
def words_for(violation: Violation) -> str:
    raise TypeError(type(violation))


@words_for.register
def _(violation: TwoOwners) -> str:
    what = f"key {violation.key}" if violation.key else f"slot {violation.slot}"
    return f"{what} at {', '.join(violation.upstreams)}"


@words_for.register
def _(violation: RunOutsideGrant) -> str:
    return f"{violation.request_id} outside"


@words_for.register
def _(violation: RanTwice) -> str:
    return f"{violation.request_id} ran {len(violation.at)} times"


@words_for.register
def _(violation: AssignmentLost) -> str:
    what = f"key {violation.key}" if violation.key else f"slot {violation.slot}"
    return f"{what} of {violation.assigned_to} lost"


class RecordsSubject:
    """Records, what was accepted, and what the checks found."""

    def __init__(self, records: list[Record]) -> None:
        self.records = records
        self.accepted: list[AcceptedAssignment] = []
        self.violations: tuple[Violation, ...] = ()

    def check(self, **details: object) -> None:
        report = check_records(self.records, accepted=self.accepted, **details)
        self.violations = report.violations


def keep_in_file(context: Context, records: list[Record]) -> None:
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.path = Path(folder.name) / "records"
    writer = FileRecordWriter(context.path)
    for record in records:
        writer.write(record)
    context.written = records


@given("the records {text}")
def take_records(context: Context, text: str) -> None:
    context.records = RecordsSubject(records_of(text))


@given("the records' accepted assignments {accepted}")
def take_assignments(context: Context, accepted: str) -> None:
    context.records.accepted = [assignment_of(part) for part in accepted.split("; ")]


@given("a record file with one record of each kind and a line that was cut short")
def write_each_kind(context: Context) -> None:
    text = "start u1 0; grant u1 0-9!x+p 0..10; run u1 3 k r1 1..2; lost u1 3 k r2 1..2"
    keep_in_file(context, records_of(text))
    with context.path.open("a", encoding="utf-8") as file:
        file.write('{"type":"run","upst')


@given("a record file of {records}")
def write_file(context: Context, records: str) -> None:
    keep_in_file(context, records_of(records))


@when("the records are checked")
def check(context: Context) -> None:
    context.records.check()


@when("the records are checked for a service of {count:d} slots")
def check_with_slots(context: Context, count: int) -> None:
    context.records.check(slot_counts={"desk": count})


@when("the records are checked with once-* as ids that must not repeat")
def check_repeats(context: Context) -> None:
    context.records.check(must_not_repeat=lambda request_id: request_id.startswith("once-"))


@when("the record file is read")
def read_file(context: Context) -> None:
    context.read = read_records([context.path])


@when("the records command checks the file")
def run_command(context: Context) -> None:
    command = [sys.executable, "-m", "standins.records", str(context.path)]
    context.result = subprocess.run(command, capture_output=True, text=True, check=False)


@then("the records' violations are {expected}")
def check_violations(context: Context, expected: str) -> None:
    found = [words_for(violation) for violation in context.records.violations]
    assert found == ([] if expected == "none" else expected.split("; ")), found


@then("the records are those that were written")
def check_read(context: Context) -> None:
    assert context.read == context.written


@then("the records command's exit code is {code:d} and its last line is {line}")
def check_command(context: Context, code: int, line: str) -> None:
    assert context.result.returncode == code, context.result
    assert context.result.stdout.splitlines()[-1] == line, context.result.stdout
