"""Records that upstream stand-ins write, one JSON object a line.

Times are seconds of the machine's ``CLOCK_MONOTONIC``, so that records of all processes of one
machine compare.
"""

import json
from dataclasses import dataclass
from functools import singledispatch
from typing import Any

from foxtailshunt.ownership import Fence, slots_from_ranges, slots_to_ranges


@dataclass(frozen=True, slots=True)
class Incarnation:
    """One run of an upstream's process."""

    #: Id of the upstream.
    upstream: str
    #: The service that it serves.
    service: str
    #: Drawn anew at each start.
    boot_id: str


@dataclass(frozen=True, slots=True)
class StartRecord:
    """An upstream's process started, so an earlier one of it holds nothing more."""

    #: The upstream's process.
    incarnation: Incarnation
    #: False if it obeys any sender.
    checks_fences: bool
    #: When it started.
    at: float


@dataclass(frozen=True, slots=True)
class GrantRecord:
    """A grant was taken into force or renewed; it replaces the one before."""

    #: The upstream's process.
    incarnation: Incarnation
    #: Instance id of the dispatcher that sent the grant.
    sender: str
    #: The grant's fence.
    fence: Fence
    #: The slots granted.
    slots: frozenset[int]
    #: The keys granted apart from their slots.
    pins: frozenset[str]
    #: Keys of the slots that are not granted.
    excluded: frozenset[str]
    #: From when on it is in force.
    start: float
    #: When it lapses unless it is renewed or replaced.
    until: float


@dataclass(frozen=True, slots=True)
class RunRecord:
    """Work that was begun has ended, with or without effect."""

    #: The upstream's process.
    incarnation: Incarnation
    #: The request.
    request_id: str
    #: The request's key.
    key: str
    #: The key's slot as the request named it.
    slot: int
    #: The fence that the request carried.
    fence: Fence
    #: When work began.
    start: float
    #: When it ended; the effect, if any, is of this moment.
    end: float
    #: True if the request ran.
    effect: bool


Record = StartRecord | GrantRecord | RunRecord


@singledispatch
def record_to_json(record: Record) -> str:
    """Return a record as one line of JSON.

    :param record: the record.
    """
    raise TypeError(f"no JSON form of {type(record).__name__}")


@record_to_json.register
def _(record: StartRecord) -> str:
    value = {"checks_fences": record.checks_fences, "at": record.at}
    return _line("start", record.incarnation, value)


@record_to_json.register
def _(record: GrantRecord) -> str:
    value = {
        "sender": record.sender,
        "fence": [record.fence.term, record.fence.version],
        "slots": slots_to_ranges(record.slots),
        "pins": sorted(record.pins),
        "excluded": sorted(record.excluded),
        "from": record.start,
        "until": record.until,
    }
    return _line("grant", record.incarnation, value)


@record_to_json.register
def _(record: RunRecord) -> str:
    value = {
        "request_id": record.request_id,
        "key": record.key,
        "slot": record.slot,
        "fence": [record.fence.term, record.fence.version],
        "start": record.start,
        "end": record.end,
        "effect": record.effect,
    }
    return _line("run", record.incarnation, value)


def record_from_json(line: str) -> Record:
    """Read one line.

    :param line: the line.
    :raises ValueError: the line is no record.
    """
    value = json.loads(line)
    try:
        return _READERS[value["type"]](value)
    except (KeyError, TypeError) as exc:
        raise ValueError(f"malformed record: {type(exc).__name__}: {exc}")


def _line(record_type: str, incarnation: Incarnation, value: dict[str, Any]) -> str:
    head = {
        "type": record_type,
        "upstream": incarnation.upstream,
        "service": incarnation.service,
        "boot_id": incarnation.boot_id,
    }
    return json.dumps(head | value, separators=(",", ":"))


def _incarnation(value: dict[str, Any]) -> Incarnation:
    return Incarnation(value["upstream"], value["service"], value["boot_id"])


def _start_record(value: dict[str, Any]) -> StartRecord:
    return StartRecord(_incarnation(value), value["checks_fences"], value["at"])


def _grant_record(value: dict[str, Any]) -> GrantRecord:
    return GrantRecord(
        incarnation=_incarnation(value),
        sender=value["sender"],
        fence=Fence(*value["fence"]),
        slots=slots_from_ranges(value["slots"]),
        pins=frozenset(value["pins"]),
        excluded=frozenset(value["excluded"]),
        start=value["from"],
        until=value["until"],
    )


def _run_record(value: dict[str, Any]) -> RunRecord:
    return RunRecord(
        incarnation=_incarnation(value),
        request_id=value["request_id"],
        key=value["key"],
        slot=value["slot"],
        fence=Fence(*value["fence"]),
        start=value["start"],
        end=value["end"],
        effect=value["effect"],
    )


_READERS = {"start": _start_record, "grant": _grant_record, "run": _run_record}
