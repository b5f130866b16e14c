"""Request ids as callers draw them: UUIDv7 (RFC 9562)."""

import random
import time
import uuid

_RANDOM_BITS_A = 12
_RANDOM_BITS_B = 62
_VERSION = 7
_VARIANT = 2


def new_request_id(source: random.Random) -> str:
    """Return a UUIDv7 of this moment.

    :param source: random numbers.
    """
    milliseconds = int(time.time() * 1000)
    value = milliseconds << 80
    value |= _VERSION << 76
    value |= source.getrandbits(_RANDOM_BITS_A) << 64
    value |= _VARIANT << 62
    value |= source.getrandbits(_RANDOM_BITS_B)
    return str(uuid.UUID(int=value))
