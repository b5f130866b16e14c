"""One line for each request of a load, for checks against the upstreams' records."""

import json
from collections.abc import Iterator
from dataclasses import asdict, dataclass
from pathlib import Path


@dataclass(frozen=True, slots=True)
class Outcome:
    """What a caller was told about one request."""

    #: The request id.
    request_id: str
    #: Name of the stream.
    stream: str
    #: The key.
    key: str
    #: Whether the operation may run more than once.
    idempotent: bool
    #: Numbered result code, 0 if no answer arrived.
    code: int
    #: ``ran``, ``not run`` or ``unknown``.
    family: str
    #: The upstream that answered, empty if it did not run.
    owner: str
    #: False if the answer belongs to another request or is cut short.
    right: bool
    #: When it was sent, in seconds of the machine's monotonic clock.
    sent_at: float
    #: When the answer was whole, in seconds of the machine's monotonic clock.
    answered_at: float


def outcome_to_line(outcome: Outcome) -> str:
    """Return the line of an outcome.

    :param outcome: the outcome.
    """
    return json.dumps(asdict(outcome), separators=(",", ":")) + "\n"


def read_outcomes(path: Path) -> Iterator[Outcome]:
    """Read outcomes, one a line.

    :param path: the file.
    """
    with path.open(encoding="utf-8") as lines:
        for line in lines:
            yield Outcome(**json.loads(line))
