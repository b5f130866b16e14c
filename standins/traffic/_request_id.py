"""Request ids that callers generate."""

import random
import uuid

_ID_BITS = 128


def new_request_id(rng: random.Random) -> str:
    """Return a random UUID.

    :param rng: random number generator.
    """
    return str(uuid.UUID(int=rng.getrandbits(_ID_BITS), version=4))
