"""Settings file of a node."""

from enum import Enum
from pathlib import Path
from typing import Annotated, Any

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, ValidationError

from foxtailshunt.admission import OverloadPolicy
from foxtailshunt.errors import DocumentError
from foxtailshunt.fleet import DEFAULT_HEARTBEAT_S
from foxtailshunt.network import Address, parse_address
from foxtailshunt.platform import Feature, Seconds, features_of


class InterfaceKind(Enum):
    """Interface that callers and operators use."""

    #: The platform's headers, and the configuration that its operators write to the store.
    PLATFORM = "platform"
    #: The product's own headers, and the configuration applied with the operator command.
    OWN = "own"


def _parse_address(value: Any) -> Address:
    return parse_address(str(value))


def _keep_regions(value: Any) -> Any:
    # On a platform without regions, the template may give another kind of value.
    return value if isinstance(value, dict) else {}


HostPort = Annotated[Address, BeforeValidator(_parse_address)]


class NodeSettings(BaseModel):
    """Settings that a node needs at startup, before it reads from the store."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    #: Id of the instance.
    instance_id: str = Field(min_length=1)
    #: Availability zone.
    zone: str = Field(min_length=1)
    #: IP address that the node listens on and connects from.
    host: str
    #: Address for connections of callers.
    callers: HostPort
    #: Address for readiness checks of the load balancer.
    readiness: HostPort
    #: Port for connections of other nodes.
    peer_port: int = Field(gt=0, lt=65_536)
    #: Port to listen on for other nodes if it is mapped to ``peer_port``; 0 if both are the same.
    peer_listen_port: int = Field(default=0, ge=0, lt=65_536)
    #: Port for metrics, health checks and dumps.
    operator_port: int = Field(gt=0, lt=65_536)
    #: Address of the platform's store.
    store: HostPort
    #: Time between SIGTERM and SIGKILL, in seconds.
    grace: Seconds
    #: Interval of the heartbeats with which upstreams keep their entries in the store, in seconds.
    heartbeat: Seconds = DEFAULT_HEARTBEAT_S
    #: Other nodes to follow at startup while the store is unavailable; may be outdated.
    peers: tuple[HostPort, ...] = ()
    #: Interface for callers and operators.
    interface: InterfaceKind = InterfaceKind.PLATFORM
    #: Share of a processor core that the node may use.
    cpu_share: float = Field(default=1.0, gt=0)
    #: Speed of the core, as a multiple of that of the fleet's ordinary instances.
    cpu_speed: float = Field(default=1.0, gt=0)
    #: Retries that the fleet may send, as a ratio of first attempts.
    repeat_ratio: float = Field(ge=0, le=1)
    #: Retries that the fleet may send in addition in the platform's window.
    repeat_reserve: float = Field(ge=0)
    #: Requests that a cold upstream may get in any second, from all nodes together: this multiple
    #: of its rate and this additional number. None if the deployment states no such bound.
    cold_rate_ratio: float | None = Field(default=None, ge=1)
    cold_reserve: float | None = Field(default=None, ge=0)
    #: Memory of the instance in MB, which limits the bodies in progress; None for a fixed limit.
    memory_mb: float | None = Field(default=None, gt=0)
    #: Descriptors that the node may open, which limit the connections of callers; None for a fixed
    #: limit.
    max_fds: int | None = Field(default=None, gt=0)
    #: Region of the node; None if the deployment has no regions.
    region: str | None = None
    #: Region of each availability zone; ignored if it is not a table.
    zone_regions: Annotated[dict[str, str], BeforeValidator(_keep_regions)] = {}
    #: What is served first and what is refused if capacity is short; None for what the contracts
    #: ask for, or ``by-slack``.
    overload_policy: OverloadPolicy | None = None
    #: What the platform's deployment asks for; unknown entries have no effect.
    contracts: tuple[Any, ...] | None = None

    def regions(self) -> frozenset[str]:
        """Return the regions of the zones that the settings name."""
        own = {} if self.region is None else {self.zone: self.region}
        return frozenset((own | self.zone_regions).values())

    @property
    def effective_overload_policy(self) -> OverloadPolicy:
        """Return the overload policy that is in force."""
        if self.overload_policy is not None:
            return self.overload_policy
        is_on_platform = self.interface is InterfaceKind.PLATFORM
        features = features_of(self.contracts or ()) if is_on_platform else ()
        by_cost = Feature.ADMISSION_BY_COST in features
        return OverloadPolicy.BY_COST if by_cost else OverloadPolicy.BY_SLACK


def load_node_settings(path: Path) -> NodeSettings:
    """Load and validate a settings file.

    :param path: path of the JSON file.
    :raises DocumentError: if the file cannot be read or is invalid; the message names the field.
    """
    try:
        return NodeSettings.model_validate_json(path.read_bytes())
    except OSError as exc:
        raise DocumentError(f"cannot read settings {path}: {exc}")
    except ValidationError as exc:
        first = exc.errors()[0]
        field = ".".join(str(part) for part in first["loc"])
        raise DocumentError(f"settings {path}: {field}: {first['msg']}")
