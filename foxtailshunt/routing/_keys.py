"""Mapping of keys to key numbers, by which keys are assigned to upstreams."""

import xxhash

#: Number of key numbers of a service; the highest is one less.
KEY_COUNT = 65_536


def key_number(key: str) -> int:
    """Return the number of a key, by which its owner is determined.

    :param key: the decoded key.
    """
    return xxhash.xxh3_64_intdigest(key.encode()) % KEY_COUNT
