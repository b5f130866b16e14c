"""Times on the platform's wire: a number and its unit, for example ``1500ms``."""

import re
from typing import Annotated, Any

from pydantic import BeforeValidator

_TIME = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")
_MS_PER_S = 1000.0


def parse_duration_s(value: Any) -> float:
    """Return a time in seconds.

    :param value: text such as ``1500ms`` or ``2.5s``.
    :raises ValueError: it is no such text.
    """
    match = _TIME.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise ValueError(f"not a time with its unit: {value!r}")
    number = float(match[1])
    return number / _MS_PER_S if match[2] == "ms" else number


def format_duration(seconds: float) -> str:
    """Return a time as the platform writes it.

    :param seconds: the time in seconds.
    """
    return f"{round(seconds * _MS_PER_S)}ms"


#: A field that holds a time on the wire and seconds in the model.
Seconds = Annotated[float, BeforeValidator(parse_duration_s)]
