"""``foxtailshunt-entry``: takes callers' HTTP requests and forwards them to dispatchers."""

from pathlib import Path

import click

from foxtailshunt.cli._program import new_boot_id, run_program
from foxtailshunt.entry._program import EntryProgram


@click.command()
@click.argument("settings", type=click.Path(path_type=Path))
def main(settings: Path) -> None:
    """Serve callers by the settings file SETTINGS until SIGTERM.

    Exit codes: 0 stopped as asked, 2 a bad settings file or an address in use.
    """
    run_program("foxtailshunt-entry", settings, lambda read: EntryProgram(read, new_boot_id()))
