"""Where an upstream stand-in writes its records."""

import threading
from pathlib import Path
from typing import Protocol

from standins.records._format import Record, record_to_json


class RecordWriter(Protocol):
    """Takes records in the order of their events."""

    def write(self, record: Record) -> None:
        """Write one record.

        :param record: the record.
        """
        ...


class FileRecordWriter:
    """Appends records to a file and flushes each; safe to use from any thread.

    :param path: the file.
    """

    def __init__(self, path: Path) -> None:
        self._lock = threading.Lock()
        self._file = path.open("a", encoding="utf-8")

    def write(self, record: Record) -> None:
        """Append one record.

        :param record: the record.
        """
        line = record_to_json(record) + "\n"
        with self._lock:
            self._file.write(line)
            self._file.flush()


class NullRecordWriter:
    """Drops records."""

    def write(self, record: Record) -> None:
        """Drop one record.

        :param record: the record.
        """
