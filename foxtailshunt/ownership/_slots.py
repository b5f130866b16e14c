"""Keys to slots."""

import xxhash


def slot_of_key(key: str, slot_count: int) -> int:
    """Return the slot of a key.

    :param key: the key, as it stands in the request.
    :param slot_count: number of slots of the service.
    :returns: a slot from 0 to ``slot_count - 1``.
    """
    return xxhash.xxh3_64_intdigest(key.encode()) % slot_count
