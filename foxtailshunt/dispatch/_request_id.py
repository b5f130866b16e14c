"""Request ids that tell their age: UUIDv7 of RFC 9562."""

import re

_UUID7 = re.compile(r"[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}")
_MS_PER_S = 1000
_TIMESTAMP_DIGITS = 12


def issued_at(request_id: str) -> float | None:
    """Return when a UUIDv7 was drawn, in seconds since the epoch; None for any other text.

    :param request_id: the id in its usual text form.
    """
    text = request_id.lower()
    if not _UUID7.fullmatch(text):
        return None
    digits = text.replace("-", "")
    return int(digits[:_TIMESTAMP_DIGITS], 16) / _MS_PER_S
