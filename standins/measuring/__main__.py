"""The command line of ``scripts/measure``."""

import json
from collections.abc import Callable
from pathlib import Path

import click

from standins.measuring._capacity import measure_capacity
from standins.measuring._churn import measure_churn
from standins.measuring._model import measure_model
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
@click.option("--size", "sizes", type=int, multiple=True, default=(3, 9), show_default=True)
def ownership(sizes: tuple[int, ...]) -> None:
    """Losses, overlaps, configuration, balance, and store calls for instances in each zone."""
    _run(lambda root, report: measure_ownership(root, sizes, report))


@main.command()
def churn() -> None:
    """Replace every instance once under load."""
    _run(measure_churn)


@main.command()
@click.option("--rounds", default=2, show_default=True, help="Product and baseline in turn.")
def service(rounds: int) -> None:
    """Goodput and latency by rank against the baseline."""
    _run(lambda root, report: measure_service(root, rounds, report))


@main.command()
def path() -> None:
    """What the two hops add to a direct call, and what each costs."""
    _run(measure_path)


@main.command()
def capacity() -> None:
    """Slopes of control's cost over the sizes that drive it."""
    _run(measure_capacity)


@main.command()
def model() -> None:
    """Random runs of the ownership rules in virtual time."""
    _run(measure_model)


if __name__ == "__main__":
    main()
