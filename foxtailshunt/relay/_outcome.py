"""A request on its way to an upstream, and what became of it."""

from dataclasses import dataclass

from foxtailshunt.errors import Family, ResultCode, family_of


@dataclass(frozen=True, slots=True)
class Call:
    """One request as it goes to an upstream."""

    #: Id of the caller's attempt.
    request_id: str
    #: Service that runs it.
    service: str
    #: Key that it is about; None if the service is not divided by key.
    key: int | None
    #: Owner of the key as the asking node knows it.
    upstream_id: str | None
    #: HTTP method.
    method: str
    #: Path and query.
    target: str
    #: Headers of the caller.
    headers: tuple[tuple[str, str], ...]
    #: Body.
    body: bytes
    #: When nobody waits any more, in seconds of the monotonic clock.
    deadline: float
    #: Until when an answer is worth most, in seconds of the monotonic clock.
    latency_objective_at: float
    #: Rank; 0 is the most urgent.
    rank: int
    #: Name of the route, by which work is estimated.
    route: str
    #: Upstreams that have had the request.
    excluded: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Outcome:
    """What became of a request."""

    #: The numbered outcome.
    code: ResultCode
    #: One sentence for logs.
    detail: str
    #: HTTP status of the upstream's answer; 0 without one.
    status: int = 0
    #: Headers of the upstream's answer for the caller.
    headers: tuple[tuple[str, str], ...] = ()
    #: Body of the upstream's answer.
    body: bytes = b""
    #: When a repeat has a chance, in seconds from now; None if unknown.
    retry_after_s: float | None = None
    #: The upstream that the request was sent to, if any.
    upstream_id: str | None = None
    #: True if the request arrived at an upstream, whatever became of it there.
    arrived: bool = False

    @property
    def family(self) -> Family:
        """Return whether the request ran, did not run, or may have run."""
        return family_of(self.code)
