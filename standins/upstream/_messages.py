"""Messages that an upstream takes and the outcomes that it answers."""

from dataclasses import dataclass
from enum import Enum

from foxtailshunt.ownership import ZERO_FENCE, Fence, slots_from_ranges
from standins.http import Request

_NO_SLOT = -1


class WorkOutcome(Enum):
    """What became of work; all but RAN mean that nothing took effect."""

    RAN = "ran"
    REFUSED = "refused"
    SHED = "shed"
    EXPIRED = "expired"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class GrantMessage:
    """A grant as it arrives."""

    #: Orders grants.
    fence: Fence
    #: The slots granted.
    slots: frozenset[int]
    #: Keys granted apart from their slots.
    pins: frozenset[str]
    #: Keys of the slots that are not granted.
    excluded: frozenset[str]
    #: A reading of this upstream's clock, or None.
    reading_ms: int | None
    #: The incarnation that the reading is of.
    boot_id: str | None
    #: Time to live after the reading, in milliseconds.
    ttl_ms: int
    #: Instance id of the sender.
    sender: str


@dataclass(frozen=True, slots=True)
class WorkMessage:
    """Work as it arrives."""

    #: The request.
    request_id: str
    #: Its key.
    key: str
    #: The key's slot.
    slot: int
    #: The fence of the grant that the sender relies on.
    fence: Fence
    #: The incarnation that the sender means.
    boot_id: str | None
    #: Deadline on this upstream's clock, in milliseconds; None for no deadline.
    deadline_reading_ms: int | None


def grant_from_request(req: Request) -> GrantMessage:
    """Read a grant.

    :param req: the call.
    :raises ValueError: it is malformed.
    """
    value = req.json_body()
    try:
        return GrantMessage(
            fence=Fence(*map(int, value["fence"])),
            slots=slots_from_ranges(value["slots"]),
            pins=frozenset(value["pins"]),
            excluded=frozenset(value["excluded"]),
            reading_ms=value["reading_ms"],
            boot_id=value["boot_id"],
            ttl_ms=int(value["ttl_ms"]),
            sender=value["sender"],
        )
    except (KeyError, TypeError) as exc:
        raise ValueError(f"malformed grant: {type(exc).__name__}: {exc}")


def work_from_request(req: Request) -> WorkMessage:
    """Read the headers of work; missing ones are read as none.

    :param req: the call.
    :raises ValueError: a header is malformed.
    """
    deadline = req.headers.get("x-deadline-reading-ms")
    return WorkMessage(
        request_id=req.headers.get("x-request-id", ""),
        key=req.headers.get("x-key", ""),
        slot=int(req.headers.get("x-slot", _NO_SLOT)),
        fence=_fence_from_text(req.headers.get("x-fence")),
        boot_id=req.headers.get("x-boot-id"),
        deadline_reading_ms=int(deadline) if deadline is not None else None,
    )


def _fence_from_text(text: str | None) -> Fence:
    if text is None:
        return ZERO_FENCE
    term, _, version = text.partition(".")
    return Fence(int(term), int(version))
