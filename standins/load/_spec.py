"""What a load process is asked to send."""

import json
from dataclasses import asdict, dataclass


@dataclass(frozen=True, slots=True)
class StreamSpec:
    """One stream of requests of one operation."""

    #: Names the stream in the result.
    name: str
    #: Name of the service.
    service: str
    #: Name of the operation.
    operation: str
    #: Requests a second, at evenly spaced times with jitter.
    rate_per_s: float
    #: Most requests waiting for an answer at one time.
    workers: int


@dataclass(frozen=True, slots=True)
class LoadSpec:
    """One load process."""

    #: Callers' addresses of the entries, as ``host:port``.
    entries: tuple[str, ...]
    #: Path of the configuration file.
    cfg_path: str
    #: The streams.
    streams: tuple[StreamSpec, ...]
    #: Time to send, in seconds.
    duration_s: float
    #: Time at the start that is sent but not counted, in seconds.
    warm_up_s: float
    #: Number of different keys.
    key_count: int
    #: Seed of keys, jitter and request ids.
    seed: int
    #: Path of the file that takes one line for each request.
    outcomes_path: str

    def to_json(self) -> str:
        """Return the document of the specification."""
        return json.dumps(asdict(self))


def load_spec_from_json(text: str) -> LoadSpec:
    """Read a specification.

    :param text: the document.
    """
    value = json.loads(text)
    value["entries"] = tuple(value["entries"])
    value["streams"] = tuple(StreamSpec(**stream) for stream in value["streams"])
    return LoadSpec(**value)
