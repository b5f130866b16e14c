"""Command line of ``scripts/measure``."""

import json
from collections.abc import Callable
from pathlib import Path

import click

from standins.measuring._logging import measure_logging
from standins.measuring._ownership import measure_ownership
from standins.measuring._path import measure_path
from standins.measuring._service import measure_service

_ROOT = Path(__file__).resolve().parent.parent.parent

Measurement = Callable[[Path, Callable[[str], None]], dict]


@click.group()
def main() -> None:
    """Measure the system; the last line of the output is one JSON object."""


def _run(measurement: Measurement) -> None:
    result = measurement(_ROOT, lambda line: click.echo(line, err=True))
    click.echo(json.dumps(result))


@main.command()
@click.option("--size", "sizes", type=int, multiple=True, default=(1, 3), show_default=True)
def ownership(sizes: tuple[int, ...]) -> None:
    """Measure recovery from losses, configuration changes and idle store calls."""
    _run(lambda root, report: measure_ownership(root, sizes, report))


@main.command()
def service() -> None:
    """Measure results and latency by rank, under normal load and in a flood."""
    _run(measure_service)


@main.command()
def path() -> None:
    """Measure the latency that a node adds to a direct call and its cost for a request."""
    _run(measure_path)


@main.command()
def logging() -> None:
    """Measure the cost of a request log line, written or suppressed."""
    _run(measure_logging)


if __name__ == "__main__":
    main()
