"""Options that commands of the operators' command line share."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import wraps
from pathlib import Path
from typing import Any

import click

from foxtailshunt.cli._operator_text import to_json, to_text
from foxtailshunt.config import load_settings
from foxtailshunt.config._address import parse_address
from foxtailshunt.errors import FoxtailshuntError
from foxtailshunt.operator import ExitCode, exit_code_of
from foxtailshunt.ownership import Address

#: Longest wait for one answer of the platform or of a process, in seconds.
TIMEOUT_S = 2.0


class AddressType(click.ParamType):
    """An IPv4 address and port on the command line."""

    name = "IP:PORT"

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
class Places:
    """Where a command finds the fleet."""

    #: Addresses of the platform.
    platform: tuple[Address, ...]
    #: Addresses of assigners.
    peers: tuple[Address, ...]


def platform_option(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add ``--platform``."""
    return click.option(
        "--platform",
        "platform",
        type=AddressType(),
        multiple=True,
        help="Address of the platform's key-value service; may be given several times.",
    )(command)


def peer_option(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add ``--peer``."""
    return click.option(
        "--peer",
        "peers",
        type=AddressType(),
        multiple=True,
        help="Address of an assigner; may be given several times.",
    )(command)


def settings_option(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add ``--settings``."""
    return click.option(
        "--settings",
        type=click.Path(path_type=Path),
        help="Settings file of an instance, to take the addresses from.",
    )(command)


def json_option(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add ``--json``."""
    return click.option("--json", "as_json", is_flag=True, help="Print a JSON document.")(command)


def find_places(
    settings: Path | None, platform: tuple[Address, ...], peers: tuple[Address, ...]
) -> Places:
    """Return the addresses of the options; those of the settings file come last.

    :param settings: the settings file, if one was named.
    :param platform: addresses of ``--platform``.
    :param peers: addresses of ``--peer``.
    :raises DocumentError: the settings file is not valid.
    """
    if settings is None:
        return Places(platform, peers)
    read = load_settings(settings)
    own = (read.assigner.advertised_address,)
    return Places(platform + read.platform_addresses, peers + own + read.peer_addresses)


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
