"""Hands upstreams over to their next dispatcher without cutting requests in progress."""

import threading
from typing import Protocol

from foxtailshunt.ownership._records import UpstreamRow
from foxtailshunt.ownership._send_right import LoadSource
from foxtailshunt.ownership.authority._assent_ledger import AssentLedger
from foxtailshunt.ownership.authority._candidacy import Candidacy
from foxtailshunt.ownership.authority._grant_book import GrantBook
from foxtailshunt.telemetry import log_state_change
from foxtailshunt.timing import Clock

#: Time that a stopping dispatcher waits for tables that list others first, in seconds.
STOP_GRACE_S = 1.5


class MemoryKeeper(Protocol):
    """Keeps the request memory of what is given up, for the next sender to ask for."""

    def keep_memory(self, upstream_id: str) -> None:
        """Keep what is known of an upstream; called while it is closed, idle and still held.

        :param upstream_id: the upstream.
        """
        ...

    def discard_memory(self, upstream_id: str) -> None:
        """Hand out nothing any more; called before the upstream is asked for again.

        :param upstream_id: the upstream.
        """
        ...


class Handover:
    """Gives up the upstreams that this dispatcher should no longer send to.

    Nothing new is sent to such an upstream; once its requests have ended, the assents are
    dropped here and then released at the witnesses, so that the next dispatcher need not wait.

    :param instance_id: this instance.
    :param ledger: the assents.
    :param candidacy: stops asking for what is given up.
    :param book: stops permitting sends.
    :param load: tells what is still in progress.
    :param clock: a monotonic clock.
    :param memory: keeps the request memory of what is given up.
    """

    def __init__(
        self,
        instance_id: str,
        ledger: AssentLedger,
        candidacy: Candidacy,
        book: GrantBook,
        load: LoadSource,
        clock: Clock,
        memory: MemoryKeeper | None = None,
    ) -> None:
        self._instance_id = instance_id
        self._ledger = ledger
        self._candidacy = candidacy
        self._book = book
        self._load = load
        self._clock = clock
        self._memory = memory
        self._lock = threading.Lock()
        self._stop_by: float | None = None
        self._given_up: set[str] = set()

    def begin_stop(self) -> None:
        """Give up everything: at once where another is listed first, else after a grace time."""
        self._stop_by = self._clock.now() + STOP_GRACE_S

    def step(self, upstream_id: str) -> bool:
        """Move the handover of one upstream on.

        :param upstream_id: the upstream.
        :returns: True if it was given up by this call, so that the witnesses should hear of it.
        """
        with self._lock:
            if not self._should_leave(self._book.row(upstream_id)):
                self._take_back(upstream_id)
                return False
            self._book.close(upstream_id)
            if upstream_id in self._given_up or self._load.load_of(upstream_id).in_flight > 0:
                return False
            self._given_up.add(upstream_id)
            was_held = self._ledger.holds(upstream_id)
            if was_held and self._memory is not None:
                self._memory.keep_memory(upstream_id)
            # In this order: a request being made either leaves the upstream out or is voided.
            self._candidacy.give_up(upstream_id)
            self._ledger.drop(upstream_id)
        if was_held:
            log_state_change("upstream.given_up", upstream=upstream_id)
        return was_held

    def _should_leave(self, row: UpstreamRow | None) -> bool:
        if row is None or self._instance_id not in row.dispatchers:
            return True
        if self._stop_by is None:
            return False
        return row.dispatchers[0] != self._instance_id or self._clock.now() >= self._stop_by

    def _take_back(self, upstream_id: str) -> None:
        if upstream_id in self._given_up:
            self._given_up.discard(upstream_id)
            if self._memory is not None:
                self._memory.discard_memory(upstream_id)
            self._candidacy.resume(upstream_id)
        self._book.reopen(upstream_id)
