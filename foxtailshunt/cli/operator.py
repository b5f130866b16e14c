"""``foxtailshunt``: the operators' command line."""

import sys
from pathlib import Path
from typing import Any, TextIO

import click

from foxtailshunt.cli._operator_options import (
    TIMEOUT_S,
    AddressType,
    find_places,
    json_option,
    peer_option,
    platform_option,
    prints_result,
    settings_option,
)
from foxtailshunt.errors import FoxtailshuntError, ResultCode
from foxtailshunt.kvstore import HttpPlatform
from foxtailshunt.membership import View
from foxtailshunt.operator import (
    ApplyResult,
    CheckResult,
    ConfigApplier,
    DumpClient,
    Explanation,
    FleetReader,
    FleetStatus,
    FleetView,
    RequestStory,
    check_file,
    collect_status,
    explain_key,
    read_file,
    read_log_lines,
    read_store,
    tell_story,
)
from foxtailshunt.ownership import Address
from foxtailshunt.protocol import ClientPool
from foxtailshunt.protocol.gen import Assigner
from foxtailshunt.telemetry import Metrics
from foxtailshunt.timing import MonotonicClock

_EXIT_CODES = """\b
Exit codes:
  0  done, also if nothing had to change
  1  something could not be reached or failed; nothing was changed
  2  a file, an argument or a setting is not valid; nothing was changed
  3  another change came first; nothing was changed
  4  the store did not say whether the change was taken
"""
_MAX_IDLE = 1


@click.group(epilog=_EXIT_CODES)
def main() -> None:
    """Change a fleet by its configuration file, and see what it does.

    The platform's store holds the configuration; a change is a whole new file that is accepted as
    a whole or not at all. COMMAND --help describes each command.
    """


@main.command(epilog=_EXIT_CODES)
@click.argument("file", type=click.Path(path_type=Path))
@json_option
@prints_result
def check(file: Path) -> CheckResult:
    """Validate the configuration FILE; nothing is contacted or changed."""
    return check_file(file)


@main.command(epilog=_EXIT_CODES)
@click.argument("file", type=click.Path(path_type=Path))
@platform_option
@settings_option
@click.option(
    "--expect-version",
    type=click.IntRange(min=0),
    help="Fail with exit code 3 unless this version is the newest; 0 expects none.",
)
@json_option
@prints_result
def apply(
    file: Path,
    platform: tuple[Address, ...],
    settings: Path | None,
    expect_version: int | None,
) -> ApplyResult:
    """Make the configuration FILE the newest version.

    The version is accepted once it stands in the platform's store; the fleet takes it into force
    within seconds, as `status` shows. A file with the content of the newest version changes
    nothing. The slots of an existing service cannot change.
    """
    check_file(file)
    applier = ConfigApplier(_open_platform(settings, platform), MonotonicClock())
    return applier.apply(read_file(file), expect_version)


@main.command(epilog=_EXIT_CODES)
@peer_option
@settings_option
@json_option
@prints_result
def status(peers: tuple[Address, ...], settings: Path | None) -> FleetStatus:
    """Show zones, processes with the configuration version in force, and upstreams.

    Asks assigners for what they know, then every process at its operator port. Ends with exit
    code 1 only if no assigner answers.
    """
    return collect_status(_read_fleet(settings, peers), DumpClient(TIMEOUT_S))


@main.command(epilog=_EXIT_CODES)
@click.argument("address", type=AddressType())
@json_option
@prints_result
def dump(address: Address) -> dict[str, Any]:
    """Show the state of the process whose operator port is at ADDRESS (IP:PORT)."""
    return DumpClient(TIMEOUT_S).read(address)


@main.command(epilog=_EXIT_CODES)
@click.argument("service")
@click.argument("key")
@peer_option
@platform_option
@settings_option
@json_option
@prints_result
def explain(
    service: str,
    key: str,
    peers: tuple[Address, ...],
    platform: tuple[Address, ...],
    settings: Path | None,
) -> Explanation:
    """Show which upstream owns KEY of SERVICE now, and why.

    Asks assigners, or the platform's store if only --platform is given.
    """
    places = find_places(settings, platform, peers)
    view: View
    if places.peers:
        view = _read_fleet(settings, peers).view
    else:
        view = read_store(_open_platform(settings, platform))
    return explain_key(view, service, key)


@main.command("explain-request", epilog=_EXIT_CODES)
@click.argument("request_id")
@click.argument("logs", nargs=-1, type=click.File(errors="replace"))
@json_option
@prints_result
def explain_request(request_id: str, logs: tuple[TextIO, ...]) -> RequestStory:
    """Tell what became of a request, from the logs of all nodes.

    LOGS are files of log lines; without any, standard input is read.
    """
    sources = logs or (sys.stdin,)
    lines = [line for source in sources for line in read_log_lines(source)]
    story = tell_story(lines, request_id)
    if not story.lines:
        raise FoxtailshuntError(ResultCode.BAD_REQUEST, f"no line names request {request_id}")
    return story


def _open_platform(settings: Path | None, platform: tuple[Address, ...]) -> HttpPlatform:
    places = find_places(settings, platform, ())
    if not places.platform:
        raise _missing("--platform or --settings")
    return HttpPlatform(places.platform, Metrics(), TIMEOUT_S)


def _read_fleet(settings: Path | None, peers: tuple[Address, ...]) -> FleetView:
    places = find_places(settings, (), peers)
    if not places.peers:
        raise _missing("--peer or --settings")
    pool = ClientPool(Assigner, _MAX_IDLE)
    try:
        return FleetReader(pool, TIMEOUT_S).read(places.peers)
    finally:
        pool.close()


def _missing(options: str) -> FoxtailshuntError:
    return FoxtailshuntError(ResultCode.BAD_REQUEST, f"name the fleet with {options}")


if __name__ == "__main__":
    main()
