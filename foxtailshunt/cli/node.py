"""``foxtailshunt-node``: runs the node of one instance."""

import os
import signal
import sys
import uuid
from pathlib import Path

import click

from foxtailshunt.errors import FoxtailshuntError
from foxtailshunt.network import set_source_host
from foxtailshunt.node import NodeProgram, load_node_settings

#: Exit code for an invalid settings file or an address that is already in use.
EXIT_BAD_SETTINGS = 2


#: Signals that the main thread waits for.
_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


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
    # Blocked before any other thread starts, and thus in all threads: the kernel may give a signal
    # that arrives while the process is suspended to any of them, which would not wake this one.
    signal.pthread_sigmask(signal.SIG_BLOCK, _SIGNALS)
    try:
        settings = load_node_settings(settings_path)
        set_source_host(settings.host)
        program = NodeProgram(settings, uuid.uuid4().hex)
    except FoxtailshuntError as exc:
        print(f"foxtailshunt-node: {exc}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    program.start()
    while signal.sigwait(_SIGNALS) == signal.SIGHUP:
        program.reload(settings_path)
    program.stop()
    sys.stdout.flush()
    # Exits without joining the connection threads, which may still block on sockets.
    os._exit(0)


if __name__ == "__main__":
    main()
