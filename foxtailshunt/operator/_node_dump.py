"""Model of a node's ``/dump`` response: the node's state and its view of the fleet."""

from collections.abc import Iterable
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from foxtailshunt.errors import FoxtailshuntError, ResultCode
from foxtailshunt.network import Address
from foxtailshunt.operator._dump_client import DumpClient, DumpError

_Port = Annotated[int, Field(gt=0, lt=65_536)]
_WireAddress = tuple[str, _Port]


class _DumpModel(BaseModel):
    # Nodes of a newer version may include more fields.
    model_config = ConfigDict(extra="ignore", frozen=True)


class DumpedVersions(_DumpModel):
    """Versions of the state that the node uses."""

    configuration: int
    term: int
    ownership: int


class DumpedService(_DumpModel):
    """A service of the configuration in force."""

    name: str
    keyed: bool


class DumpedUpstream(_DumpModel):
    """An upstream known to the node."""

    upstream_id: str
    service: str
    zone: str
    address: _WireAddress
    leaving: bool


class DumpedMember(_DumpModel):
    """A member of the fleet known to the node."""

    instance_id: str
    zone: str
    address: _WireAddress
    leaving: bool
    operator_address: _WireAddress | None = None


class DumpedRange(_DumpModel):
    """A range of key numbers and its owner."""

    service: str
    first: int
    last: int
    owner: str
    fence: int
    giver: str | None
    moving: bool


class NodeDump(_DumpModel):
    """A node's response to ``/dump``."""

    instance: str
    leads: bool
    stopping: bool
    versions: DumpedVersions
    services: list[DumpedService]
    upstreams_age_s: float | None
    upstreams: list[DumpedUpstream]
    #: Absent in dumps of earlier builds.
    evacuated_zones: list[str] = []
    members: list[DumpedMember]
    ranges: list[DumpedRange]
    waiting: int
    running: int


def read_node(client: DumpClient, address: Address) -> NodeDump:
    """Return the dump of a node.

    :param client: client that fetches the dump.
    :param address: operator address of the node.
    :raises DumpError: the node cannot be reached or its response is not a dump.
    :raises FoxtailshuntError: with ``MALFORMED_DOCUMENT`` if the dump does not come from a node.
    """
    document = client.read(address)
    try:
        return NodeDump.model_validate(document)
    except ValidationError as exc:
        first = exc.errors()[0]
        field = ".".join(str(item) for item in first["loc"])
        raise FoxtailshuntError(
            ResultCode.MALFORMED_DOCUMENT,
            f"{address[0]}:{address[1]} is not a node: {field}: {first['msg']}",
        )


def read_first_reachable_node(client: DumpClient, addresses: Iterable[Address]) -> NodeDump:
    """Return the dump of the first node that responds.

    :param client: client that fetches the dumps.
    :param addresses: operator addresses, in the order in which they are tried.
    :raises DumpError: no node responded.
    """
    failures = []
    for address in addresses:
        try:
            return read_node(client, address)
        except DumpError as exc:
            failures.append(exc.message)
    raise DumpError(f"no node responded: {'; '.join(failures)}")
