"""Request memory as messages: ages and remaining lives, since no clock is shared."""

from foxtailshunt.dispatch._memory_era import Departure, MemoryMoments
from foxtailshunt.dispatch._outcome import Outcome
from foxtailshunt.dispatch._request_memory import STATES, MemoryEntry
from foxtailshunt.errors import ResultCode
from foxtailshunt.ownership import Fence
from foxtailshunt.protocol import (
    DepartedSlots,
    FenceMessage,
    Header,
    MemoryReply,
    RememberedRequest,
)
from foxtailshunt.timing import Clock

_MS_PER_S = 1000


def refusal(code: ResultCode) -> MemoryReply:
    """Return a reply that hands nothing over.

    :param code: why.
    """
    return MemoryReply(int(code), None, {}, {}, [])


def reply_of(moments: MemoryMoments, entries: list[MemoryEntry], clock: Clock) -> MemoryReply:
    """Return a reply that hands memory over.

    :param moments: since when every request was seen.
    :param entries: ended entries.
    :param clock: the clock of moments and entries.
    """
    now = clock.wall_time()
    return MemoryReply(
        code=int(ResultCode.ACCEPTED),
        row_fence=FenceMessage(moments.fence.term, moments.fence.version),
        slot_ages_ms={slot: _ms(now - moment) for slot, moment in moments.slots.items()},
        key_ages_ms={key: _ms(now - moment) for key, moment in moments.keys.items()},
        requests=[_request_of(entry, clock) for entry in entries],
        departed=_departed_messages(moments, now),
        fits_next_row=moments.fits_next_row,
    )


def moments_of(reply: MemoryReply, clock: Clock) -> MemoryMoments:
    """Return the moments of a reply; the time that it travelled makes them later, never earlier.

    :param reply: a reply that was accepted.
    :param clock: the clock to count on.
    """
    now = clock.wall_time()
    return MemoryMoments(
        Fence(reply.row_fence.term, reply.row_fence.version),
        {slot: now - age_ms / _MS_PER_S for slot, age_ms in reply.slot_ages_ms.items()},
        {key: now - age_ms / _MS_PER_S for key, age_ms in reply.key_ages_ms.items()},
        {
            slot: Departure(Fence(part.fence.term, part.fence.version), now - age_ms / _MS_PER_S)
            for part in reply.departed or ()
            for slot, age_ms in part.slot_ages_ms.items()
        },
        bool(reply.fits_next_row),
    )


def entries_of(reply: MemoryReply, service: str, clock: Clock) -> list[MemoryEntry]:
    """Return the entries of a reply.

    :param reply: a reply that was accepted.
    :param service: the service of its upstream.
    :param clock: the clock to count on.
    """
    return [_entry_of(request, service, clock) for request in reply.requests]


def _departed_messages(moments: MemoryMoments, now: float) -> list[DepartedSlots]:
    by_fence: dict[Fence, dict[int, int]] = {}
    for slot, departure in moments.departed.items():
        by_fence.setdefault(departure.fence, {})[slot] = _ms(now - departure.moment)
    return [
        DepartedSlots(FenceMessage(fence.term, fence.version), ages)
        for fence, ages in by_fence.items()
    ]


def _request_of(entry: MemoryEntry, clock: Clock) -> RememberedRequest:
    outcome = entry.outcome or Outcome(ResultCode.DEADLINE_EXCEEDED)
    return RememberedRequest(
        request_id=entry.request_id,
        fingerprint=str(entry.fingerprint),
        slot=entry.slot,
        code=int(outcome.code),
        status=outcome.status,
        headers=[Header(name, value) for name, value in outcome.headers],
        body=outcome.body,
        detail=outcome.detail,
        remaining_ms=_ms(entry.expires_at - clock.now()) + 1,
    )


def _entry_of(request: RememberedRequest, service: str, clock: Clock) -> MemoryEntry:
    outcome = Outcome(
        ResultCode(request.code),
        request.detail,
        request.status,
        tuple((header.name, header.value) for header in request.headers),
        request.body,
    )
    entry = MemoryEntry(
        request.request_id,
        int(request.fingerprint),
        clock.now() + request.remaining_ms / _MS_PER_S,
        service,
        request.slot,
        state=STATES[outcome.family],
        outcome=outcome,
    )
    entry.size_bytes += outcome.size_bytes()
    return entry


def _ms(duration_s: float) -> int:
    return max(0, int(duration_s * _MS_PER_S))
