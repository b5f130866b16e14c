"""Hands the request memory over to the next sender, and takes that of the one before."""

import threading
from dataclasses import dataclass, replace

from foxtailshunt.dispatch._memory_era import MemoryMoments
from foxtailshunt.dispatch._memory_messages import entries_of, moments_of, refusal, reply_of
from foxtailshunt.dispatch._request_memory import FirstState, MemoryEntry, RequestMemory
from foxtailshunt.dispatch._upstream_state import UpstreamState
from foxtailshunt.dispatch._upstream_states import UpstreamStates
from foxtailshunt.errors import ResultCode
from foxtailshunt.membership import View
from foxtailshunt.ownership import Arrival, Fence, slot_of_key
from foxtailshunt.protocol import MemoryReply, MemoryRequest
from foxtailshunt.timing import Clock

#: Largest memory handed over at once, in counted bytes; well below the limit of a frame.
MAX_EXPORT_BYTES = 3_000_000
#: Longest wait for a request whose answer is being recorded, in seconds.
_END_WAIT_S = 0.1
#: Time after an upstream was given up in which no slot can leave it and come back, in seconds:
#: without a sender that confirms a release, the witnesses' refusals take longer than this.
_NEXT_ROW_S = 0.5
#: Longest wait until the memory of slots that left has come from an earlier sender, in seconds.
_OWN_PULL_WAIT_S = 0.15
#: Counted size of a moment in a reply, in bytes.
_MOMENT_BYTES = 12

WitnessSets = tuple[tuple[str, ...], ...]


@dataclass(slots=True)
class _KeptMemory:
    moments: MemoryMoments
    #: The witness sets of the newest table when the upstream was given up.
    witness_sets: WitnessSets
    #: Whether the next sender has asked for it.
    is_taken: bool = False
    #: When the upstream was given up, in seconds of the monotonic clock.
    kept_at: float = 0.0


