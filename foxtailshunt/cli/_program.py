"""What every long-running program does: read settings, start, wait for SIGTERM, stop."""

import faulthandler
import os
import signal
import sys
import threading
import uuid
from collections.abc import Callable
from pathlib import Path
from types import FrameType
from typing import Protocol

from foxtailshunt.config import Settings, load_settings
from foxtailshunt.errors import FoxtailshuntError
from foxtailshunt.network import set_source_host
from foxtailshunt.telemetry import log_state_change, start_logging

#: Exit code for a bad settings file or an address in use.
EXIT_BAD_SETTINGS = 2
#: Exit code of a stop that took too long.
EXIT_STUCK = 3
#: Longest time for a graceful stop, in seconds.
_STOP_LIMIT_S = 25.0


class Program(Protocol):
    """A program's parts, ready to be started."""

    def start(self) -> None:
        """Start serving."""
        ...

    def stop(self) -> None:
        """Stop gracefully: no new requests, those in progress end."""
        ...


def new_boot_id() -> str:
    """Return an id for this incarnation of the process."""
    return uuid.uuid4().hex


def run_program(
    name: str, settings_path: Path, make_program: Callable[[Settings], Program]
) -> None:
    """Run a program until SIGTERM or SIGINT and end the process.

    :param name: the program's name in logs.
    :param settings_path: the settings file.
    :param make_program: builds the program; raises
        :class:`~foxtailshunt.errors.FoxtailshuntError` if it cannot.
    """
    signals = _StopSignals()
    try:
        settings = load_settings(settings_path)
        set_source_host(settings.source_host)
        start_logging(name, settings.instance_id)
        program = make_program(settings)
    except FoxtailshuntError as exc:
        print(f"{name}: {exc}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    program.start()
    log_state_change("program.started", zone=settings.zone)
    signals.wait()
    log_state_change("program.stopping")
    watchdog = threading.Timer(_STOP_LIMIT_S, _end_stuck_process)
    watchdog.daemon = True
    watchdog.start()
    program.stop()
    log_state_change("program.stopped")


class _StopSignals:
    """Waits for SIGTERM or SIGINT.

    The handler only writes to a pipe: it may run while the main thread holds any lock, so that
    setting an event there could wait for ever.
    """

    def __init__(self) -> None:
        self._read_end, self._write_end = os.pipe()
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._note)

    def wait(self) -> None:
        """Wait for the first signal."""
        os.read(self._read_end, 1)

    def _note(self, number: int, frame: FrameType | None) -> None:
        os.write(self._write_end, b"s")


def _end_stuck_process() -> None:
    """End a process whose stop takes too long, and show where each thread stands."""
    faulthandler.dump_traceback(file=sys.stderr)
    os._exit(EXIT_STUCK)
