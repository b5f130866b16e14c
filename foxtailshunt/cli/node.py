"""``foxtailshunt-node``: everything that one instance of a platform runs."""

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

#: Exit code for a bad settings file or an address in use.
EXIT_BAD_SETTINGS = 2


class _Signals:
    """Hands signals to the main thread through a pipe; a handler may not take locks."""

    def __init__(self) -> None:
        self._read_end, self._write_end = os.pipe()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, self._note)

    def wait(self) -> int:
        """Return the next signal."""
        return os.read(self._read_end, 1)[0]

    def _note(self, number: int, frame: FrameType | None) -> None:
        os.write(self._write_end, bytes([number]))


@click.command()
@click.option(
    "--settings",
    "settings_path",
    envvar="FOXTAILSHUNT_BOOT",
    required=True,
    type=click.Path(path_type=Path),
    help="Settings file of the node, in JSON.",
)
def main(settings_path: Path) -> None:
    """Run a node until SIGTERM or SIGINT; SIGHUP reads the settings again."""
    signals = _Signals()
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
    # Connection threads may still wait on sockets; nothing of them is needed any more.
    os._exit(0)


if __name__ == "__main__":
    main()
