"""Tells a dispatcher that is cut off from its upstreams from upstreams that are lost."""

from collections import defaultdict

from foxtailshunt.assigner._report_book import Report
from foxtailshunt.telemetry import log_state_change
from foxtailshunt.timing import Clock

#: Upstreams that a dispatcher must report on before it can be suspected.
MIN_UPSTREAMS = 2
#: Time that a suspected dispatcher is not named for upstreams, in seconds.
SUSPICION_S = 30.0
#: Time in which others are to take over before its upstreams count as lost, in seconds.
TAKEOVER_S = 1.5


class SuspectDispatchers:
    """Suspects a dispatcher that reaches none of its upstreams while another reaches some.

    Its upstreams are handed to other dispatchers before any slot moves: a cut between one
    dispatcher and the upstreams then costs a handover, not the assignment. Used by one thread.

    :param clock: the clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._suspected_at: dict[str, float] = {}

    def update(self, reports: dict[str, Report]) -> None:
        """Take the newest reports.

        :param reports: the current report on each upstream.
        """
        now = self._clock.now()
        self._suspected_at = {
            name: at for name, at in self._suspected_at.items() if now - at < SUSPICION_S
        }
        reached: dict[str, list[bool]] = defaultdict(list)
        for report in reports.values():
            reached[report.dispatcher_id].append(report.reachable)
        if not any(any(values) for values in reached.values()):
            return
        for name, values in reached.items():
            is_cut_off = len(values) >= MIN_UPSTREAMS and not any(values)
            if is_cut_off and name not in self._suspected_at:
                self._suspected_at[name] = now
                log_state_change("dispatcher.suspected", dispatcher=name, upstreams=len(values))

    def names(self) -> frozenset[str]:
        """Return the instance ids of the dispatchers that should not send."""
        return frozenset(self._suspected_at)

    def excuses(self, report: Report) -> bool:
        """Return whether a report of an unreachable upstream is not acted on yet.

        :param report: a report.
        """
        at = self._suspected_at.get(report.dispatcher_id)
        return at is not None and self._clock.now() - at < TAKEOVER_S
