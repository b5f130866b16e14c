"""Encodes and decodes the ownership table as stored."""

import json
from dataclasses import dataclass

from pydantic import BaseModel, Field, ValidationError, model_validator

from foxtailshunt.errors import DocumentError
from foxtailshunt.fleet import KeyRange

#: Store key of the table.
TABLE_KEY = "foxtailshunt/table"


@dataclass(frozen=True, slots=True)
class LeaderProcess:
    """A process that is or was leader."""

    #: Id of its instance.
    instance_id: str
    #: Id of the process, drawn anew at each start.
    boot_id: str
    #: How long its grants may stay in force after the table was written, in seconds.
    grants_left_s: float


@dataclass(frozen=True, slots=True)
class TableRecord:
    """The stored ownership table.

    A key may be held by the owner of its range and, until the move is recorded as completed, by the
    previous owner (the field ``giver``).
    """

    #: The highest fencing token ever written; it never decreases.
    fence: int
    #: The ranges of all keyed services.
    ranges: tuple[KeyRange, ...]
    #: The leader that wrote the table and previous leaders whose grants may still be in force.
    leaders: tuple[LeaderProcess, ...]
    #: Era of the store in which the table was written.
    era: int = 0


class _Row(BaseModel):
    service: str
    first: int = Field(ge=0)
    last: int
    owner: str
    fence: int = Field(ge=0)
    giver: str | None = None

    @model_validator(mode="after")
    def _check_order(self) -> "_Row":
        if self.last < self.first:
            raise ValueError("the last key of a range is less than its first key")
        return self


class _Process(BaseModel):
    instance_id: str
    boot_id: str
    grants_left_s: float = Field(ge=0)


class _Document(BaseModel):
    fence: int = Field(ge=0)
    ranges: list[_Row]
    leaders: list[_Process]
    era: int = Field(default=0, ge=0)


def encode_table(record: TableRecord) -> bytes:
    """Encode a table as JSON.

    :param record: the table.
    """
    rows = [
        {
            "service": item.service,
            "first": item.first,
            "last": item.last,
            "owner": item.owner,
            "fence": item.fence,
        }
        | ({"giver": item.giver} if item.giver is not None else {})
        for item in record.ranges
    ]
    leaders = [
        {
            "instance_id": item.instance_id,
            "boot_id": item.boot_id,
            "grants_left_s": round(item.grants_left_s, 3),
        }
        for item in record.leaders
    ]
    document: dict[str, object] = {"fence": record.fence, "ranges": rows, "leaders": leaders}
    if record.era:
        document["era"] = record.era
    return json.dumps(document, separators=(",", ":")).encode()


def decode_table(document: bytes) -> TableRecord:
    """Decode a table.

    :param document: the stored JSON.
    :raises DocumentError: the document is not a valid table.
    """
    try:
        wire = _Document.model_validate_json(document)
    except ValidationError as exc:
        first = exc.errors()[0]
        place = ".".join(str(part) for part in first["loc"])
        raise DocumentError(f"ownership table: {place}: {first['msg']}")
    ranges = tuple(
        KeyRange(
            row.service, row.first, row.last, row.owner, row.fence, row.giver, row.giver is not None
        )
        for row in wire.ranges
    )
    leaders = tuple(
        LeaderProcess(item.instance_id, item.boot_id, item.grants_left_s) for item in wire.leaders
    )
    return TableRecord(wire.fence, ranges, leaders, wire.era)
