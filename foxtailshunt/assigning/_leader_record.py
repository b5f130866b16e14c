"""The record with which the leader holds its key in the store."""

import json
from dataclasses import dataclass
from typing import Annotated

from pydantic import BaseModel, Field, StrictInt, ValidationError

from foxtailshunt.errors import DocumentError
from foxtailshunt.fleet import Member
from foxtailshunt.platform import StoreItem

#: Maximum length of an id or a host, in characters.
MAX_TEXT_CHARS = 255

_Host = Annotated[str, Field(min_length=1, max_length=MAX_TEXT_CHARS)]
_Port = Annotated[StrictInt, Field(ge=1, le=65_535)]


@dataclass(frozen=True, slots=True)
class Leader:
    """The current leader, as recorded in the store."""

    #: Id of the instance.
    instance_id: str
    #: Id of its process, drawn anew at each start.
    boot_id: str
    #: Address at which it serves other nodes.
    address: tuple[str, int]
    #: Its term: the store revision at which it became leader.
    term: int


class _Record(BaseModel):
    instance_id: str = Field(max_length=MAX_TEXT_CHARS)
    boot_id: str = Field(max_length=MAX_TEXT_CHARS)
    at: tuple[_Host, _Port]


def encode_leader(member: Member) -> bytes:
    """Encode the record of a leader as JSON.

    :param member: the node that becomes leader.
    """
    record = {
        "instance_id": member.instance_id,
        "boot_id": member.boot_id,
        "at": list(member.address),
    }
    return json.dumps(record).encode()


def decode_leader(item: StoreItem) -> Leader:
    """Decode the record of a leader.

    :param item: the leader's key.
    :raises DocumentError: the record is malformed.
    """
    try:
        wire = _Record.model_validate_json(item.value)
    except ValidationError as exc:
        first = exc.errors(include_url=False, include_input=False)[0]
        place = ".".join(str(part) for part in first["loc"])
        raise DocumentError(f"leader: {place}: {first['msg']}") from None
    return Leader(wire.instance_id, wire.boot_id, wire.at, item.revision)
