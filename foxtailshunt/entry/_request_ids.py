"""Request ids: UUIDs of version 7 (RFC 9562) where a request must not repeat."""

import os
import re
import uuid

from foxtailshunt.errors import FoxtailshuntError, ResultCode
from foxtailshunt.timing import Clock

#: Longest request id that a caller may choose, in characters.
MAX_REQUEST_ID_LENGTH = 128

_ID_PATTERN = re.compile(r"[A-Za-z0-9._:-]+")
_UUID_PATTERN = re.compile(r"[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}")
_VERSION = 0x7
_VARIANT = 0b10
_RANDOM_A_MASK = 0xFFF
_RANDOM_B_MASK = (1 << 62) - 1
_TIMESTAMP_SHIFT = 80
_MILLISECONDS = 1000


def draw_request_id(clock: Clock) -> str:
    """Return a new UUID of version 7.

    :param clock: its wall time is the id's timestamp.
    """
    random_bits = int.from_bytes(os.urandom(10))
    value = int(clock.wall_time() * _MILLISECONDS) << _TIMESTAMP_SHIFT
    value |= _VERSION << 76
    value |= (random_bits >> 62 & _RANDOM_A_MASK) << 64
    value |= _VARIANT << 62
    value |= random_bits & _RANDOM_B_MASK
    return str(uuid.UUID(int=value))


def check_request_id(request_id: str) -> None:
    """Check the length and the characters of a caller's request id.

    :param request_id: the id.
    :raises FoxtailshuntError: with ``BAD_REQUEST``.
    """
    if len(request_id) > MAX_REQUEST_ID_LENGTH:
        raise FoxtailshuntError(
            ResultCode.BAD_REQUEST, f"X-Request-Id is over {MAX_REQUEST_ID_LENGTH} characters"
        )
    if not _ID_PATTERN.fullmatch(request_id):
        raise FoxtailshuntError(
            ResultCode.BAD_REQUEST, "X-Request-Id may hold letters, digits and . _ : - only"
        )


def check_timed_request_id(request_id: str, clock: Clock, skew_s: float) -> None:
    """Check the id of a request that must not repeat.

    :param request_id: the id.
    :param clock: its wall time is compared with the id's timestamp.
    :param skew_s: how far the timestamp may lie in the future, in seconds.
    :raises FoxtailshuntError: with ``BAD_REQUEST``.
    """
    if not _UUID_PATTERN.fullmatch(request_id):
        raise FoxtailshuntError(
            ResultCode.BAD_REQUEST,
            "X-Request-Id must be a lower-case UUID of version 7 (RFC 9562) for this operation",
        )
    timestamp_s = (uuid.UUID(request_id).int >> _TIMESTAMP_SHIFT) / _MILLISECONDS
    if timestamp_s > clock.wall_time() + skew_s:
        raise FoxtailshuntError(
            ResultCode.BAD_REQUEST, "the timestamp of X-Request-Id lies in the future"
        )
