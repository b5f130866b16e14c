"""Memory of requests that must not repeat, so that a repeated id meets its first request."""

import heapq
import itertools
import threading
from collections.abc import Sequence
from dataclasses import dataclass, replace
from enum import Enum

from foxtailshunt.dispatch._outcome import Outcome
from foxtailshunt.dispatch._turn import Turn
from foxtailshunt.errors import Family, ResultCode
from foxtailshunt.timing import Clock

#: Size counted for an entry besides its answer, in bytes.
_ENTRY_BYTES = 600


class FirstState(Enum):
    """What is known of the first request of an id."""

    RUNNING = "running"
    RAN = "ran"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


@dataclass(eq=False, slots=True)
class MemoryEntry:
    """One request id; the memory's lock guards it."""

    #: The request id.
    request_id: str
    #: Hash of what was asked, to tell a repeat from another request under the same id.
    fingerprint: int
    #: When it may be forgotten, in seconds of the monotonic clock.
    expires_at: float
    #: The service of the request.
    service: str = ""
    #: The slot of its key.
    slot: int = 0
    #: Its place in the queue while it runs here.
    turn: Turn | None = None
    #: What is known of the first request.
    state: FirstState = FirstState.RUNNING
    #: The outcome once the first request has ended.
    outcome: Outcome | None = None
    #: Counted size in bytes.
    size_bytes: int = _ENTRY_BYTES
    #: Set once the first request has ended; made by the first repeat that waits.
    ended: threading.Event | None = None

    def outcome_for(self, fingerprint: int) -> Outcome | None:
        """Return what a repeat is answered once the first has ended; None if it may run.

        :param fingerprint: hash of what the repeat asks.
        """
        if self.fingerprint != fingerprint:
            return Outcome(ResultCode.BAD_REQUEST, "the id belongs to another request")
        if self.state is FirstState.NOT_RUN or self.outcome is None:
            return None
        if self.state is FirstState.RAN:
            return replace(self.outcome, code=ResultCode.OK_REPEATED)
        return self.outcome


class Claim(Enum):
    """What a request's id met."""

    FIRST = "first"
    REPEAT = "repeat"
    FULL = "full"


