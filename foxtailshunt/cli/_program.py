"""What every long-running program does: read settings, start, wait for SIGTERM, stop."""

import signal
import sys
import threading
import uuid
from collections.abc import Callable
from pathlib import Path
from typing import Protocol

from foxtailshunt.config import Settings, load_settings
from foxtailshunt.errors import FoxtailshuntError
from foxtailshunt.network import set_source_host
from foxtailshunt.telemetry import log_state_change, start_logging

#: Exit code for a bad settings file or an address in use.
EXIT_BAD_SETTINGS = 2


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
    stop_requested = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop_requested.set())
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
    stop_requested.wait()
    log_state_change("program.stopping")
    program.stop()
    log_state_change("program.stopped")
