"""One execute call, validated."""

from dataclasses import dataclass

from foxtailshunt.config import Operation, Service
from foxtailshunt.dispatch._turn import Turn
from foxtailshunt.dispatch._upstream_state import UpstreamState
from foxtailshunt.protocol import ExecuteRequest


@dataclass(frozen=True, slots=True)
class Call:
    """A request and what the configuration and the table say of it."""

    #: The message as received.
    req: ExecuteRequest
    #: The service.
    service: Service
    #: The operation.
    operation: Operation
    #: The upstream.
    state: UpstreamState
    #: The request's place in the upstream's queue.
    turn: Turn
    #: When a request that must not repeat was issued, in wall time; None if it may repeat.
    issued_at: float | None
    #: The caller's headers that are passed on.
    headers: tuple[tuple[str, str], ...]
