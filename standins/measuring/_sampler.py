"""A sampling profiler that runs inside a measured process."""

import atexit
import json
import sys
import threading
import time
from collections import Counter
from pathlib import Path
from types import FrameType

_INTERVAL_S = 0.005
_WAITING_FUNCTIONS = frozenset(
    {
        "wait",
        "accept",
        "select",
        "poll",
        "readinto",
        "_recv",
        "read",
        "recv",
        "sleep",
        "join",
        "_check_silence",
        "_read_exactly",
        "_receive",
    }
)
_WAITING_FILES = ("threading.py", "socket.py", "selectors.py")


class Sampler:
    """Counts the functions that run, over all threads, until the process ends.

    :param path: the file that takes the counts.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._counts: Counter[str] = Counter()
        self._thread = threading.Thread(target=self._run, name="sampler", daemon=True)

    def start(self) -> None:
        """Start sampling."""
        atexit.register(self._write)
        self._thread.start()

    def _run(self) -> None:
        own = threading.get_ident()
        while True:
            time.sleep(_INTERVAL_S)
            for ident, frame in sys._current_frames().items():
                if ident != own and not _is_waiting(frame):
                    self._counts[_describe(frame)] += 1

    def _write(self) -> None:
        self._path.write_text(json.dumps(self._counts.most_common(30)), encoding="utf-8")


def _is_waiting(frame: FrameType) -> bool:
    code = frame.f_code
    waits = code.co_name in _WAITING_FUNCTIONS
    return waits or code.co_filename.endswith(_WAITING_FILES)


def _describe(frame: FrameType) -> str:
    code = frame.f_code
    return f"{'/'.join(Path(code.co_filename).parts[-2:])}:{code.co_name}"
