"""``foxtailshunt-node``: runs the node of one instance."""

import os
import signal
import sys
import uuid
from pathlib import Path
from types import FrameType

import click

from foxtailshunt.errors import FoxtailshuntError
from foxtailshunt.network import set_source_host
from foxtailshunt.node import NodeProgram, load_node_settings

#: Exit code for an invalid settings file or an address that is already in use.
EXIT_BAD_SETTINGS = 2


class _SignalPipe:
    """Passes signals to the main thread through a pipe, since a handler must not take locks."""

    def __init__(self) -> None:
        self._read_end, self._write_end = os.pipe()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, self._handle)

    def wait(self) -> int:
        """Block until a signal arrives and return its number."""
        return os.read(self._read_end, 1)[0]

    def _handle(self, number: int, frame: FrameType | None) -> None:
        os.write(self._write_end, bytes([number]))


@click.command()
@click.option(
    "--settings",
    "settings_path",
    envvar="FOXTAILSHUNT_BOOT",
    required=True,
    type=click.Path(path_type=Path),
    help="JSON settings file of the node.",
)
def main(settings_path: Path) -> None:
    """Run a node until SIGTERM or SIGINT; SIGHUP reloads the settings."""
    signals = _SignalPipe()
    try:
        settings = load_node_settings(settings_path)
        set_source_host(settings.host)
        program = NodeProgram(settings, uuid.uuid4().hex)
    except FoxtailshuntError as exc:
        print(f"foxtailshunt-node: {exc}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    program.start()
    while signals.wait() == signal.SIGHUP:
        program.reload(settings_path)
    program.stop()
    sys.stdout.flush()
    # Exits without joining the connection threads, which may still block on sockets.
    os._exit(0)


if __name__ == "__main__":
    main()
