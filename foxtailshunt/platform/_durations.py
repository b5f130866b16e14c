"""Durations in the platform's format: a number and its unit, for example ``1500ms``."""

import re
from typing import Annotated, Any

from pydantic import BeforeValidator

#: Longest duration, in seconds, about 31 years; the longest wait of a thread is 292 years.
MAX_DURATION_S = 1e9
#: Longest warm-up that an upstream or a configuration may state, in seconds; upstreams are slow for
#: some seconds after a start.
MAX_WARMUP_S = 3600.0

_DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)")
#: Maximum length of a rejected value in an error message, in characters.
_MAX_SHOWN_CHARS = 60
_MS_PER_S = 1000.0


def parse_duration_s(value: Any) -> float:
    """Parse a duration and return it in seconds.

    :param value: text such as ``1500ms`` or ``2.5s``.
    :raises ValueError: the value is not such a text, or too long a duration.
    """
    match = _DURATION.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise ValueError(f"not a duration with a unit: {value!r:.{_MAX_SHOWN_CHARS}}")
    number = float(match[1])
    seconds = number / _MS_PER_S if match[2] == "ms" else number
    if seconds > MAX_DURATION_S:
        raise ValueError(f"longer than {MAX_DURATION_S:.0f} s")
    return seconds


def parse_warmup_s(value: Any) -> float:
    """Parse the duration of a warm-up and return it in seconds.

    :param value: text such as ``1500ms``.
    :raises ValueError: the value is not such a text, or too long a warm-up.
    """
    seconds = parse_duration_s(value)
    if seconds > MAX_WARMUP_S:
        raise ValueError(f"longer than {MAX_WARMUP_S:.0f} s")
    return seconds


def format_duration(seconds: float) -> str:
    """Return a duration in the platform's format.

    :param seconds: the duration in seconds.
    """
    return f"{round(seconds * _MS_PER_S)}ms"


#: Type of a field that is a duration text in the document and seconds in the model.
Seconds = Annotated[float, BeforeValidator(parse_duration_s)]
