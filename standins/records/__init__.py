"""Records of upstream stand-ins and the checks over them."""

from standins.records._assignment_check import AcceptedAssignment
from standins.records._checker import Report, check_records
from standins.records._format import (
    GrantRecord,
    Incarnation,
    Record,
    RunRecord,
    StartRecord,
    record_from_json,
    record_to_json,
)
from standins.records._reader import read_records
from standins.records._violations import (
    AssignmentLost,
    RanTwice,
    RunOutsideGrant,
    TwoOwners,
    Violation,
    describe,
)
from standins.records._writer import FileRecordWriter, NullRecordWriter, RecordWriter

__all__ = [
    "AcceptedAssignment",
    "AssignmentLost",
    "FileRecordWriter",
    "GrantRecord",
    "Incarnation",
    "NullRecordWriter",
    "RanTwice",
    "Record",
    "RecordWriter",
    "Report",
    "RunOutsideGrant",
    "RunRecord",
    "StartRecord",
    "TwoOwners",
    "Violation",
    "check_records",
    "describe",
    "read_records",
    "record_from_json",
    "record_to_json",
]
