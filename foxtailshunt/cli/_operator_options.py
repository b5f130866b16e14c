"""Options that commands of the operators' command line share."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import wraps
from pathlib import Path
from typing import Any

import click

from foxtailshunt.cli._operator_text import to_json, to_text
from foxtailshunt.errors import FoxtailshuntError
from foxtailshunt.network import Address, parse_address
from foxtailshunt.node import load_node_settings
from foxtailshunt.operator import ExitCode, exit_code_of

#: Longest wait for one answer of a node, in seconds.
TIMEOUT_S = 2.0


class AddressType(click.ParamType):
    """A host and port on the command line."""

    name = "HOST:PORT"

    def convert(
        self, value: Any, param: click.Parameter | None, ctx: click.Context | None
    ) -> Address:
        """Return host and port of a text such as ``127.0.0.1:8080``."""
        if isinstance(value, tuple):
            return value
        try:
            return parse_address(value)
        except ValueError as exc:
            self.fail(str(exc), param, ctx)


@dataclass(frozen=True, slots=True)
class FleetAddresses:
    """Where a command finds the fleet."""

    #: Address of the store; None if neither an option nor the settings name it.
    store: Address | None
    #: Operator addresses of nodes.
    nodes: tuple[Address, ...]


def store_option(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add ``--store``."""
    return click.option("--store", type=AddressType(), help="Address of the platform's store.")(
        command
    )


def node_option(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add ``--node``."""
    return click.option(
        "--node",
        "nodes",
        type=AddressType(),
        multiple=True,
        help="Operator address of a node; may be given several times.",
    )(command)


def settings_option(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add ``--settings``."""
    return click.option(
        "--settings",
        type=click.Path(path_type=Path),
        help="Settings file of a node, to take the addresses from.",
    )(command)


def json_option(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add ``--json``."""
    return click.option("--json", "as_json", is_flag=True, help="Print a JSON document.")(command)


def resolve_addresses(
    settings: Path | None, store: Address | None, nodes: tuple[Address, ...]
) -> FleetAddresses:
    """Return the addresses of the options; those of the settings file come last.

    :param settings: the settings file, if one was named.
    :param store: address of ``--store``.
    :param nodes: addresses of ``--node``.
    :raises DocumentError: the settings file is not valid.
    """
    if settings is None:
        return FleetAddresses(store, nodes)
    read = load_node_settings(settings)
    return FleetAddresses(store or read.store, (*nodes, (read.host, read.operator_port)))


def prints_result(command: Callable[..., Any]) -> Callable[..., None]:
    """Print what a command returns, or its error, and exit with the code of the outcome."""

    @wraps(command)
    def run(*args: Any, as_json: bool, **kwargs: Any) -> None:
        try:
            result = command(*args, **kwargs)
        except FoxtailshuntError as exc:
            exit_code = exit_code_of(exc)
            if as_json:
                click.echo(to_json(_error_document(exc, exit_code)))
            click.echo(f"error: {exc}", err=True)
            raise click.exceptions.Exit(exit_code)
        click.echo(to_json(result) if as_json else to_text(result))

    return run


def _error_document(exc: FoxtailshuntError, exit_code: ExitCode) -> dict[str, Any]:
    error = {"code": int(exc.code), "name": exc.code.name, "message": exc.message}
    return {"error": error, "exit_code": int(exit_code)}
