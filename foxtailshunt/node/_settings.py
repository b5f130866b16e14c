"""The settings file of a node."""

import re
from pathlib import Path
from typing import Annotated, Any

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, ValidationError

from foxtailshunt.errors import DocumentError
from foxtailshunt.fleet import Address

_TIME = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")


def _parse_address(value: Any) -> Address:
    host, _, port = str(value).rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65_536:
        raise ValueError(f"not HOST:PORT: {value!r}")
    return host, int(port)


def _parse_seconds(value: Any) -> float:
    match = _TIME.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise ValueError(f"not a time such as 1500ms or 2.5s: {value!r}")
    return float(match[1]) / (1000 if match[2] == "ms" else 1)


HostPort = Annotated[Address, BeforeValidator(_parse_address)]
Seconds = Annotated[float, BeforeValidator(_parse_seconds)]


class NodeSettings(BaseModel):
    """What a node must know before it has read anything else."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    #: Name of the instance.
    instance_id: str = Field(min_length=1)
    #: Availability zone.
    zone: str = Field(min_length=1)
    #: IP number that the node listens on and connects from.
    host: str
    #: Where callers connect.
    callers: HostPort
    #: Where the balancer asks whether the node is ready.
    readiness: HostPort
    #: Port for other nodes.
    peer_port: int = Field(gt=0, lt=65_536)
    #: Port for metrics and dumps.
    operator_port: int = Field(gt=0, lt=65_536)
    #: The platform's store.
    store: HostPort
    #: Time between SIGTERM and SIGKILL, in seconds.
    grace: Seconds
    #: Repeats that the fleet may send, as a share of first sends.
    repeat_ratio: float = Field(ge=0, le=1)
    #: Repeats that the fleet may send beside that share in the platform's window.
    repeat_reserve: float = Field(ge=0)


def load_node_settings(path: Path) -> NodeSettings:
    """Return the settings of a file.

    :param path: the file, in JSON.
    :raises DocumentError: it cannot be read; the message names the field.
    """
    try:
        return NodeSettings.model_validate_json(path.read_bytes())
    except OSError as exc:
        raise DocumentError(f"cannot read settings {path}: {exc}")
    except ValidationError as exc:
        first = exc.errors()[0]
        place = ".".join(str(part) for part in first["loc"])
        raise DocumentError(f"settings {path}: {place}: {first['msg']}")