class RequestMemory:
    """Entries by request id, bounded in count and bytes; safe to use from any thread.

    An entry is never forgotten before it expires: while the memory is full, new requests are
    refused. A request that was not run is forgotten at once, so that a retry may run; one whose id
    was too old to be sent here is refused by its age each time and need not be remembered.

    :param clock: the clock that expiry is counted on.
    :param max_count: most entries.
    :param max_bytes: counted size above which no new request is taken, in bytes.
    """

    def __init__(self, clock: Clock, max_count: int, max_bytes: int) -> None:
        self._clock = clock
        self._max_count = max_count
        self._max_bytes = max_bytes
        self._lock = threading.Lock()
        self._entries: dict[str, MemoryEntry] = {}
        self._expiry: list[tuple[float, int, MemoryEntry]] = []
        self._sequence = itertools.count()
        self._size_bytes = 0

    @property
    def count(self) -> int:
        """Return how many ids are remembered."""
        return len(self._entries)

    @property
    def size_bytes(self) -> int:
        """Return the counted size in bytes."""
        return self._size_bytes

    def claim(
        self,
        request_id: str,
        fingerprint: int,
        expires_at: float,
        service: str = "",
        turn: Turn | None = None,
    ) -> tuple[Claim, MemoryEntry | None]:
        """Look an id up and enter it if it is new.

        :param request_id: the id.
        :param fingerprint: hash of what is asked.
        :param expires_at: when the entry may be forgotten, in seconds of the monotonic clock.
        :param service: the service.
        :param turn: the request's place in the queue.
        :returns: what the id met, with its entry; no entry if the memory is full.
        """
        with self._lock:
            self._forget_expired()
            entry = self._entries.get(request_id)
            if entry is not None:
                return Claim.REPEAT, entry
            if len(self._entries) >= self._max_count or self._size_bytes >= self._max_bytes:
                return Claim.FULL, None
            slot = turn.slot if turn else 0
            entry = MemoryEntry(request_id, fingerprint, expires_at, service, slot, turn)
            self._entries[request_id] = entry
            self._size_bytes += entry.size_bytes
            return Claim.FIRST, entry

    def finish(self, entry: MemoryEntry, outcome: Outcome) -> None:
        """Record how the first request of an id ended.

        :param entry: the entry that it claimed.
        :param outcome: how it ended.
        """
        with self._lock:
            entry.outcome = outcome
            entry.turn = None
            entry.state = STATES[outcome.family]
            if self._entries.get(entry.request_id) is not entry:
                # Another dispatcher's entry has replaced it.
                pass
            elif entry.state is FirstState.NOT_RUN or outcome.code is ResultCode.MEMORY_TOO_YOUNG:
                self._remove(entry)
            else:
                size_bytes = outcome.size_bytes()
                entry.size_bytes += size_bytes
                self._size_bytes += size_bytes
                heapq.heappush(self._expiry, (entry.expires_at, next(self._sequence), entry))
            if entry.ended is not None:
                entry.ended.set()

    def wait_for_end(self, entry: MemoryEntry, timeout_s: float) -> bool:
        """Wait until the first request of an id has ended; False after a timeout.

        :param entry: the entry of the id.
        :param timeout_s: longest wait in seconds.
        """
        with self._lock:
            if entry.state is not FirstState.RUNNING:
                return True
            if entry.ended is None:
                entry.ended = threading.Event()
            ended = entry.ended
        return ended.wait(max(0.0, timeout_s))

    def entries_of(self, service: str, slots: frozenset[int]) -> tuple[MemoryEntry, ...]:
        """Return the entries of some slots.

        :param service: the service.
        :param slots: the slots.
        """
        with self._lock:
            self._forget_expired()
            return tuple(
                entry
                for entry in self._entries.values()
                if entry.service == service and entry.slot in slots
            )

    def take_in(self, entries: Sequence[MemoryEntry]) -> bool:
        """Enter what another dispatcher ran; nothing is entered if there is no room.

        A request of the same id that waits here is answered with the earlier outcome. The caller
        lets requests of that age be sent only after this call.

        :param entries: ended entries.
        :returns: whether there was room.
        """
        with self._lock:
            self._forget_expired()
            size_bytes = self._size_bytes + sum(entry.size_bytes for entry in entries)
            count = len(self._entries) + len(entries)
            if count > self._max_count or size_bytes > self._max_bytes:
                return False
            for entry in entries:
                self._take_in(entry)
            return True

    def _take_in(self, entry: MemoryEntry) -> None:
        known = self._entries.get(entry.request_id)
        if known is not None and known.state is not FirstState.RUNNING:
            return
        if known is not None:
            if known.turn is not None:
                known.turn.earlier = entry.outcome_for(known.fingerprint)
            self._remove(known)
        self._entries[entry.request_id] = entry
        self._size_bytes += entry.size_bytes
        heapq.heappush(self._expiry, (entry.expires_at, next(self._sequence), entry))

    def _forget_expired(self) -> None:
        now = self._clock.now()
        while self._expiry and self._expiry[0][0] <= now:
            self._remove(heapq.heappop(self._expiry)[2])

    def _remove(self, entry: MemoryEntry) -> None:
        del self._entries[entry.request_id]
        self._size_bytes -= entry.size_bytes


#: What an outcome's family says of the first request.
STATES: dict[Family, FirstState] = {
    Family.RAN: FirstState.RAN,
    Family.NOT_RUN: FirstState.NOT_RUN,
    Family.UNKNOWN: FirstState.UNKNOWN,
    Family.INTERNAL: FirstState.UNKNOWN,
}
