"""Tells entries of upstreams that lapsed in an outage of the store from those that were removed."""

import threading
from collections.abc import Callable
from dataclasses import dataclass

#: Interval of the heartbeats with which upstreams keep their entries, in seconds, unless the
#: settings state another one.
DEFAULT_HEARTBEAT_S = 1.0
#: Heartbeats in a row that an upstream has to miss until its entry lapses.
MISSED_HEARTBEATS = 3
#: Time after an outage of the store in which upstreams register again, in seconds.
REGISTRATION_S = 2.3
#: Longest time from a response to the next failure for which an outage counts from the response,
#: in seconds. A leader makes several calls a second; other nodes may only wait for changes.
MAX_CALL_GAP_S = 1.5


@dataclass(frozen=True, slots=True)
class _Outage:
    """A period in which several calls of this process, and no others, failed."""

    #: When it began at the latest, in seconds of the clock.
    began_at: float
    #: When the first call got a response again, in seconds of the clock.
    ended_at: float


class EntryLapses:
    """Judges entries that the store no longer has; safe to use from any thread.

    An upstream that could not reach the store registers again soon after the outage. Until then its
    entry is kept. All other removals are in force at once: an upstream that has left must get no
    new requests, whichever calls of this process have failed meanwhile.

    :param now: returns seconds of a clock that also advances during suspension.
    :param heartbeat_s: interval of the heartbeats of upstreams, in seconds.
    """

    def __init__(self, now: Callable[[], float], heartbeat_s: float = DEFAULT_HEARTBEAT_S) -> None:
        self._now = now
        self._heartbeat_s = heartbeat_s
        self._lock = threading.Lock()
        self._answered_at = float("-inf")
        #: When the calls of this process began to fail; None if the last one got a response.
        self._failing_since: float | None = None
        self._failures = 0
        #: The outages that ended lately.
        self._outages: tuple[_Outage, ...] = ()

    def record_answer(self) -> None:
        """Record that a call to the store got a response."""
        with self._lock:
            now = self._now()
            if self._failing_since is not None and self._failures > 1:
                is_begin_known = self._failing_since - self._answered_at <= MAX_CALL_GAP_S
                began_at = self._answered_at if is_begin_known else self._failing_since
                recent = (item for item in self._outages if now - item.ended_at < REGISTRATION_S)
                self._outages = (*recent, _Outage(began_at, now))
            self._failing_since, self._failures = None, 0
            self._answered_at = now

    def record_failure(self) -> None:
        """Record that a call to the store failed, or that the store refused it."""
        with self._lock:
            self._failures += 1
            if self._failing_since is None:
                self._failing_since = self._now()

    def keep_until(self, written_after: float) -> float:
        """Return until when an entry is kept that the store no longer has, in seconds.

        :param written_after: time after which its upstream has written it for the last time, as far
            as known, in seconds of the clock; minus infinity if nothing is known.
        :returns: minus infinity if the entry cannot have lapsed because of an outage.
        """
        lapse_s = MISSED_HEARTBEATS * self._heartbeat_s
        if self._now() < written_after + lapse_s:
            return float("-inf")
        # An upstream may have written its entry up to one interval before the outage.
        least_s = lapse_s - self._heartbeat_s
        with self._lock:
            return max(
                (
                    item.ended_at + REGISTRATION_S
                    for item in self._outages
                    if item.ended_at - item.began_at >= least_s
                ),
                default=float("-inf"),
            )
