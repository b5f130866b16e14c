"""``foxtailshunt``: the operators' command line."""

import sys
from pathlib import Path
from typing import Any, TextIO

import click

from foxtailshunt.cli._operator_options import (
    TIMEOUT_S,
    AddressType,
    json_option,
    node_option,
    prints_result,
    resolve_addresses,
    settings_option,
    store_option,
)
from foxtailshunt.errors import FoxtailshuntError, ResultCode
from foxtailshunt.network import Address
from foxtailshunt.operator import (
    ApplyResult,
    CheckResult,
    ConfigApplier,
    DumpClient,
    Explanation,
    FleetStatus,
    RequestTrace,
    check_file,
    collect_status,
    explain_key,
    read_file,
    read_first_reachable_node,
    read_log_lines,
    trace_request,
)
from foxtailshunt.platform import StoreClient
from foxtailshunt.timing import MonotonicClock

_EXIT_CODES = """\b
Exit codes:
  0  done, also if nothing had to change
  1  something could not be reached or failed; nothing was changed
  2  a file, an argument or a setting is not valid; nothing was changed
  3  another change came first; nothing was changed
  4  the store did not say whether the change was taken
"""


@click.group(epilog=_EXIT_CODES)
def main() -> None:
    """Change a fleet by its configuration file, and see what it does.

    The store holds the configuration; a change is a whole new file that is accepted as
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
@store_option
@settings_option
@click.option(
    "--expect-version",
    type=click.IntRange(min=0),
    help="Fail with exit code 3 unless this version is the newest; 0 expects none.",
)
@json_option
@prints_result
def apply(
    file: Path, store: Address | None, settings: Path | None, expect_version: int | None
) -> ApplyResult:
    """Make the configuration FILE the newest version.

    The version is accepted once it stands in the store; the fleet takes it into force within
    seconds, as `status` shows. A file with the content of the newest version changes nothing.
    """
    check_file(file)
    place = resolve_addresses(settings, store, ()).store
    if place is None:
        raise _missing("--store or --settings")
    return ConfigApplier(StoreClient(place), MonotonicClock()).apply(
        read_file(file), expect_version
    )


@main.command(epilog=_EXIT_CODES)
@node_option
@settings_option
@json_option
@prints_result
def status(nodes: tuple[Address, ...], settings: Path | None) -> FleetStatus:
    """Show every node with the configuration version in force, and every upstream with its keys.

    Asks one node for the others, then every node at its operator port. Ends with exit code 1 only
    if no node answers.
    """
    return collect_status(_nodes(settings, nodes), DumpClient(TIMEOUT_S))


@main.command(epilog=_EXIT_CODES)
@click.argument("address", type=AddressType())
@json_option
@prints_result
def dump(address: Address) -> dict[str, Any]:
    """Show the state of the node whose operator port is at ADDRESS (HOST:PORT)."""
    return DumpClient(TIMEOUT_S).read(address)


@main.command(epilog=_EXIT_CODES)
@click.argument("service")
@click.argument("key")
@click.option("--number", "is_number", is_flag=True, help="KEY is a number from 0 to 65535.")
@node_option
@settings_option
@json_option
@prints_result
def explain(
    service: str,
    key: str,
    is_number: bool,
    nodes: tuple[Address, ...],
    settings: Path | None,
) -> Explanation:
    """Show which upstream owns KEY of SERVICE now, and why, as the first node that answers knows.

    KEY is the text that stands in requests.
    """
    node = read_first_reachable_node(DumpClient(TIMEOUT_S), _nodes(settings, nodes))
    return explain_key(node, service, key, is_number)


@main.command("explain-request", epilog=_EXIT_CODES)
@click.argument("request_id")
@click.argument("logs", nargs=-1, type=click.File(errors="replace"))
@json_option
@prints_result
def explain_request(request_id: str, logs: tuple[TextIO, ...]) -> RequestTrace:
    """Tell what became of a request, from the logs of all nodes.

    LOGS are files of log lines; without any, standard input is read.
    """
    sources = logs or (sys.stdin,)
    lines = [line for source in sources for line in read_log_lines(source)]
    story = trace_request(lines, request_id)
    if not story.lines:
        raise FoxtailshuntError(ResultCode.BAD_REQUEST, f"no line names request {request_id}")
    return story


def _nodes(settings: Path | None, nodes: tuple[Address, ...]) -> tuple[Address, ...]:
    places = resolve_addresses(settings, None, nodes)
    if not places.nodes:
        raise _missing("--node or --settings")
    return places.nodes


def _missing(options: str) -> FoxtailshuntError:
    return FoxtailshuntError(ResultCode.BAD_REQUEST, f"name the fleet with {options}")


if __name__ == "__main__":
    main()
