"""``foxtailshunt-dispatcher``: the only sender of work to the upstreams that it dispatches for."""

from pathlib import Path

import click

from foxtailshunt.cli._program import new_boot_id, run_program
from foxtailshunt.dispatcher import DispatcherProgram


@click.command()
@click.argument("settings", type=click.Path(path_type=Path))
def main(settings: Path) -> None:
    """Dispatch to upstreams by the settings file SETTINGS until SIGTERM.

    Exit codes: 0 stopped as asked, 2 a bad settings file or an address in use.
    """
    run_program(
        "foxtailshunt-dispatcher", settings, lambda read: DispatcherProgram(read, new_boot_id())
    )
