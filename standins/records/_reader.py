"""Reads the files that upstream stand-ins wrote."""

from collections.abc import Iterable
from pathlib import Path

from standins.records._format import Record, record_from_json


def read_records(paths: Iterable[Path]) -> list[Record]:
    """Return the records of files, file by file.

    The last line of a file may be cut short, as an upstream may be ended at any moment.

    :param paths: the files.
    :raises ValueError: another line is malformed; the message names the place.
    """
    records: list[Record] = []
    for path in paths:
        records += _read_file(path)
    return records


def _read_file(path: Path) -> list[Record]:
    text = path.read_text(encoding="utf-8")
    whole, _, _ = text.rpartition("\n")
    records: list[Record] = []
    for number, line in enumerate(whole.splitlines(), start=1):
        try:
            records.append(record_from_json(line))
        except ValueError as exc:
            raise ValueError(f"{path}, line {number}: {exc}")
    return records
