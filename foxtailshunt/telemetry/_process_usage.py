"""Resource usage of the process, as in the standard process metrics of Prometheus clients."""

import os
import threading
import time
from dataclasses import dataclass
from pathlib import Path

_STATM = Path("/proc/self/statm")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """Resource usage of the process at one point in time."""

    #: CPU time since the process started, in seconds.
    cpu_s: float
    #: Resident memory, in bytes.
    resident_bytes: int
    #: Number of running threads.
    threads: int


def read_process_usage() -> ProcessUsage:
    """Return the current resource usage of the process."""
    resident_pages = int(_STATM.read_text().split()[1])
    return ProcessUsage(
        cpu_s=time.process_time(),
        resident_bytes=resident_pages * _PAGE_BYTES,
        threads=threading.active_count(),
    )
