"""What this dispatcher knows of its grants at one upstream, and how long they last."""

import math
import threading
from dataclasses import dataclass

from foxtailshunt.ownership._periods import GRANT_TTL_S, surely_in_force_for, surely_lapsed_after
from foxtailshunt.ownership._records import ZERO_FENCE, Fence, UpstreamRow
from foxtailshunt.upstream import ClockReading, GrantReply

#: Time from a reading's request until its grant may have ended, in seconds.
GRANT_IN_FORCE_S = surely_in_force_for(GRANT_TTL_S)
#: Time from a reading's arrival until its grant has surely ended, in seconds.
GRANT_LAPSE_S = surely_lapsed_after(GRANT_TTL_S)
#: Time before a grant's end from which it is not relied on, in seconds.
GRANT_MARGIN_S = 0.05
#: Failed renewals in a row after which an upstream counts as unreachable.
MAX_FAILURES = 2


@dataclass(frozen=True, slots=True)
class Attempt:
    """One sending of a grant."""

    #: The row that the grant was made from.
    row: UpstreamRow
    #: The reading that the grant is counted from; None if it only asks for one.
    reading: ClockReading | None
    #: When the request was sent that brought the reading, in seconds of the local clock.
    reading_asked_at: float
    #: When the grant was sent, in seconds of the local clock.
    sent_at: float
    #: When this dispatcher's unbroken right to send began, in seconds of the local clock.
    held_since: float | None
    #: False if work outside the row may still run, so that its release is no proof.
    proves_release: bool


@dataclass(frozen=True, slots=True)
class GrantInForce:
    """The grant that the upstream accepted last."""

    #: The row that it was made from.
    row: UpstreamRow
    #: The newest reading of the upstream's clock.
    reading: ClockReading
    #: Until when it may be relied on, in seconds of the local clock.
    ends_at: float
    #: When the right to send that it was given under began.
    held_since: float | None


class GrantState:
    """Grants at one upstream; written by the thread that renews them, read by any.

    The upstream counts a grant from a reading of its own clock. That reading was taken between
    the sending of its request and the arrival of its answer. So the grant is relied on from the
    sending, and counts as lapsed only from the arrival, with the clocks' rate difference added.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._reading: ClockReading | None = None
        self._reading_asked_at = 0.0
        self._last_send_fence = ZERO_FENCE
        self._last_send_ended_at = 0.0
        self._lower_send_ended_at = 0.0
        self._failures = 0
        #: The grant in force, or None; replaced as a whole.
        self.granted: GrantInForce | None = None
        #: The highest fence that the upstream confirmed with everything else released.
        self.confirmed_fence: Fence | None = None
        #: The highest fence that the upstream is known to have seen.
        self.highest_fence = ZERO_FENCE
        #: Whether the upstream can be reached; None until it was tried.
        self.reachable: bool | None = None
        #: Whether the upstream asks to be drained.
        self.draining = False
        #: Whether the upstream says that it is warming up.
        self.warming = False
        #: When the upstream was seen to have started cold, in seconds of the local clock.
        self.warming_since: float | None = None

    def usable_reading(self, now: float) -> tuple[ClockReading | None, float]:
        """Return the last reading and when it was asked for; no reading if it is too old.

        :param now: the moment, in seconds of the local clock.
        """
        with self._lock:
            if self._reading is None or now - self._reading_asked_at > GRANT_IN_FORCE_S:
                return None, 0.0
            return self._reading, self._reading_asked_at

    def begin_send(self, fence: Fence) -> None:
        """Note that a grant may leave from now on; called before the last check of the right.

        :param fence: its fence.
        """
        with self._lock:
            if fence > self._last_send_fence:
                self._lower_send_ended_at = self._last_send_ended_at
                self._last_send_fence = fence
            self._last_send_ended_at = math.inf

    def abandon_send(self, now: float) -> None:
        """Note that the grant was not sent after all.

        :param now: the moment, in seconds of the local clock.
        """
        with self._lock:
            self._last_send_ended_at = now

    def note_reply(self, attempt: Attempt, reply: GrantReply) -> None:
        """Take an upstream's answer.

        :param attempt: the grant that it answers.
        :param reply: the answer.
        """
        with self._lock:
            self._note_incarnation(reply)
            self._reading = reply.reading
            self._reading_asked_at = attempt.sent_at
            self._last_send_ended_at = reply.reading.received_at
            self._failures = 0
            self.reachable = True
            self.draining = reply.draining
            self.warming = reply.warming
            self.highest_fence = max(self.highest_fence, reply.highest_fence)
            self._note_acceptance(attempt, reply)

    def note_failure(self, refused: bool, now: float) -> None:
        """Note that a grant got no answer.

        :param refused: whether the connection was refused.
        :param now: when its connection was reset, in seconds of the local clock.
        """
        with self._lock:
            self._last_send_ended_at = now
            self._failures += 1
            if refused or self._failures >= MAX_FAILURES:
                self.reachable = False

    @property
    def failures(self) -> int:
        """Return the number of failed renewals since the last answer."""
        return self._failures

    def drop(self) -> None:
        """Rely on no grant any more."""
        self.granted = None

    def lower_grants_end(self, fence: Fence, checks_fences: bool) -> float:
        """Return when the grants sent from here under lower fences have surely ended.

        Every grant names a reading that had arrived, so none outlasts the last arrival by more
        than its time to live. An upstream that does not check fences counts from the grant's own
        arrival instead, which the reset of its connection bounds unless the upstream was frozen.

        :param fence: the fence of the upstream's row.
        :param checks_fences: whether the upstream checks fences and counts from readings.
        """
        with self._lock:
            last = self._reading.received_at if self._reading else 0.0
            if not checks_fences:
                lower = fence <= self._last_send_fence
                last = self._lower_send_ended_at if lower else self._last_send_ended_at
            return last + GRANT_LAPSE_S

    def _note_incarnation(self, reply: GrantReply) -> None:
        known = self._reading
        restarted = known is not None and known.boot_id != reply.reading.boot_id
        if restarted:
            self.granted = None
        if restarted or (reply.warming and self.warming_since is None):
            self.warming_since = reply.reading.received_at

    def _note_acceptance(self, attempt: Attempt, reply: GrantReply) -> None:
        reading = attempt.reading
        if reading is None or reading.boot_id != reply.reading.boot_id:
            return
        if not reply.accepted:
            self.granted = None
            return
        ends_at = attempt.reading_asked_at + GRANT_IN_FORCE_S - GRANT_MARGIN_S
        self.granted = GrantInForce(attempt.row, reply.reading, ends_at, attempt.held_since)
        if reply.released and attempt.proves_release:
            self.confirmed_fence = max(self.confirmed_fence or ZERO_FENCE, attempt.row.fence)
