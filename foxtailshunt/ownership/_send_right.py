"""The interface between ownership and dispatch inside a dispatcher."""

from dataclasses import dataclass
from typing import Protocol

from foxtailshunt.errors import ResultCode
from foxtailshunt.ownership._records import Fence


@dataclass(frozen=True, slots=True)
class SendPermission:
    """The right to send one request to an upstream, valid at the moment it was given."""

    #: The fence of the grant in force.
    fence: Fence
    #: Boot id of the upstream whose clock the reading is of.
    boot_id: str
    #: The upstream's last clock reading in milliseconds.
    reading_ms: int
    #: When the reading arrived, in seconds of the local monotonic clock.
    reading_received_at: float


class SendRight(Protocol):
    """Tells whether this dispatcher may send; every call reads the clock at the moment of use."""

    def check(self, upstream_id: str, slot: int, key: str) -> SendPermission | ResultCode:
        """Return the permission to send a key's request, or the code of the reason against it.

        Holds only while most witnesses' assents and the upstream's grant are surely in force.

        :param upstream_id: the upstream.
        :param slot: the key's slot.
        :param key: the key.
        """
        ...

    def holds_assent(self, upstream_id: str) -> bool:
        """Return whether this dispatcher is the upstream's only sender at this moment.

        :param upstream_id: the upstream.
        """
        ...


@dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """Load of one upstream as measured at its dispatcher."""

    #: Slot-seconds of work a second over the last few seconds.
    load: float
    #: The same for the hottest keys.
    key_load: dict[str, float]
    #: Requests at the upstream now.
    in_flight: int
    #: Requests queued here.
    queued: int


class LoadSource(Protocol):
    """What dispatch tells ownership of the work at an upstream."""

    def load_of(self, upstream_id: str) -> UpstreamLoad:
        """Return the load of an upstream; zeros if nothing was sent to it.

        :param upstream_id: the upstream.
        """
        ...

    def in_flight_keys(self, upstream_id: str) -> frozenset[tuple[int, str]]:
        """Return slot and key of each request now at an upstream.

        :param upstream_id: the upstream.
        """
        ...
