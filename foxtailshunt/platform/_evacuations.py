"""Decodes the store entries with which the operator asks for the evacuation of a zone."""

import json

#: Prefix of these keys; the rest of a key is the name of the zone.
EVACUATION_PREFIX = "op/evacuate/"
#: Maximum length of a value, in bytes; the operator writes an empty object.
MAX_VALUE_BYTES = 4096


def decode_evacuation(key: str, value: bytes) -> str | None:
    """Return the zone whose evacuation an entry asks for; None if it is another entry.

    :param key: key of the entry.
    :param value: stored bytes of the entry.
    :raises ValueError: the entry is malformed; the message is short.
    """
    if not key.startswith(EVACUATION_PREFIX):
        return None
    zone = key.removeprefix(EVACUATION_PREFIX)
    if not zone or not zone.isprintable() or "/" in zone:
        raise ValueError("the key does not end with the name of a zone")
    if len(value) > MAX_VALUE_BYTES:
        raise ValueError("the value is too long")
    try:
        document = json.loads(value)
    except (ValueError, RecursionError):
        raise ValueError("the value is not JSON") from None
    if not isinstance(document, dict):
        raise ValueError("the value is not an object")
    return zone
