"""Request ids as callers draw them."""

import random
import uuid

_ID_BITS = 128


def new_request_id(source: random.Random) -> str:
    """Return a random UUID.

    :param source: random numbers.
    """
    return str(uuid.UUID(int=source.getrandbits(_ID_BITS), version=4))
