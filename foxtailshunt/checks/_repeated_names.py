"""Finds names that occur more than once in an object of a JSON document."""

import json
from collections import Counter
from collections.abc import Iterator
from typing import Any

from foxtailshunt.checks._finding import Finding, FindingKind


class _Object(dict[str, Any]):
    """A JSON object that remembers the names that occurred more than once."""

    def __init__(self, pairs: list[tuple[str, Any]]) -> None:
        super().__init__(pairs)
        self.repeated = [
            name for name, count in Counter(key for key, _ in pairs).items() if count > 1
        ]


def find_repeated_names(text: str) -> list[Finding]:
    """Return a finding for each repeated name; decoders use the last value only.

    :param text: a valid JSON document.
    """
    # Long integers are kept as text: their conversion is limited in length.
    document = json.loads(text, object_pairs_hook=_Object, parse_int=str)
    return [
        Finding(
            FindingKind.REPEATED_NAME, location, "is given more than once; the last one is used"
        )
        for location in _locations(document, "")
    ]


def _locations(value: Any, path: str) -> Iterator[str]:
    if isinstance(value, _Object):
        yield from (f"{path}{name}" for name in value.repeated)
        for name, item in value.items():
            yield from _locations(item, f"{path}{name}.")
    elif isinstance(value, list):
        for index, item in enumerate(value):
            yield from _locations(item, f"{path}{index}.")
