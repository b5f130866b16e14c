"""The settings file of a node."""

from enum import Enum
from pathlib import Path
from typing import Annotated, Any

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, ValidationError

from foxtailshunt.errors import DocumentError
from foxtailshunt.network import Address, parse_address
from foxtailshunt.platform import Seconds


class InterfaceKind(Enum):
    """Which interface callers and operators use."""

    #: The platform's headers, and its operator's configuration.
    PLATFORM = "platform"
    #: The product's own headers, and the configuration of the operators' command line.
    OWN = "own"


def _parse_address(value: Any) -> Address:
    return parse_address(str(value))


HostPort = Annotated[Address, BeforeValidator(_parse_address)]


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
    #: Port that other nodes connect to.
    peer_port: int = Field(gt=0, lt=65_536)
    #: Port that is listened on for them where a port map stands between; 0 if it is the same.
    peer_listen_port: int = Field(default=0, ge=0, lt=65_536)
    #: Port for metrics and dumps.
    operator_port: int = Field(gt=0, lt=65_536)
    #: The platform's store.
    store: HostPort
    #: Time between SIGTERM and SIGKILL, in seconds.
    grace: Seconds
    #: Other nodes to ask for what they know while the store does not answer; may be stale.
    peers: tuple[HostPort, ...] = ()
    #: The interface for callers and operators.
    interface: InterfaceKind = InterfaceKind.PLATFORM
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
