"""Decodes the store entries with which upstreams register themselves."""

from typing import Literal

from pydantic import BaseModel, Field, StrictBool, StrictInt, ValidationError, field_validator

from foxtailshunt.fleet import Upstream
from foxtailshunt.network import parse_address
from foxtailshunt.platform._durations import Seconds

#: Prefix of the keys that the operator writes.
OPERATOR_PREFIX = "op/"
#: Key of the latest configuration.
CONFIGURATION_KEY = "op/config"
#: Prefix of the keys that upstreams write; the rest of a key is the upstream's id.
UPSTREAM_PREFIX = "servers/"


class _WireUpstream(BaseModel):
    service: str = Field(min_length=1)
    address: str
    zone: str
    slots: StrictInt = Field(ge=1)
    state: Literal["ready", "draining"]
    #: Remaining warm-up time after a start, not its full length.
    warmup_left: Seconds = 0.0
    #: Start of the upstream as Unix time in milliseconds.
    born: StrictInt | StrictBool | None = None

    @field_validator("address")
    @classmethod
    def _check_address(cls, value: str) -> str:
        parse_address(value)
        return value


def decode_upstream(key: str, value: bytes) -> Upstream:
    """Decode the entry of an upstream.

    :param key: key of the entry.
    :param value: stored bytes of the entry.
    :raises ValueError: the entry is malformed; the message names the field.
    """
    try:
        wire = _WireUpstream.model_validate_json(value)
    except ValidationError as exc:
        error = exc.errors()[0]
        raise ValueError(f"{'.'.join(str(part) for part in error['loc'])}: {error['msg']}")
    born_ms = wire.born if isinstance(wire.born, int) and not isinstance(wire.born, bool) else 0
    return Upstream(
        upstream_id=key.removeprefix(UPSTREAM_PREFIX),
        service=wire.service,
        address=parse_address(wire.address),
        zone=wire.zone,
        slots=wire.slots,
        leaving=wire.state == "draining",
        warmup_s=wire.warmup_left,
        started_ms=born_ms,
    )
