"""Memory of requests that must not repeat, so that a repeated id meets its first request."""

import heapq
import itertools
import threading
from dataclasses import dataclass
from enum import Enum

from foxtailshunt.dispatch._outcome import Outcome
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
    #: What is known of the first request.
    state: FirstState = FirstState.RUNNING
    #: The outcome once the first request has ended.
    outcome: Outcome | None = None
    #: Counted size in bytes.
    size_bytes: int = _ENTRY_BYTES
    #: Set once the first request has ended; made by the first repeat that waits.
    ended: threading.Event | None = None


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
        self, request_id: str, fingerprint: int, expires_at: float
    ) -> tuple[Claim, MemoryEntry | None]:
        """Look an id up and enter it if it is new.

        :param request_id: the id.
        :param fingerprint: hash of what is asked.
        :param expires_at: when the entry may be forgotten, in seconds of the monotonic clock.
        :returns: what the id met, with its entry; no entry if the memory is full.
        """
        with self._lock:
            self._forget_expired()
            entry = self._entries.get(request_id)
            if entry is not None:
                return Claim.REPEAT, entry
            if len(self._entries) >= self._max_count or self._size_bytes >= self._max_bytes:
                return Claim.FULL, None
            entry = MemoryEntry(request_id, fingerprint, expires_at)
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
            entry.state = _STATES[outcome.family]
            if entry.state is FirstState.NOT_RUN or outcome.code is ResultCode.MEMORY_TOO_YOUNG:
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

    def _forget_expired(self) -> None:
        now = self._clock.now()
        while self._expiry and self._expiry[0][0] <= now:
            self._remove(heapq.heappop(self._expiry)[2])

    def _remove(self, entry: MemoryEntry) -> None:
        del self._entries[entry.request_id]
        self._size_bytes -= entry.size_bytes


_STATES: dict[Family, FirstState] = {
    Family.RAN: FirstState.RAN,
    Family.NOT_RUN: FirstState.NOT_RUN,
    Family.UNKNOWN: FirstState.UNKNOWN,
    Family.INTERNAL: FirstState.UNKNOWN,
}