class MemoryTransfer:
    """Implements :class:`~foxtailshunt.ownership.authority.MemoryKeeper`; used by any thread.

    Memory is handed over in two cases, and in each only by a dispatcher that saw every request
    since the moments that it names:

    - An upstream that was given up: nothing is at it, nothing more is sent to it, and the right
      was held without a gap until then. The asking dispatcher must need all witness sets that were
      needed here, so that any sender in between would be known to its witnesses.
    - Slots that left an upstream that is still held here without a gap.

    Waiting requests that were never granted a turn are not known to the next sender; if this
    dispatcher becomes the sender again, its era starts anew, or it takes the other's memory in
    first.

    :param view: documents in force.
    :param states: the upstreams' states.
    :param memory: the request ids.
    :param clock: the clock.
    :param zone: the dispatcher's availability zone.
    """

    def __init__(
        self, view: View, states: UpstreamStates, memory: RequestMemory, clock: Clock, zone: str
    ) -> None:
        self._view = view
        self._states = states
        self._memory = memory
        self._clock = clock
        self._zone = zone
        self._lock = threading.Lock()
        self._kept: dict[str, _KeptMemory] = {}

    def keep_memory(self, upstream_id: str) -> None:
        """Keep what is known of an upstream; called while it is closed, idle and still held.

        :param upstream_id: the upstream.
        """
        # The row is then at least as new as any that the upstream confirmed to this dispatcher.
        self._states.follow_view()
        state = self._states.get(upstream_id)
        table = self._view.table(self._zone)
        moments = state.hand_over_memory() if state else None
        if moments is None or table is None:
            return
        with self._lock:
            self._kept[upstream_id] = _KeptMemory(
                moments, table.witness_sets, kept_at=self._clock.now()
            )

    def discard_memory(self, upstream_id: str) -> None:
        """Hand out nothing any more; called before the upstream is asked for again.

        :param upstream_id: the upstream.
        """
        with self._lock:
            self._kept.pop(upstream_id, None)

    def is_all_taken(self) -> bool:
        """Return whether every memory that was kept has been asked for."""
        with self._lock:
            return all(kept.is_taken for kept in self._kept.values())

    def export(self, req: MemoryRequest) -> MemoryReply:
        """Answer another dispatcher.

        :param req: what it asks for.
        :returns: the memory, or why it is not handed over: ``NOT_DISPATCHER`` if this dispatcher
            may have missed requests, ``STILL_RUNNING`` if one has not ended, ``OVERSIZED``.
        """
        state = self._states.get(req.upstream_id)
        if state is None:
            return refusal(ResultCode.NOT_DISPATCHER)
        if req.transit_fence is not None:
            fence = Fence(req.transit_fence.term, req.transit_fence.version)
            state.pulls.wait(self._clock.now() + _OWN_PULL_WAIT_S)
            moments = state.departed_memory(frozenset(req.slots or ()), fence)
        else:
            moments = self._kept_moments(req)
        if moments is None:
            return refusal(ResultCode.NOT_DISPATCHER)
        return self._reply(req, state, moments)

    def row_fence(self, upstream_id: str) -> Fence | None:
        """Return the fence of an upstream's row as its memory follows it, None without one.

        :param upstream_id: the upstream.
        """
        state = self._states.find(upstream_id)
        return state.row_fence() if state else None

    def take_over(self, upstream_id: str, reply: MemoryReply, fence: Fence) -> bool:
        """Take the memory of the sender directly before this one.

        :param upstream_id: the upstream.
        :param reply: its answer.
        :param fence: the fence of the row when this dispatcher became the sender.
        :returns: whether it fitted.
        """
        state = self._states.get(upstream_id)
        if state is None or not self._take_in(state, reply):
            return False
        return state.take_over_memory(moments_of(reply, self._clock), fence)

    def take_arrival(self, arrival: Arrival, reply: MemoryReply) -> bool:
        """Take the memory of slots from the sender of the upstream that owned them.

        :param arrival: the slots.
        :param reply: its answer.
        :returns: whether it fitted.
        """
        state = self._states.get(arrival.to_upstream_id)
        if state is None or not self._take_in(state, reply):
            return False
        return state.take_arrived_memory(arrival.fence, moments_of(reply, self._clock))

    def take_own_arrival(self, arrival: Arrival) -> bool:
        """Go on with the memory of slots that this dispatcher is the sender of before and after.

        :param arrival: the slots.
        :returns: whether it saw all their requests.
        """
        before = self._states.get(arrival.from_upstream_id)
        after = self._states.get(arrival.to_upstream_id)
        if before is None or after is None:
            return False
        before.pulls.wait(self._clock.now() + _OWN_PULL_WAIT_S)
        moments = before.departed_memory(arrival.slots, arrival.transit_fence)
        return moments is not None and after.take_arrived_memory(arrival.fence, moments)

    def _kept_moments(self, req: MemoryRequest) -> MemoryMoments | None:
        with self._lock:
            kept = self._kept.get(req.upstream_id)
            if kept is None:
                return None
            asked = {tuple(members) for members in req.witness_sets}
            # Handed over once: a sender in between that has it may have sent requests since.
            if kept.is_taken or not asked.issuperset(kept.witness_sets):
                return None
            kept.is_taken = True
            is_recent = self._clock.now() - kept.kept_at <= _NEXT_ROW_S
            fits_next_row = kept.moments.fits_next_row and is_recent
            return replace(kept.moments, fits_next_row=fits_next_row)

    def _reply(
        self, req: MemoryRequest, state: UpstreamState, moments: MemoryMoments
    ) -> MemoryReply:
        slot_count = state.service.slot_count
        slots = {*moments.slots, *moments.departed}
        slots |= {slot_of_key(key, slot_count) for key in moments.keys}
        entries = self._memory.entries_of(state.service.name, frozenset(slots))
        sent = [entry for entry in entries if _was_sent(entry)]
        if not self._have_ended(sent):
            return refusal(ResultCode.STILL_RUNNING)
        known = [entry for entry in sent if entry.state in (FirstState.RAN, FirstState.UNKNOWN)]
        size_bytes = sum(entry.size_bytes for entry in known)
        size_bytes += _MOMENT_BYTES * len(slots) + sum(map(len, moments.keys))
        if size_bytes > MAX_EXPORT_BYTES:
            return refusal(ResultCode.OVERSIZED)
        return reply_of(moments, known, self._clock)

    def _have_ended(self, entries: list[MemoryEntry]) -> bool:
        give_up_at = self._clock.now() + _END_WAIT_S
        return all(
            self._memory.wait_for_end(entry, give_up_at - self._clock.now()) for entry in entries
        )

    def _take_in(self, state: UpstreamState, reply: MemoryReply) -> bool:
        return self._memory.take_in(entries_of(reply, state.service.name, self._clock))


def _was_sent(entry: MemoryEntry) -> bool:
    """Return whether a request may have been sent: it has ended, or its turn was granted."""
    turn = entry.turn
    return turn is None or turn.granted_at > 0
