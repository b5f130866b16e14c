"""Checks record files and prints the violations."""

import sys
from pathlib import Path

import click

from standins.records._checker import check_records
from standins.records._reader import read_records
from standins.records._violations import describe

_EXIT_VIOLATIONS = 1
_EXIT_NOTHING_TO_CHECK = 2

_FILE = click.Path(exists=True, dir_okay=False, path_type=Path)


@click.command()
@click.argument("files", nargs=-1, required=True, type=_FILE)
@click.option("--must-not-repeat", type=_FILE, help="File of request ids, one a line.")
@click.option("--slot-count", multiple=True, type=(str, int), help="A service and its slots.")
def main(
    files: tuple[Path, ...],
    must_not_repeat: Path | None,
    slot_count: tuple[tuple[str, int], ...],
) -> None:
    """Check the records of all upstreams of a run.

    Exit code 1 tells of violations, 2 that no upstream held anything.
    """
    ids = frozenset(must_not_repeat.read_text().split()) if must_not_repeat else frozenset()
    report = check_records(read_records(files), ids.__contains__, slot_counts=dict(slot_count))
    for violation in report.violations:
        print(describe(violation))
    print(
        f"{report.holding_count} holdings, {report.effect_count} runs with effect, "
        f"{len(report.violations)} violations"
    )
    if report.violations:
        sys.exit(_EXIT_VIOLATIONS)
    if report.holding_count == 0:
        sys.exit(_EXIT_NOTHING_TO_CHECK)


if __name__ == "__main__":
    main()
