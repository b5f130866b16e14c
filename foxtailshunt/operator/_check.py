"""Validates a configuration file without contacting the fleet."""

from dataclasses import dataclass
from pathlib import Path

from foxtailshunt.config import read_configuration
from foxtailshunt.errors import DocumentError


@dataclass(frozen=True, slots=True)
class CheckResult:
    """Summary of a valid configuration file."""

    #: Name of the fleet.
    fleet: str
    #: Number of availability zones.
    zones: int
    #: Number of upstreams by service.
    upstreams: dict[str, int]
    #: Number of operations by service.
    operations: dict[str, int]


def read_file(path: Path) -> str:
    """Return the text of a file.

    :param path: file to read.
    :raises DocumentError: the file cannot be read or is not UTF-8.
    """
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise DocumentError(f"cannot read {path}: {exc}")


def check_file(path: Path) -> CheckResult:
    """Validate a configuration file.

    :param path: file to validate.
    :raises DocumentError: the file is not valid; the message lists the location of each error.
    """
    try:
        model = read_configuration(read_file(path))
    except DocumentError as exc:
        raise DocumentError(f"{path}: {exc.message}")
    return CheckResult(
        fleet=model.fleet,
        zones=len(model.zones),
        upstreams={service.name: len(service.upstreams) for service in model.services},
        operations={service.name: len(service.operations) for service in model.services},
    )
