"""What the process itself uses, by the names that Prometheus clients agree on."""

import os
import threading
import time
from dataclasses import dataclass
from pathlib import Path

_STATM = Path("/proc/self/statm")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """A reading of the process's use of its machine."""

    #: CPU time since the start, in seconds.
    cpu_s: float
    #: Memory that is resident now, in bytes.
    resident_bytes: int
    #: Threads running now.
    threads: int


def read_process_usage() -> ProcessUsage:
    """Return what the process uses now."""
    resident_pages = int(_STATM.read_text().split()[1])
    return ProcessUsage(
        cpu_s=time.process_time(),
        resident_bytes=resident_pages * _PAGE_BYTES,
        threads=threading.active_count(),
    )
