"""What the system needs of an upstream, with no policy behind it."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from foxtailshunt.ownership import Address, Fence


@dataclass(frozen=True, slots=True)
class ClockReading:
    """A reading of an upstream's own monotonic clock, given in one of its answers."""

    #: The incarnation of the upstream whose clock it is.
    boot_id: str
    #: The reading in milliseconds.
    reading_ms: int
    #: When the answer arrived here, in seconds of the local monotonic clock.
    received_at: float


@dataclass(frozen=True, slots=True)
class Grant:
    """The right to serve slots and pinned keys, for a time to live."""

    #: Orders grants; an upstream that checks fences refuses a lower one.
    fence: Fence
    #: The slots granted.
    slots: frozenset[int]
    #: Hot keys granted apart from their slots.
    pins: frozenset[str]
    #: Keys of the slots that are not granted.
    excluded: frozenset[str]
    #: The upstream's reading that the time to live is counted from; None only asks for a reading.
    reading: ClockReading | None
    #: Time to live in milliseconds after the reading.
    ttl_ms: int
    #: Instance id of the dispatcher that sends the grant.
    sender: str


@dataclass(frozen=True, slots=True)
class GrantReply:
    """An upstream's answer to a grant."""

    #: True if the grant is in force at the upstream.
    accepted: bool
    #: True if the upstream no longer serves anything outside the grant.
    released: bool
    #: The highest fence that the upstream knows.
    highest_fence: Fence
    #: The upstream's clock when it answered.
    reading: ClockReading
    #: True if the upstream asks to be drained.
    draining: bool
    #: True if the upstream is still warming up after its start.
    warming: bool


class WorkOutcome(Enum):
    """What the upstream's answer says of a request."""

    #: It ran; the answer is attached.
    RAN = "ran"
    #: It was refused before any work: no grant, a stale fence, a key not granted.
    REFUSED = "refused"
    #: It was refused before any work because the upstream is full.
    SHED = "shed"
    #: Its deadline passed before any effect.
    EXPIRED = "expired"
    #: It was cancelled before any effect.
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class WorkRequest:
    """One request to an upstream."""

    #: The caller's request id.
    request_id: str
    #: HTTP method.
    method: str
    #: Path and query.
    target: str
    #: Headers of the caller that are passed on.
    headers: tuple[tuple[str, str], ...]
    #: Body.
    body: bytes
    #: The key.
    key: str
    #: The key's slot.
    slot: int
    #: The fence of the grant that covers the key.
    fence: Fence
    #: The upstream's reading that the remaining time is counted from.
    reading: ClockReading
    #: Deadline in milliseconds after the reading.
    deadline_after_reading_ms: int
    #: Longest wait for the answer, in seconds.
    timeout_s: float
    #: True if the connection must be known to work: it is checked, and a new one is taken if it
    #: stood idle.
    fresh_connection: bool


@dataclass(frozen=True, slots=True)
class WorkReply:
    """An upstream's whole answer to a request."""

    #: The request id that the answer carries.
    request_id: str
    #: What became of the request.
    outcome: WorkOutcome
    #: HTTP status.
    status: int
    #: Headers that are passed back.
    headers: tuple[tuple[str, str], ...]
    #: Body.
    body: bytes


class CancelOutcome(Enum):
    """An upstream's answer to a cancellation."""

    #: The request will have no effect.
    CANCELLED = "cancelled"
    #: The request had its effect.
    RAN = "ran"
    #: The upstream does not know the request.
    UNKNOWN = "unknown"


class UpstreamConnectionError(Exception):
    """A call to an upstream failed on its connection, which was reset.

    :param message: what failed.
    :param sent: whether the upstream may have seen the call.
    :param refused: whether the upstream's machine refused the connection.
    """

    def __init__(self, message: str, sent: bool, refused: bool) -> None:
        super().__init__(message)
        self.sent = sent
        self.refused = refused


class UpstreamClient(Protocol):
    """Calls to one upstream; safe to use from any thread.

    Every method may raise :class:`UpstreamConnectionError`.
    """

    address: Address

    def send_grant(self, grant: Grant, timeout_s: float) -> GrantReply:
        """Send a grant or renew it.

        :param grant: the grant.
        :param timeout_s: longest wait in seconds; the connection is reset after it.
        """
        ...

    def send_work(self, req: WorkRequest) -> WorkReply:
        """Send one request and wait for its whole answer.

        :param req: the request.
        """
        ...

    def cancel(self, request_id: str, timeout_s: float) -> CancelOutcome:
        """Ask the upstream to give up a request.

        :param request_id: the request.
        :param timeout_s: longest wait in seconds.
        """
        ...

    def close(self) -> None:
        """Close all connections."""
        ...
