"""Numbers of keys."""

import xxhash

#: Keys of a service are numbered from 0 to one less.
KEY_COUNT = 65_536


def key_number(key: str) -> int:
    """Return the number under which a key is owned.

    :param key: the key as it stands in the request, decoded.
    """
    return xxhash.xxh3_64_intdigest(key.encode()) % KEY_COUNT
