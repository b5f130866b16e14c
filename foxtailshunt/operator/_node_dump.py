"""What one node told of itself and of the fleet."""

from collections.abc import Iterable
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from foxtailshunt.errors import FoxtailshuntError, ResultCode
from foxtailshunt.network import Address
from foxtailshunt.operator._dump_client import DumpClient, DumpError

_Port = Annotated[int, Field(gt=0, lt=65_536)]
_WireAddress = tuple[str, _Port]


class _Part(BaseModel):
    # Nodes of a newer version may tell more.
    model_config = ConfigDict(extra="ignore", frozen=True)


class DumpedVersions(_Part):
    """Versions of what the node knows."""

    configuration: int
    term: int
    ownership: int


class DumpedService(_Part):
    """A service of the configuration in force."""

    name: str
    keyed: bool


class DumpedUpstream(_Part):
    """An upstream that the node knows."""

    upstream_id: str
    service: str
    zone: str
    address: _WireAddress
    leaving: bool


class DumpedMember(_Part):
    """A node that the node knows."""

    instance_id: str
    zone: str
    address: _WireAddress
    leaving: bool
    operator_address: _WireAddress | None = None


class DumpedRange(_Part):
    """A run of keys and its owner."""

    service: str
    first: int
    last: int
    owner: str
    fence: int
    giver: str | None
    moving: bool


class NodeDump(_Part):
    """A node's answer to ``/dump``."""

    instance: str
    leads: bool
    stopping: bool
    versions: DumpedVersions
    services: list[DumpedService]
    upstreams_age_s: float | None
    upstreams: list[DumpedUpstream]
    members: list[DumpedMember]
    ranges: list[DumpedRange]
    waiting: int
    running: int


def read_node(dumps: DumpClient, address: Address) -> NodeDump:
    """Return what a node tells.

    :param dumps: asks nodes.
    :param address: its operator address.
    :raises DumpError: it cannot be reached or its answer is no dump.
    :raises FoxtailshuntError: with ``MALFORMED_DOCUMENT`` if the dump is not a node's.
    """
    document = dumps.read(address)
    try:
        return NodeDump.model_validate(document)
    except ValidationError as exc:
        first = exc.errors()[0]
        place = ".".join(str(part) for part in first["loc"])
        raise FoxtailshuntError(
            ResultCode.MALFORMED_DOCUMENT,
            f"{address[0]}:{address[1]} is no node: {place}: {first['msg']}",
        )


def read_first_reachable_node(dumps: DumpClient, addresses: Iterable[Address]) -> NodeDump:
    """Return what the first node tells that answers.

    :param dumps: asks nodes.
    :param addresses: operator addresses.
    :raises DumpError: none answered.
    """
    tried = []
    for address in addresses:
        try:
            return read_node(dumps, address)
        except DumpError as exc:
            tried.append(exc.message)
    raise DumpError(f"no node answered: {'; '.join(tried)}")
