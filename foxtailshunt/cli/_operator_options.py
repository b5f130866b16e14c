"""Options and decorators shared by the commands of the operator command line."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import wraps
from pathlib import Path
from typing import Any

import click

from foxtailshunt.checks import Category
from foxtailshunt.cli._operator_text import to_json, to_text
from foxtailshunt.errors import DocumentError, FoxtailshuntError
from foxtailshunt.network import Address, parse_address
from foxtailshunt.node import load_node_settings
from foxtailshunt.operator import FORMATS, ExitCode, exit_code_of

#: Timeout for the response of one node, in seconds.
TIMEOUT_S = 2.0


class AddressType(click.ParamType):
    """Click parameter type for a host and port."""

    name = "HOST:PORT"

    def convert(
        self, value: Any, param: click.Parameter | None, ctx: click.Context | None
    ) -> Address:
        """Parse a host and port such as ``127.0.0.1:8080``."""
        if isinstance(value, tuple):
            return value
        try:
            return parse_address(value)
        except ValueError as exc:
            self.fail(str(exc), param, ctx)


@dataclass(frozen=True, slots=True)
class FleetAddresses:
    """Addresses at which a command contacts the fleet."""

    #: Address of the store; None if neither an option nor a settings file provides it.
    store: Address | None
    #: Operator addresses of nodes, in the order in which they are tried.
    nodes: tuple[Address, ...]


def store_option(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add the option ``--store``."""
    return click.option("--store", type=AddressType(), help="Address of the platform's store.")(
        command
    )


def node_option(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add the option ``--node``."""
    return click.option(
        "--node",
        "nodes",
        type=AddressType(),
        multiple=True,
        help="Operator address of a node; may be repeated.",
    )(command)


def settings_option(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add the option ``--settings``."""
    return click.option(
        "--settings",
        type=click.Path(path_type=Path),
        help="Settings file of a node, from which addresses are read.",
    )(command)


def interface_option(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add the option ``--interface``."""
    return click.option(
        "--interface",
        type=click.Choice(list(FORMATS)),
        help="Interface whose format FILE has; by default it is determined from the content.",
    )(command)


def json_option(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add the option ``--json``."""
    return click.option("--json", "as_json", is_flag=True, help="Print a JSON document.")(command)


def resolve_addresses(
    settings: Path | None, store: Address | None, nodes: tuple[Address, ...]
) -> FleetAddresses:
    """Return the addresses from the options, followed by those of the settings file.

    :param settings: path of a settings file; None if not given.
    :param store: address from ``--store``; takes precedence over the settings file.
    :param nodes: addresses from ``--node``.
    :raises DocumentError: the settings file is not valid.
    """
    if settings is None:
        return FleetAddresses(store, nodes)
    node_settings = load_node_settings(settings)
    return FleetAddresses(
        store or node_settings.store, (*nodes, (node_settings.host, node_settings.operator_port))
    )


def prints_result(command: Callable[..., Any]) -> Callable[..., None]:
    """Print the result or the error of a command, and exit with the matching exit code."""

    @wraps(command)
    def run_command(*args: Any, as_json: bool, **kwargs: Any) -> None:
        try:
            result = command(*args, **kwargs)
        except FoxtailshuntError as exc:
            exit_code = exit_code_of(exc)
            if as_json:
                click.echo(to_json(_error_document(exc, exit_code)))
            click.echo(f"error: {exc}", err=True)
            raise click.exceptions.Exit(exit_code)
        click.echo(to_json(result) if as_json else to_text(result))
        error = getattr(result, "error", None)
        if error is not None:
            click.echo(f"error: {error}", err=True)
        exit_code = getattr(result, "exit_code", ExitCode.OK)
        if exit_code != ExitCode.OK:
            raise click.exceptions.Exit(exit_code)

    return run_command


def _error_document(exc: FoxtailshuntError, exit_code: ExitCode) -> dict[str, Any]:
    error = {"code": int(exc.code), "name": exc.code.name, "message": exc.message}
    document: dict[str, Any] = {"error": error, "exit_code": int(exit_code)}
    if isinstance(exc, DocumentError) and exc.faults:
        document["findings"] = [
            {
                "category": Category.ERROR,
                "kind": "invalid",
                "location": fault.location,
                "message": fault.message,
            }
            for fault in exc.faults
        ]
    return document
