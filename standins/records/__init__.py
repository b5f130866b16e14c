"""Records of upstream stand-ins and the checks over them."""

from standins.records._format import (
    GrantRecord,
    Incarnation,
    Record,
    RunRecord,
    StartRecord,
    record_from_json,
    record_to_json,
)
from standins.records._writer import FileRecordWriter, NullRecordWriter, RecordWriter

__all__ = [
    "FileRecordWriter",
    "GrantRecord",
    "Incarnation",
    "NullRecordWriter",
    "Record",
    "RecordWriter",
    "RunRecord",
    "StartRecord",
    "record_from_json",
    "record_to_json",
]
