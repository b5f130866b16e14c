"""Specification of the requests that a load process sends."""

import json
from dataclasses import asdict, dataclass


@dataclass(frozen=True, slots=True)
class StreamSpec:
    """One stream of requests for one operation."""

    #: Name of the stream in the result.
    name: str
    #: Name of the service.
    service: str
    #: Name of the operation.
    operation: str
    #: Requests a second, evenly spaced with jitter.
    rate_per_s: float
    #: Maximum number of requests in flight.
    workers: int


@dataclass(frozen=True, slots=True)
class LoadSpec:
    """What one load process sends."""

    #: Addresses at which nodes accept callers, as ``host:port``.
    entries: tuple[str, ...]
    #: Path of the configuration file.
    cfg_path: str
    #: The streams.
    streams: tuple[StreamSpec, ...]
    #: Duration of the load, in seconds.
    duration_s: float
    #: Initial part of the load that the summaries exclude, in seconds.
    warm_up_s: float
    #: Number of distinct keys.
    key_count: int
    #: Seed for keys, jitter and request ids.
    seed: int
    #: Path of the file to which one line for each request is appended.
    outcomes_path: str

    def to_json(self) -> str:
        """Return the specification as JSON."""
        return json.dumps(asdict(self))


def load_spec_from_json(text: str) -> LoadSpec:
    """Read a specification from JSON.

    :param text: JSON as returned by :meth:`LoadSpec.to_json`.
    """
    value = json.loads(text)
    value["entries"] = tuple(value["entries"])
    value["streams"] = tuple(StreamSpec(**stream) for stream in value["streams"])
    return LoadSpec(**value)
