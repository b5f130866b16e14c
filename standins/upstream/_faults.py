"""Faults and switches of an upstream, set while it runs."""

import threading
from dataclasses import dataclass, fields, replace
from typing import Any


@dataclass(frozen=True, slots=True)
class Switches:
    """The switches and faults in force."""

    #: True while the upstream asks to be drained; it goes on taking work.
    drain: bool = False
    #: Time of work, in milliseconds; None for the one given at the start.
    service_ms: float | None = None
    #: Work to shed from now on.
    shed_next: int = 0
    #: How late the next answers come, in milliseconds.
    answer_late_ms: float = 0.0
    #: Answers that come late from now on.
    late_next: int = 0
    #: Answers from now on that carry the id and body of another request.
    cross_next: int = 0
    #: Answers that are cut short from now on.
    cut_next: int = 0


_NAMES = frozenset(field.name for field in fields(Switches))


class SwitchBoard:
    """The switches in force; safe to use from any thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._switches = Switches()

    @property
    def switches(self) -> Switches:
        """Return the switches now."""
        return self._switches

    def put(self, values: dict[str, Any]) -> None:
        """Change the switches that are named.

        :param values: fields of :class:`Switches` by name.
        :raises ValueError: a name is not known.
        """
        unknown = values.keys() - _NAMES
        if unknown:
            raise ValueError(f"unknown switches: {', '.join(sorted(unknown))}")
        with self._lock:
            self._switches = replace(self._switches, **values)

    def takes(self, name: str) -> bool:
        """Use up one of a counted fault; False if none is left.

        :param name: the field of the fault's count.
        """
        if getattr(self._switches, name) <= 0:
            return False
        with self._lock:
            left = getattr(self._switches, name)
            if left <= 0:
                return False
            self._switches = replace(self._switches, **{name: left - 1})
            return True
