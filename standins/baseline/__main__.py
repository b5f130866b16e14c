"""Starts one baseline entry: ``python -m standins.baseline --listen IP:PORT CONFIGURATION``."""

from pathlib import Path

import click

from foxtailshunt.config import configuration_from_json
from foxtailshunt.config._address import parse_address
from standins.baseline._entry import BaselineEntry


@click.command()
@click.option("--listen", required=True, help="Where callers are served, as IP:PORT.")
@click.option("--entries", required=True, type=int, help="Entries that share the slots.")
@click.argument("configuration", type=click.Path(path_type=Path, exists=True))
def main(listen: str, entries: int, configuration: Path) -> None:
    """Serve the operations of CONFIGURATION."""
    cfg = configuration_from_json(configuration.read_text(encoding="utf-8"), 1)
    BaselineEntry(parse_address(listen), cfg, entries).serve()


if __name__ == "__main__":
    main()
