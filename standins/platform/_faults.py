"""Faults of the platform's services, set while it runs."""

import random
import threading
from dataclasses import dataclass, replace
from enum import Enum
from typing import Any


class Outage(Enum):
    """How calls fail; the store's content is kept."""

    #: They do not.
    NONE = "none"
    #: Each call is answered 503.
    REFUSE_503 = "refuse503"
    #: Each call stays without an answer on an open connection.
    HANG = "hang"


@dataclass(frozen=True, slots=True)
class FaultSettings:
    """The faults in force."""

    #: Outage for all callers.
    outage: Outage = Outage.NONE
    #: Outages of single callers by IP number; they go before the one for all.
    caller_outages: tuple[tuple[str, Outage], ...] = ()
    #: Time added before each call, in milliseconds.
    delay_ms: float = 0.0
    #: Writes of keys whose answers are dropped from now on; the writes take effect.
    lose_next_answers: int = 0
    #: The key whose writes may lose their answers; empty for all keys.
    lose_answers_of: str = ""
    #: Share of writes whose answer is dropped, from 0 to 1.
    lose_answer_rate: float = 0.0
    #: Seed of the draws for ``lose_answer_rate``.
    seed: int = 0


class Faults:
    """The faults in force; safe to use from any thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._settings = FaultSettings()
        self._random = random.Random(0)

    @property
    def delay_s(self) -> float:
        """Return the delay of each call in seconds."""
        return self._settings.delay_ms / 1000

    def put(self, values: dict[str, Any]) -> None:
        """Replace all faults; what is not named goes back to none.

        :param values: fields of :class:`FaultSettings` by name; ``caller_outages`` as an object.
        :raises ValueError: a value or name is not known.
        """
        settings = _settings_from(values)
        with self._lock:
            self._settings = settings
            self._random = random.Random(settings.seed)

    def outage_for(self, caller_ip: str) -> Outage:
        """Return the outage that a caller meets.

        :param caller_ip: the caller's IP number.
        """
        settings = self._settings
        return dict(settings.caller_outages).get(caller_ip, settings.outage)

    def takes_answer(self, key: str) -> bool:
        """Return whether the answer to the write that was just made is lost.

        :param key: the key that was written.
        """
        with self._lock:
            if self._settings.lose_answers_of not in ("", key):
                return False
            if self._settings.lose_next_answers > 0:
                left = self._settings.lose_next_answers - 1
                self._settings = replace(self._settings, lose_next_answers=left)
                return True
            return self._random.random() < self._settings.lose_answer_rate


def _settings_from(values: dict[str, Any]) -> FaultSettings:
    converted = dict(values)
    converted["outage"] = Outage(values.get("outage", Outage.NONE.value))
    outages = values.get("caller_outages", {})
    converted["caller_outages"] = tuple((ip, Outage(name)) for ip, name in outages.items())
    try:
        return FaultSettings(**converted)
    except TypeError as exc:
        raise ValueError(str(exc))
