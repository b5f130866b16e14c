"""Validates a configuration file without any process of the fleet."""

from dataclasses import dataclass
from pathlib import Path

from foxtailshunt.config import configuration_from_json
from foxtailshunt.errors import DocumentError

_UNNUMBERED = 0


@dataclass(frozen=True, slots=True)
class CheckResult:
    """What a valid file describes."""

    #: Name of the fleet.
    fleet: str
    #: Number of availability zones.
    zones: int
    #: Number of upstreams by service.
    upstreams: dict[str, int]
    #: Number of operations by service.
    operations: dict[str, int]


def read_file(path: Path) -> str:
    """Return a file's text.

    :param path: the file.
    :raises DocumentError: it cannot be read.
    """
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise DocumentError(f"cannot read {path}: {exc}")


def check_file(path: Path) -> CheckResult:
    """Validate a configuration file.

    :param path: the file.
    :raises DocumentError: it is not valid; the message names each place.
    """
    try:
        cfg = configuration_from_json(read_file(path), _UNNUMBERED)
    except DocumentError as exc:
        raise DocumentError(f"{path}: {exc.message}")
    return CheckResult(
        fleet=cfg.fleet,
        zones=len(cfg.zones),
        upstreams={name: len(service.upstreams) for name, service in cfg.services.items()},
        operations={name: len(service.operations) for name, service in cfg.services.items()},
    )
