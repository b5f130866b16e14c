"""``foxtailshunt``: the operator command line."""

import sys
from pathlib import Path
from typing import Any, TextIO

import click

from foxtailshunt.cli._operator_options import (
    TIMEOUT_S,
    AddressType,
    interface_option,
    json_option,
    node_option,
    prints_result,
    resolve_addresses,
    settings_option,
    store_option,
)
from foxtailshunt.errors import FoxtailshuntError, ResultCode
from foxtailshunt.network import Address
from foxtailshunt.node import load_node_settings
from foxtailshunt.operator import (
    FORMATS,
    OWN_FORMAT,
    ApplyResult,
    CheckResult,
    ConfigApplier,
    DumpClient,
    Explanation,
    FleetStatus,
    RequestTrace,
    VersionReader,
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
  0  success, including when no change was necessary
  1  a node or the store could not be reached or failed; nothing was changed
  2  a file, an argument or a setting is not valid; nothing was changed
  3  a concurrent change was made first; nothing was changed
  4  it is not known whether the store applied the change
"""

_CHECK_EXIT_CODES = f"""{_EXIT_CODES.rstrip()}
  5  the file is valid, but has entries without effect or contradictory limits
"""


@click.group(epilog=_EXIT_CODES)
def main() -> None:
    """Configure a fleet and inspect its state.

    The store holds the configuration. A change replaces the whole file, and is accepted
    completely or not at all. Run COMMAND --help for the description of a command.
    """


@main.command(epilog=_CHECK_EXIT_CODES)
@click.argument("file", type=click.Path(path_type=Path))
@interface_option
@store_option
@node_option
@settings_option
@json_option
@prints_result
def check(
    file: Path,
    interface: str | None,
    store: Address | None,
    nodes: tuple[Address, ...],
    settings: Path | None,
) -> CheckResult:
    """Check the configuration FILE, and compare it with the version in force.

    Reports errors, entries that can never take effect and limits that contradict each other. With
    the address of the store or of a node it also lists the differences from the version in force,
    which it reads from the store, or from the first node that responds; from both if the store has
    returned from an older copy. Otherwise it contacts nothing. It never changes anything.
    """
    addresses = resolve_addresses(settings, store, nodes)
    reader = None
    if addresses.store is not None or addresses.nodes:
        client = StoreClient(addresses.store) if addresses.store is not None else None
        reader = VersionReader(client, DumpClient(TIMEOUT_S), addresses.nodes)
    regions = load_node_settings(settings).regions() if settings is not None else None
    return check_file(file, FORMATS[interface] if interface else None, regions, reader)


@main.command(epilog=_EXIT_CODES)
@click.argument("file", type=click.Path(path_type=Path))
@store_option
@settings_option
@click.option(
    "--expect-version",
    type=click.IntRange(min=0),
    help="Fail with exit code 3 unless this is the newest version; 0 if there is none yet.",
)
@json_option
@prints_result
def apply(
    file: Path, store: Address | None, settings: Path | None, expect_version: int | None
) -> ApplyResult:
    """Store the configuration FILE as the newest version.

    The version is accepted once it is stored. The nodes apply it within seconds; `status` shows
    the version in force on each node. A file with the same content as the newest version changes
    nothing, unless the store has returned from an older copy since.
    """
    check_file(file, OWN_FORMAT)
    store_address = resolve_addresses(settings, store, ()).store
    if store_address is None:
        raise _missing_address("--store or --settings")
    return ConfigApplier(StoreClient(store_address), MonotonicClock()).apply(
        read_file(file), expect_version
    )


@main.command(epilog=_EXIT_CODES)
@node_option
@settings_option
@json_option
@prints_result
def status(nodes: tuple[Address, ...], settings: Path | None) -> FleetStatus:
    """Show all nodes with their configuration version, and all upstreams with their keys.

    Reads the member list from one node, then queries the operator port of every member. Exits with
    code 1 only if no node responds.
    """
    return collect_status(_node_addresses(settings, nodes), DumpClient(TIMEOUT_S))


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
    """Show which upstream owns KEY of SERVICE and why, from the state of the first node to respond.

    KEY is the key as it appears in requests.
    """
    node = read_first_reachable_node(DumpClient(TIMEOUT_S), _node_addresses(settings, nodes))
    return explain_key(node, service, key, is_number)


@main.command("explain-request", epilog=_EXIT_CODES)
@click.argument("request_id")
@click.argument("logs", nargs=-1, type=click.File(errors="replace"))
@json_option
@prints_result
def explain_request(request_id: str, logs: tuple[TextIO, ...]) -> RequestTrace:
    """Trace a request through the logs of all nodes.

    LOGS are log files; standard input is read if none is given.
    """
    sources = logs or (sys.stdin,)
    lines = [line for source in sources for line in read_log_lines(source)]
    trace = trace_request(lines, request_id)
    if not trace.lines:
        raise FoxtailshuntError(
            ResultCode.BAD_REQUEST, f"no log line contains request id {request_id}"
        )
    return trace


def _node_addresses(settings: Path | None, nodes: tuple[Address, ...]) -> tuple[Address, ...]:
    addresses = resolve_addresses(settings, None, nodes)
    if not addresses.nodes:
        raise _missing_address("--node or --settings")
    return addresses.nodes


def _missing_address(options: str) -> FoxtailshuntError:
    return FoxtailshuntError(ResultCode.BAD_REQUEST, f"specify the fleet with {options}")


if __name__ == "__main__":
    main()
