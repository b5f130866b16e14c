"""Decodes the store entries with which upstreams register themselves."""

import ipaddress
import re
from typing import Literal

from pydantic import BaseModel, Field, StrictInt, ValidationError, field_validator

from foxtailshunt.fleet import Upstream
from foxtailshunt.network import parse_address
from foxtailshunt.platform._durations import MAX_WARMUP_S, Seconds

#: Prefix of the keys that the operator writes.
OPERATOR_PREFIX = "op/"
#: Key of the latest configuration.
CONFIGURATION_KEY = "op/config"
#: Prefix of the keys that upstreams write; the rest of a key is the upstream's id.
UPSTREAM_PREFIX = "servers/"

#: Maximum number of requests that an upstream processes concurrently; each sender keeps a time per
#: slot.
MAX_SLOTS = 10_000
#: Latest start of an upstream as Unix time in milliseconds; the end of the year 9999.
MAX_BORN_MS = 253_402_300_799_999
#: Maximum length of the name of a service or zone, in characters; as long as a key of the store.
MAX_NAME_CHARS = 200
#: Maximum length of an address, in characters; that of ``255.255.255.255:65535``.
MAX_ADDRESS_CHARS = 21
#: Maximum length of the message about an unreadable entry, in characters; log lines carry it.
MAX_MESSAGE_CHARS = 200

#: Ids are sent in headers, so they consist of visible ASCII characters; a key of the store has at
#: most 200 bytes.
_UPSTREAM_ID = re.compile(r"[!-~]{1,192}")
_ADDRESS = re.compile(r"[0-9.]+:[1-9][0-9]*")


class _WireUpstream(BaseModel):
    service: str = Field(min_length=1, max_length=MAX_NAME_CHARS)
    address: str = Field(max_length=MAX_ADDRESS_CHARS)
    zone: str = Field(min_length=1, max_length=MAX_NAME_CHARS)
    slots: StrictInt = Field(ge=1, le=MAX_SLOTS)
    state: Literal["ready", "draining"]
    #: Remaining warm-up time after a start, not its full length.
    warmup_left: Seconds = Field(default=0.0, le=MAX_WARMUP_S)
    #: Start of the upstream as Unix time in milliseconds; 0 if unknown.
    born: StrictInt = Field(default=0, ge=0, le=MAX_BORN_MS)

    @field_validator("address")
    @classmethod
    def _check_address(cls, value: str) -> str:
        if not _ADDRESS.fullmatch(value):
            raise ValueError("not an IPv4 number and port")
        host, _ = parse_address(value)
        number = ipaddress.IPv4Address(host)
        if number.is_unspecified or number.is_multicast:
            raise ValueError("not the address of a host")
        return value


def decode_upstream(key: str, value: bytes) -> Upstream:
    """Decode the entry of an upstream.

    Entries may come from other writers, so each field is checked for what an upstream would write.

    :param key: key of the entry.
    :param value: stored bytes of the entry.
    :raises ValueError: the entry is malformed; the message names the field and is short.
    """
    upstream_id = key.removeprefix(UPSTREAM_PREFIX)
    if not _UPSTREAM_ID.fullmatch(upstream_id):
        raise ValueError("the key does not end with an id")
    try:
        wire = _WireUpstream.model_validate_json(value)
    except ValidationError as exc:
        error = exc.errors(include_url=False, include_input=False)[0]
        message = f"{'.'.join(str(part) for part in error['loc'])}: {error['msg']}"
        raise ValueError(message[:MAX_MESSAGE_CHARS]) from None
    return Upstream(
        upstream_id=upstream_id,
        service=wire.service,
        address=parse_address(wire.address),
        zone=wire.zone,
        slots=wire.slots,
        leaving=wire.state == "draining",
        warmup_s=wire.warmup_left,
        started_ms=wire.born,
    )
