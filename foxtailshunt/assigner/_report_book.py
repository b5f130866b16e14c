"""The dispatchers' last reports on upstreams."""

import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from foxtailshunt.ownership import Fence, Transit
from foxtailshunt.ownership._periods import MEMBER_TIMEOUT_S
from foxtailshunt.protocol import FenceMessage, Member, UpstreamReport
from foxtailshunt.timing import Clock


@dataclass(frozen=True, slots=True)
class Report:
    """One dispatcher's report on one upstream."""

    #: Instance id of the dispatcher.
    dispatcher_id: str
    #: Boot id of the dispatcher.
    dispatcher_boot_id: str
    #: When it arrived, in seconds of the local clock.
    received_at: float
    #: Highest fence that the upstream confirmed with everything else released.
    confirmed_fence: Fence | None
    #: Fence of the row that the dispatcher works by.
    fence: Fence
    #: True once no grant under a lower fence can still be in force.
    lapsed: bool
    #: False if the dispatcher does not reach the upstream.
    reachable: bool
    #: True if the upstream asks to be drained.
    draining: bool
    #: Slot-seconds of work a second.
    load: float
    #: The same for the hottest keys.
    key_load: dict[str, float]

    def proves_release(self, transit: Transit) -> bool:
        """Return whether the upstream surely serves nothing of a transit any more.

        A lapse under an older fence is no proof: its dispatcher may renew again.

        :param transit: the transit.
        """
        if self.confirmed_fence is not None and self.confirmed_fence >= transit.fence:
            return True
        return self.lapsed and self.fence >= transit.fence

    def is_decisive_change(self, older: "Report | None") -> bool:
        """Return whether this says something that a plan may depend on and the older did not.

        :param older: the report before.
        """
        return older is None or self._decisive() != older._decisive()

    def _decisive(self) -> tuple[object, ...]:
        return (
            self.dispatcher_boot_id,
            self.confirmed_fence,
            self.fence,
            self.lapsed,
            self.reachable,
            self.draining,
        )


class ReportBook:
    """Reports by upstream and dispatcher; safe to use from any thread.

    :param clock: tells when a report arrived.
    :param on_change: called when a report says something new that a plan may depend on.
    """

    def __init__(self, clock: Clock, on_change: Callable[[], None]) -> None:
        self._clock = clock
        self._on_change = on_change
        self._lock = threading.Lock()
        self._reports: dict[str, dict[str, Report]] = {}

    def note(self, sender: Member, messages: list[UpstreamReport]) -> None:
        """Take the reports of one heartbeat.

        :param sender: the dispatcher.
        :param messages: its reports on all upstreams that it dispatches for.
        """
        now = self._clock.now()
        changed = False
        with self._lock:
            for message in messages:
                report = _report_of(sender, message, now)
                by_dispatcher = self._reports.setdefault(message.upstream_id, {})
                older = by_dispatcher.get(sender.instance_id)
                changed = changed or report.is_decisive_change(older)
                by_dispatcher[sender.instance_id] = report
        if changed:
            self._on_change()

    def all_of(self, upstream_id: str) -> list[Report]:
        """Return the last report of each dispatcher on one upstream.

        :param upstream_id: the upstream.
        """
        with self._lock:
            return list(self._reports.get(upstream_id, {}).values())

    def current(self, upstream_id: str) -> Report | None:
        """Return the newest report on an upstream, None if there is no recent one.

        A dispatcher reports only while it is the upstream's sender.

        :param upstream_id: the upstream.
        """
        reports = self.all_of(upstream_id)
        newest = max(reports, key=lambda report: report.received_at, default=None)
        if newest is None or newest.received_at < self._clock.now() - MEMBER_TIMEOUT_S:
            return None
        return newest

    def senders(self, upstream_ids: Iterable[str]) -> dict[str, str]:
        """Return the instance id of the dispatcher that sends to each upstream, where known.

        :param upstream_ids: the upstreams.
        """
        current = {name: self.current(name) for name in upstream_ids}
        return {name: report.dispatcher_id for name, report in current.items() if report}

    def forget_others(self, upstream_ids: Iterable[str]) -> None:
        """Drop reports on upstreams that are no longer in the table.

        :param upstream_ids: the upstreams to keep.
        """
        kept = set(upstream_ids)
        with self._lock:
            for upstream_id in list(self._reports):
                if upstream_id not in kept:
                    del self._reports[upstream_id]


def _report_of(sender: Member, message: UpstreamReport, now: float) -> Report:
    confirmed = message.confirmed_fence
    return Report(
        dispatcher_id=sender.instance_id,
        dispatcher_boot_id=sender.boot_id,
        received_at=now,
        confirmed_fence=_fence_of(confirmed) if confirmed is not None else None,
        fence=_fence_of(message.fence),
        lapsed=message.lapsed,
        reachable=message.reachable,
        draining=message.draining,
        load=message.load,
        key_load=dict(message.key_load),
    )


def _fence_of(message: FenceMessage) -> Fence:
    return Fence(message.term, message.version)
