"""Keeps the grants of this dispatcher's upstreams in force, one thread for each upstream."""

import threading
from collections.abc import Callable

from foxtailshunt.membership import View
from foxtailshunt.ownership._periods import GRANT_RENEW_INTERVAL_S
from foxtailshunt.ownership._records import Fence
from foxtailshunt.ownership.authority._grant_book import GrantBook
from foxtailshunt.ownership.authority._grant_renewer import GrantRenewer, RenewalResult
from foxtailshunt.ownership.authority._handover import Handover
from foxtailshunt.ownership.authority._reports import ReportedState, Reporter
from foxtailshunt.telemetry import log_state_change, log_thread_error

#: Time between two grants while the upstream still holds what it should release, in seconds.
_RELEASE_INTERVAL_S = 0.05
#: Failed renewals in a row after which they become rarer.
_MANY_FAILURES = 5
#: Time between two renewals then, in seconds.
_FAILING_INTERVAL_S = 0.5


class GrantKeeper:
    """Runs the renewals; follows the newest table.

    :param view: its newest table lists the upstreams.
    :param zone: the availability zone.
    :param renewer: sends the grants.
    :param book: the states of the grants.
    :param handover: hands upstreams over.
    :param reporter: tells what the assigner should hear of.
    :param on_report_change: called when a report changed in a way that should spread at once.
    :param on_warming: called with an upstream and whether it says that it is warming up.
    :param on_given_up: called when an upstream was given up.
    """

    def __init__(
        self,
        view: View,
        zone: str,
        renewer: GrantRenewer,
        book: GrantBook,
        handover: Handover,
        reporter: Reporter,
        on_report_change: Callable[[], None],
        on_warming: Callable[[str, bool], None],
        on_given_up: Callable[[], None],
    ) -> None:
        self._view = view
        self._zone = zone
        self._renewer = renewer
        self._book = book
        self._handover = handover
        self._reporter = reporter
        self._on_report_change = on_report_change
        self._on_warming = on_warming
        self._on_given_up = on_given_up
        self._lock = threading.Lock()
        self._stopping = False
        self._threads: dict[str, _UpstreamThread] = {}
        self._table_fence: Fence | None = None

    def start(self) -> None:
        """Start renewing and follow the newest table."""
        self._view.subscribe(self._take_table)
        self._take_table()

    def stop(self) -> None:
        """Stop renewing; the grants lapse unless the next dispatcher renews them."""
        with self._lock:
            self._stopping = True
            threads = list(self._threads.values())
            self._threads.clear()
        for thread in threads:
            thread.stop()
        for thread in threads:
            thread.join()

    def wake(self, upstream_id: str) -> None:
        """Renew the grant of one upstream at once.

        :param upstream_id: the upstream.
        """
        with self._lock:
            thread = self._threads.get(upstream_id)
        if thread is not None:
            thread.wake()

    def wake_all(self) -> None:
        """Renew all grants at once."""
        with self._lock:
            threads = list(self._threads.values())
        for thread in threads:
            thread.wake()

    def _take_table(self) -> None:
        table = self._view.table(self._zone)
        if table is None:
            return
        with self._lock:
            if self._stopping or table.fence == self._table_fence:
                return
            self._table_fence = table.fence
            self._update_threads(frozenset(table.rows))
        self.wake_all()

    def _update_threads(self, upstream_ids: frozenset[str]) -> None:
        for upstream_id in self._threads.keys() - upstream_ids:
            self._threads.pop(upstream_id).stop()
        self._book.retain(upstream_ids)
        for upstream_id in upstream_ids - self._threads.keys():
            thread = _UpstreamThread(upstream_id, self._step)
            self._threads[upstream_id] = thread
            thread.start()

    def _step(self, thread: "_UpstreamThread") -> float:
        """Do one round for an upstream and return the time until the next, in seconds."""
        upstream_id = thread.upstream_id
        if self._handover.step(upstream_id):
            self._on_given_up()
        result = self._renewer.renew(upstream_id)
        if thread.note_warming(self._book.state(upstream_id).warming):
            self._on_warming(upstream_id, self._book.state(upstream_id).warming)
        if thread.note_report(self._reporter.state_of(upstream_id)):
            self._on_report_change()
        if result is RenewalResult.REPEAT:
            return 0.0
        if result is RenewalResult.SOON:
            return _RELEASE_INTERVAL_S
        if self._book.state(upstream_id).failures >= _MANY_FAILURES:
            return _FAILING_INTERVAL_S
        return GRANT_RENEW_INTERVAL_S


class _UpstreamThread:
    def __init__(self, upstream_id: str, step: Callable[["_UpstreamThread"], float]) -> None:
        self.upstream_id = upstream_id
        self._step = step
        self._stopping = False
        self._wakeup = threading.Event()
        self._reported: ReportedState | None = None
        self._warming = False
        self._thread = threading.Thread(target=self._run, name="grant", daemon=True)

    def start(self) -> None:
        self._thread.start()

    def stop(self) -> None:
        self._stopping = True
        self._wakeup.set()

    def join(self) -> None:
        self._thread.join()

    def wake(self) -> None:
        self._wakeup.set()

    def note_warming(self, warming: bool) -> bool:
        changed = warming != self._warming
        self._warming = warming
        return changed

    def note_report(self, state: ReportedState | None) -> bool:
        if state == self._reported:
            return False
        before, self._reported = self._reported, state
        was_reachable = before is not None and before.reachable
        is_reachable = state is not None and state.reachable
        if was_reachable != is_reachable:
            log_state_change(
                "upstream.reachable", upstream=self.upstream_id, reachable=is_reachable
            )
        return state is not None

    def _run(self) -> None:
        while not self._stopping:
            self._wakeup.clear()
            try:
                pause_s = self._step(self)
            except Exception as exc:
                # A thread that ended would leave the upstream without grants for good.
                log_thread_error("grant", exc)
                pause_s = GRANT_RENEW_INTERVAL_S
            if pause_s > 0:
                self._wakeup.wait(pause_s)
