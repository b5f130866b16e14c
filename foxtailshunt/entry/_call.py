"""One caller's request on its way to a dispatcher."""

from dataclasses import dataclass

from foxtailshunt.entry._operation_router import OperationMatch
from foxtailshunt.ownership import Address
from foxtailshunt.protocol import Header


@dataclass(slots=True)
class Call:
    """One caller's request; the fields below ``deadline`` change while it is worked on."""

    #: The request id.
    request_id: str
    #: True if the caller sent no id and the entry drew one.
    drawn_by_entry: bool
    #: The operation and the key.
    match: OperationMatch
    #: The key's slot.
    slot: int
    #: HTTP method.
    method: str
    #: Path and query.
    target: str
    #: Headers that are passed on.
    headers: list[Header]
    #: Body.
    body: bytes
    #: When the answer must have arrived, in seconds of the monotonic clock.
    deadline: float
    #: Number of the next attempt, from 1.
    attempt: int = 1
    #: The dispatcher that works on it now, and the upstream.
    dispatcher: Address | None = None
    upstream_id: str = ""
    #: True once the caller closed its connection.
    hung_up: bool = False
