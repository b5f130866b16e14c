"""The command line of ``foxtailshunt-assigner``."""

from pathlib import Path

import click

from foxtailshunt.assigner import AssignerProgram
from foxtailshunt.cli._program import new_boot_id, run_program
from foxtailshunt.config import Settings
from foxtailshunt.kvstore import HttpPlatform
from foxtailshunt.telemetry import Metrics
from foxtailshunt.timing import MonotonicClock

_STORE_TIMEOUT_S = 0.8


def _make_program(settings: Settings) -> AssignerProgram:
    metrics = Metrics()
    platform = HttpPlatform(settings.platform_addresses, metrics, _STORE_TIMEOUT_S)
    return AssignerProgram(settings, new_boot_id(), platform, metrics, MonotonicClock())


@click.command()
@click.argument("settings", type=click.Path(path_type=Path))
def main(settings: Path) -> None:
    """Run the assigner of the instance that SETTINGS describes, until SIGTERM."""
    run_program("foxtailshunt-assigner", settings, _make_program)


if __name__ == "__main__":
    main()
