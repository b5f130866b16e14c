"""Sends one grant: what it holds, when it may be sent, and what its answer means."""

from enum import Enum
from typing import Protocol

from foxtailshunt.membership import View
from foxtailshunt.ownership._periods import GRANT_TIMEOUT_S, GRANT_TTL_S
from foxtailshunt.ownership._records import UpstreamRow
from foxtailshunt.ownership._send_right import LoadSource
from foxtailshunt.ownership.authority._assent_ledger import AssentLedger
from foxtailshunt.ownership.authority._grant_book import GrantBook
from foxtailshunt.ownership.authority._grant_state import Attempt, GrantState
from foxtailshunt.ownership.authority._upstream_terms import UpstreamTerms, terms_of
from foxtailshunt.telemetry import Metrics
from foxtailshunt.timing import Clock
from foxtailshunt.upstream import (
    ClockReading,
    Grant,
    GrantReply,
    UpstreamClient,
    UpstreamConnectionError,
)

_GRANT_TTL_MS = int(GRANT_TTL_S * 1000)
_NO_SLOTS: frozenset[int] = frozenset()
_NO_KEYS: frozenset[str] = frozenset()


class ClientSource(Protocol):
    """Knows the client of each upstream."""

    def client(self, upstream_id: str) -> UpstreamClient:
        """Return the client of an upstream.

        :param upstream_id: the upstream.
        """
        ...


class RenewalResult(Enum):
    """What to do after a renewal."""

    #: The upstream gave a reading that the next grant can name: send it at once.
    REPEAT = "repeat"
    #: The upstream, or work of this dispatcher, has yet to let go of something: try again soon.
    SOON = "soon"
    #: Wait for the next interval.
    WAIT = "wait"


class GrantRenewer:
    """Renews the grants of this dispatcher's upstreams; one thread at a time for each upstream.

    :param view: configuration and table.
    :param instance_id: this instance, named as the sender.
    :param ledger: the assents, checked right before and after each sending.
    :param book: the states of the grants.
    :param upstreams: the clients.
    :param load: tells what work is at an upstream.
    :param clock: a monotonic clock, read at each use.
    :param metrics: where renewals are counted.
    """

    def __init__(
        self,
        view: View,
        instance_id: str,
        ledger: AssentLedger,
        book: GrantBook,
        upstreams: ClientSource,
        load: LoadSource,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._view = view
        self._instance_id = instance_id
        self._ledger = ledger
        self._book = book
        self._upstreams = upstreams
        self._load = load
        self._clock = clock
        self._metrics = metrics

    def renew(self, upstream_id: str) -> RenewalResult:
        """Send the grant of an upstream's row if this dispatcher may.

        :param upstream_id: the upstream.
        """
        row = self._book.row(upstream_id)
        state = self._book.state(upstream_id)
        held_since = self._ledger.held_since(upstream_id)
        if row is None or held_since is None:
            state.drop()
            return RenewalResult.WAIT
        terms = terms_of(self._view.cfg, row)
        attempt = self._make_attempt(state, row, held_since, terms)
        state.begin_send(attempt.row.fence)
        # The last check before the sending: a pause after it is bounded by the reading's age.
        if not self._ledger.holds_fence(upstream_id, row.fence):
            state.abandon_send(self._clock.now())
            return RenewalResult.WAIT
        reply = self._send(upstream_id, state, attempt, terms)
        if reply is None:
            return RenewalResult.WAIT
        return _next_step(row, attempt, reply)

    def _make_attempt(
        self, state: GrantState, row: UpstreamRow, held_since: float, terms: UpstreamTerms
    ) -> Attempt:
        now = self._clock.now()
        reading, asked_at = state.usable_reading(now)
        proves_release = True
        if not terms.checks_fences:
            proves_release = self._has_no_work_outside(row, held_since, now, terms)
            if not proves_release and state.granted is not None:
                row = state.granted.row
        return Attempt(row, reading, asked_at, self._clock.now(), held_since, proves_release)

    def _has_no_work_outside(
        self, row: UpstreamRow, held_since: float, now: float, terms: UpstreamTerms
    ) -> bool:
        """Return whether an upstream that checks nothing works on nothing outside a row.

        An earlier dispatcher's work has ended once the longest deadline has passed.
        """
        if now < held_since + terms.longest_deadline_s:
            return False
        in_flight = self._load.in_flight_keys(row.upstream_id)
        return all(row.owns(slot, key) for slot, key in in_flight)

    def _send(
        self, upstream_id: str, state: GrantState, attempt: Attempt, terms: UpstreamTerms
    ) -> GrantReply | None:
        grant = self._make_grant(attempt, terms)
        try:
            reply = self._upstreams.client(upstream_id).send_grant(grant, GRANT_TIMEOUT_S)
        except UpstreamConnectionError as exc:
            state.note_failure(exc.refused, self._clock.now())
            self._count("refused" if exc.refused else "failed")
            return None
        state.note_reply(attempt, reply)
        self._count("accepted" if reply.accepted else "not_accepted")
        if not terms.checks_fences and not self._ledger.holds(upstream_id):
            self._release(upstream_id, state, attempt, reply.reading)
            return None
        return reply

    def _release(
        self, upstream_id: str, state: GrantState, attempt: Attempt, reading: ClockReading
    ) -> None:
        """Take back a grant whose right lapsed while an upstream that checks nothing got it."""
        state.drop()
        grant = self._grant_of(attempt.row, _NO_SLOTS, _NO_KEYS, reading)
        self._count("taken_back")
        try:
            self._upstreams.client(upstream_id).send_grant(grant, GRANT_TIMEOUT_S)
        except UpstreamConnectionError:
            self._count("failed")

    def _make_grant(self, attempt: Attempt, terms: UpstreamTerms) -> Grant:
        row = attempt.row
        if attempt.reading is None and not terms.checks_fences:
            # It may obey a grant that only asks for a reading, even one read after a freeze.
            return self._grant_of(row, _NO_SLOTS, _NO_KEYS, None)
        return self._grant_of(row, row.slots, row.pins, attempt.reading)

    def _grant_of(
        self,
        row: UpstreamRow,
        slots: frozenset[int],
        pins: frozenset[str],
        reading: ClockReading | None,
    ) -> Grant:
        return Grant(
            row.fence, slots, pins, row.excluded, reading, _GRANT_TTL_MS, self._instance_id
        )

    def _count(self, outcome: str) -> None:
        self._metrics.count("foxtailshunt_grants_total", "Grants sent.", {"outcome": outcome})


def _next_step(row: UpstreamRow, attempt: Attempt, reply: GrantReply) -> RenewalResult:
    if attempt.reading is None or attempt.reading.boot_id != reply.reading.boot_id:
        return RenewalResult.REPEAT
    if attempt.row.fence != row.fence or not (reply.released and attempt.proves_release):
        return RenewalResult.SOON
    return RenewalResult.WAIT
