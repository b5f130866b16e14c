"""The slots of one upstream."""

from dataclasses import dataclass, field

from foxtailshunt.fleet import Upstream
from foxtailshunt.relay._ticket import QueueEntry

#: Time that a request still takes which should have ended already: at least so many seconds, and
#: this share of the time that it has taken.
OVERDUE_S, OVERDUE_SHARE = 0.05, 0.3


@dataclass(slots=True)
class UpstreamSlots:
    """The slots of one upstream and what runs in them."""

    #: The upstream.
    upstream: Upstream
    #: Requests at the upstream: when each began, and when it is expected to end.
    running: dict[QueueEntry, tuple[float, float]] = field(default_factory=dict)
    #: Failures in a row.
    failures: int = 0
    #: Until when nothing new is assigned, in seconds of the monotonic clock.
    paused_until: float = 0.0
    #: When something was assigned last, in seconds of the monotonic clock.
    last_assigned_at: float = 0.0

    def has_free_slot(self, now: float) -> bool:
        """Return whether a request may be assigned.

        :param now: the time in seconds.
        """
        return len(self.running) < self.upstream.slots and now >= self.paused_until

    def free_times(self, now: float) -> list[float]:
        """Return when each slot is expected to be free.

        :param now: the time in seconds.
        """
        begin = max(now, self.paused_until)
        times = [max(begin, _expected_end(*span, now)) for span in self.running.values()]
        # More requests than slots run while an upstream's entry changes.
        idle = max(0, self.upstream.slots - len(times))
        return sorted(times)[-self.upstream.slots :] + [begin] * idle

    def overrun_ratio(self, now: float) -> float:
        """Return how many times as long as expected all requests here have taken at least.

        :param now: the time in seconds.
        """
        if len(self.running) < self.upstream.slots:
            return 1.0
        ratios = [(now - began) / max(0.001, end - began) for began, end in self.running.values()]
        return max(1.0, min(ratios, default=1.0))


def _expected_end(began: float, expected: float, now: float) -> float:
    """Return when a request ends; one that is overdue is taken to be as slow as it has shown."""
    if expected > now:
        return expected
    return now + max(OVERDUE_S, OVERDUE_SHARE * (now - began))
