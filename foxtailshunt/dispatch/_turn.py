"""One request's place in the queue of an upstream."""

import threading
from enum import Enum

from foxtailshunt.config import Rank
from foxtailshunt.dispatch._outcome import Outcome
from foxtailshunt.errors import ResultCode


class TurnState(Enum):
    """Where a request stands."""

    WAITING = "waiting"
    GRANTED = "granted"
    LINGERING = "lingering"
    REJECTED = "rejected"
    RELEASED = "released"


class Turn:
    """A request's place in a queue; the queue's lock guards every attribute.

    :param request_id: the request.
    :param rank: the rank that it is served at.
    :param slot: the key's slot.
    :param key: the key.
    :param deadline_at: when its answer is due, in seconds of the monotonic clock.
    :param expected_s: time that the upstream is expected to take, in seconds.
    """

    __slots__ = (
        "_wakeup",
        "by_floor",
        "cancel_requested",
        "charged_s",
        "code",
        "deadline_at",
        "earlier",
        "expected_s",
        "granted_at",
        "joined_at",
        "key",
        "miss_code",
        "missed_since",
        "rank",
        "request_id",
        "slot",
        "state",
    )

    def __init__(
        self,
        request_id: str,
        rank: Rank,
        slot: int,
        key: str,
        deadline_at: float,
        expected_s: float = 0.0,
    ) -> None:
        self.request_id = request_id
        self.rank = rank
        self.slot = slot
        self.key = key
        self.deadline_at = deadline_at
        self.expected_s = expected_s
        #: When it joined the queue, in seconds of the monotonic clock.
        self.joined_at = 0.0
        #: When it was granted, in seconds of the monotonic clock.
        self.granted_at = 0.0
        #: Where it stands.
        self.state = TurnState.WAITING
        #: Why it was rejected.
        self.code: ResultCode | None = None
        #: Since when its request may not be sent, in seconds of the monotonic clock, or None.
        self.missed_since: float | None = None
        #: Why its request could not be sent when that was last asked.
        self.miss_code = ResultCode.NO_OWNER
        #: Slot-seconds charged to its rank so far.
        self.charged_s = 0.0
        #: True if it was granted ahead of a higher rank because of its floor.
        self.by_floor = False
        #: Outcome of an earlier request of the id that another dispatcher ran, or None.
        self.earlier: Outcome | None = None
        #: True once the caller gave the request up.
        self.cancel_requested = False
        self._wakeup = threading.Lock()
        self._wakeup.acquire()

    def wake(self) -> None:
        """Wake the thread that waits for this turn, or the next one that does."""
        try:
            self._wakeup.release()
        except RuntimeError:
            # Woken already.
            pass

    def wait(self, timeout_s: float) -> None:
        """Wait until woken or until a timeout.

        :param timeout_s: longest wait in seconds.
        """
        self._wakeup.acquire(timeout=max(0.0, timeout_s))

    def pause(self, duration_s: float) -> None:
        """Wait for a duration, or until the caller gives the request up.

        :param duration_s: the duration in seconds.
        """
        self._wakeup.acquire(blocking=False)
        if not self.cancel_requested:
            self._wakeup.acquire(timeout=duration_s)
