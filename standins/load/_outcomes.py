"""Outcomes of requests, one a line, for comparison with the upstreams' records."""

import json
from collections.abc import Iterator
from dataclasses import asdict, dataclass
from pathlib import Path


@dataclass(frozen=True, slots=True)
class Outcome:
    """The result that a caller received for one request."""

    #: The request id.
    request_id: str
    #: Name of the stream.
    stream: str
    #: The key.
    key: str
    #: Whether the operation may be executed more than once.
    idempotent: bool
    #: Numeric result code; 0 if no response arrived.
    code: int
    #: Result family: ``ran``, ``not run`` or ``unknown``.
    family: str
    #: The upstream that executed the request; empty if it was not executed.
    owner: str
    #: False if the response belongs to another request or is truncated.
    right: bool
    #: Time of sending, in seconds of the machine's monotonic clock.
    sent_at: float
    #: Time at which the response was complete, in seconds of the machine's monotonic clock.
    answered_at: float


def outcome_to_line(outcome: Outcome) -> str:
    """Return an outcome as a line of JSON.

    :param outcome: the outcome.
    """
    return json.dumps(asdict(outcome), separators=(",", ":")) + "\n"


def read_outcomes(path: Path) -> Iterator[Outcome]:
    """Read outcomes from a file with one JSON object a line.

    :param path: the file.
    """
    with path.open(encoding="utf-8") as lines:
        for line in lines:
            yield Outcome(**json.loads(line))
