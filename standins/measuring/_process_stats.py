"""Processor time and resident memory of a process."""

import os
from dataclasses import dataclass
from pathlib import Path

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
# Positions of fields: of /proc/PID/stat after the command name, and of /proc/PID/statm.
_USER_TIME_FIELD = 11
_SYSTEM_TIME_FIELD = 12
_RESIDENT_FIELD = 1


@dataclass(frozen=True, slots=True)
class ProcessStats:
    """Resources that a process uses."""

    #: Processor time since its start, in seconds.
    cpu_s: float
    #: Resident memory in bytes.
    resident_bytes: int


def read_process_stats(pid: int) -> ProcessStats:
    """Return the resources that a process uses.

    :param pid: the process id.
    """
    # The command name is in parentheses and may contain spaces, so parse what follows it.
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[_USER_TIME_FIELD]) + int(fields[_SYSTEM_TIME_FIELD])
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[_RESIDENT_FIELD])
    return ProcessStats(ticks / _TICKS_PER_S, pages * _PAGE_BYTES)
