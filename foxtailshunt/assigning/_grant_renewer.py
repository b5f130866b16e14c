"""Grants keys to one upstream and renews the grants.

A grant is a lease: the upstream holds the keys for a limited time after it receives the grant. The
leader keeps an upper bound of that time to know when the keys may go to another upstream.
"""

import threading
from collections.abc import Callable

from foxtailshunt.assigning._grant_hold import GrantHold
from foxtailshunt.assigning._previous_grants import PreviousGrants
from foxtailshunt.assigning._renewal_round import RenewalRound
from foxtailshunt.errors import ResultCode
from foxtailshunt.fleet import KeyRange, Upstream
from foxtailshunt.platform import GrantOutcome, KeyGrantClient, KeyGrantError, UpstreamReplacedError
from foxtailshunt.telemetry import Metrics, log_state_change, log_thread_error

#: How long an upstream holds keys after a grant, in seconds. Keys of a lost upstream stay unserved
#: for this time, so it is short, but longer than an election and the grants that follow it.
HOLD_S = 2.4
#: How long an upstream holds keys after a grant of a leader that shuts down while the store is
#: unavailable, in seconds: the node takes about 1 s to restart and an election takes 1.3 s.
LEAVING_HOLD_S = 4.5
#: How often grants are renewed, in seconds; three renewals fit into HOLD_S.
RENEW_INTERVAL_S = 0.55
#: Share by which the clock of an upstream may run slow.
CLOCK_RATE_BOUND = 0.02
#: Allowance for message transit that is added to each computed expiry, in seconds.
HOLD_MARGIN_S = 0.1
#: Timeout of a grant with its connection, in seconds; the answer usually takes about 1 ms.
GRANT_TIMEOUT_S = 0.4
#: Time after which a round of renewals goes on over further connections, in seconds: while one
#: thread waits for answers that are late or lost, the holds of the other ranges run out.
MAX_SERIAL_ROUND_S = 0.25
#: Ranges for each further connection, and the largest number of these connections.
RANGES_PER_CONNECTION, MAX_HELPERS = 4, 8
#: Consecutive failed grants after which an upstream is considered unreachable.
UNREACHABLE_AFTER = 2
#: Interval between probes of an unreachable upstream, in seconds.
PROBE_INTERVAL_S = 0.4
#: Timeout of a probe, in seconds.
PROBE_TIMEOUT_S = 0.3


def grant_expires_at(sent: float, hold_s: float) -> float:
    """Return the latest time at which a grant expires, in seconds of the clock.

    :param sent: time by which the grant was sent, in seconds of the clock.
    :param hold_s: how long keys are held after the grant, in seconds.
    """
    return sent + GRANT_TIMEOUT_S + hold_s * (1 + CLOCK_RATE_BOUND) + HOLD_MARGIN_S


class GrantRenewer:
    """Renews the grants of one upstream on a thread of its own and tracks its reachability.

    :param upstream: the upstream.
    :param hold: grants of this leader to all runs of the upstream, also those of other renewers.
    :param previous_grants: grants of previous leaders that may be in force.
    :param owned: returns the ranges that the upstream with an id owns and that are to be renewed.
    :param is_current: returns whether the table still contains a range with its owner and token.
    :param probe_key: returns a key that the upstream with an id doesn't own, for a probe; None
        if there is none.
    :param may_act: returns whether this node still leads.
    :param on_fenced_off: called with a range for which the upstream knows a higher fencing token.
    :param hold_s: returns how long keys are held after a grant, in seconds.
    :param now: returns seconds of a clock that also advances during suspension.
    :param metrics: counters.
    """

    def __init__(
        self,
        upstream: Upstream,
        hold: GrantHold,
        previous_grants: PreviousGrants,
        owned: Callable[[str], list[KeyRange]],
        is_current: Callable[[KeyRange], bool],
        probe_key: Callable[[str], KeyRange | None],
        may_act: Callable[[], bool],
        on_fenced_off: Callable[[KeyRange], None],
        hold_s: Callable[[], float],
        now: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        self.upstream = upstream
        self.hold = hold
        self._previous_grants = previous_grants
        self._owned = owned
        self._is_current = is_current
        self._probe_key = probe_key
        self._may_act = may_act
        self._on_fenced_off = on_fenced_off
        self._hold_s = hold_s
        self._now = now
        self._metrics = metrics
        self._lock = threading.Lock()
        self._failures = 0
        #: When the last grant that was answered began, in seconds of the clock.
        self._answered_sent_at = float("-inf")
        self._is_replaced = False
        self._stopping = threading.Event()
        self._wake = threading.Event()
        self._refused: set[tuple[int, int, int]] = set()
        self._thread = threading.Thread(
            target=self._run, name=f"grants {upstream.upstream_id}", daemon=True
        )

    @property
    def is_reachable(self) -> bool:
        """Return whether the upstream answers grants and has not been replaced."""
        return self._failures < UNREACHABLE_AFTER and not self._is_replaced

    @property
    def held_until(self) -> float:
        """Return the latest time at which the upstream may hold keys, in seconds of the clock."""
        return max(self.granted_until, self._previous_grants.expire_at(self._id))

    @property
    def granted_until(self) -> float:
        """Return when the last grant of this leader expires at the latest, in seconds."""
        return self.hold.until

    def start(self) -> None:
        """Start to renew grants."""
        self._thread.start()

    def stop(self) -> None:
        """Stop renewing grants; the current ones expire."""
        self._stopping.set()
        self._wake.set()

    def renew_now(self) -> None:
        """Renew all grants without waiting for the next interval."""
        self._wake.set()

    def grant(self, client: KeyGrantClient, keys: KeyRange, handover: str | None) -> bool:
        """Send one grant, unless the table has changed or the term has ended.

        :param client: a connection that no other thread uses.
        :param keys: the keys to grant.
        :param handover: state that the previous owner returned on release; None if there is none.
        :returns: whether the upstream accepted the grant.
        """
        started = self._now()
        hold_s = self._hold_s()
        # Recorded before the check: a move that begins after the check waits for this grant, and
        # one that began before it has changed the table.
        pending = self.hold.begin(
            self.upstream.address,
            keys,
            started,
            self._expiry_if_arrived(hold_s) + 2 * GRANT_TIMEOUT_S,
        )
        may_have_arrived = False
        try:
            if not self._may_grant(keys):
                return False
            may_have_arrived = True
            # Grants of an ended term arrive by then, however long the check or connecting took.
            timeout_s = GRANT_TIMEOUT_S - (self._now() - started)
            outcome = client.grant(keys, hold_s, handover, timeout_s)
        except KeyGrantError as exc:
            # The failed connection has been reset, so the grant can't arrive later than now.
            may_have_arrived = exc.sent
            self._handle_failure(keys, started, exc)
            return False
        except UpstreamReplacedError:
            self._mark_replaced()
            return False
        finally:
            end = self._expiry_if_arrived(hold_s) if may_have_arrived else float("-inf")
            self.hold.end(pending, end)
        self._handle_answer(started)
        self._count(outcome.value)
        if outcome is GrantOutcome.FENCED_OFF:
            log_state_change("grant.fenced_off", upstream=self._id, fence=keys.fence)
            self._request_new_fence(keys)
            return False
        self._previous_grants.fence(self._id, keys)
        return True

    def _may_grant(self, keys: KeyRange) -> bool:
        if self._stopping.is_set() or not self._may_act() or self._is_refused(keys):
            return False
        return self._is_current(keys)

    @property
    def _id(self) -> str:
        return self.upstream.upstream_id

    def _run(self) -> None:
        client = KeyGrantClient(self.upstream.address, self._id)
        while not self._stopping.is_set() and self._may_act():
            if self.is_reachable:
                self.renew_all(client)
                self._wake.wait(RENEW_INTERVAL_S)
                self._wake.clear()
            elif not self._is_replaced:
                self._probe(client)
                self._stopping.wait(PROBE_INTERVAL_S)
            else:
                self._stopping.wait(PROBE_INTERVAL_S)
        client.close()

    def renew_all(self, client: KeyGrantClient) -> None:
        """Send a grant for each range that the upstream owns.

        :param client: a connection that no other thread uses.
        """
        self._renew(client, RenewalRound(self._owned(self._id)), self._now() + MAX_SERIAL_ROUND_S)

    def _renew(
        self, client: KeyGrantClient, renewal_round: RenewalRound, helpers_start_at: float
    ) -> None:
        while not self._stopping.is_set() and self.is_reachable:
            keys = renewal_round.take(self._answered_sent_at)
            if keys is None:
                return
            started = self._now()
            if not self.grant(client, keys, None):
                renewal_round.repeat_later(keys, started)
            if self._now() > helpers_start_at:
                helpers_start_at = float("inf")
                for _ in range(min(MAX_HELPERS, renewal_round.left // RANGES_PER_CONNECTION)):
                    self._start_helper(renewal_round)

    def _start_helper(self, renewal_round: RenewalRound) -> None:
        """Continue a round on a further connection."""
        threading.Thread(
            target=self._help, args=(renewal_round,), name=f"grants {self._id}", daemon=True
        ).start()

    def _help(self, renewal_round: RenewalRound) -> None:
        client = KeyGrantClient(self.upstream.address, self._id)
        try:
            self._renew(client, renewal_round, float("inf"))
        except Exception as exc:
            log_thread_error("grants", exc)
        finally:
            client.close()

    def _probe(self, client: KeyGrantClient) -> None:
        """Probe whether an unreachable upstream responds again, without granting anything.

        An accepted connection is no proof, since the kernel accepts it for a frozen process too.
        The probe releases a key that the upstream doesn't own: this has no effect and is answered
        at once.
        """
        keys = self._probe_key(self._id)
        if keys is not None:
            try:
                client.release(keys, PROBE_TIMEOUT_S)
            except KeyGrantError:
                return
            except UpstreamReplacedError:
                self._mark_replaced()
                return
        self._request_new_fences()
        log_state_change("upstream.reachable", upstream=self._id)
        self._failures = 0

    def _mark_replaced(self) -> None:
        """Record that the upstream has ended: it holds no keys, and another uses its address."""
        log_state_change("upstream.replaced", upstream=self._id)
        self._is_replaced = True
        self._previous_grants.forget(self._id)
        self.hold.terminate(self.upstream.address, self._now())

    def _request_new_fences(self) -> None:
        """Request new fencing tokens for all keys, since the upstream may have restarted."""
        for keys in self._owned(self._id):
            self._request_new_fence(keys)

    def _request_new_fence(self, keys: KeyRange) -> None:
        self._refused.add((keys.first, keys.last, keys.fence))
        self._on_fenced_off(keys)

    def _is_refused(self, keys: KeyRange) -> bool:
        return (keys.first, keys.last, keys.fence) in self._refused

    def _expiry_if_arrived(self, hold_s: float) -> float:
        """Return the latest time at which a grant that arrives by now expires, in seconds."""
        return self._now() + hold_s * (1 + CLOCK_RATE_BOUND) + HOLD_MARGIN_S

    def _handle_answer(self, started: float) -> None:
        with self._lock:
            self._answered_sent_at = max(self._answered_sent_at, started)
            self._failures = 0

    def _handle_failure(self, keys: KeyRange, started: float, exc: KeyGrantError) -> None:
        with self._lock:
            # The answer to a grant that was sent later shows that the upstream is reachable.
            self._failures += started >= self._answered_sent_at
            has_become_unreachable = (
                started >= self._answered_sent_at and self._failures == UNREACHABLE_AFTER
            )
        if exc.may_have_restarted:
            self._request_new_fence(keys)
            self._request_new_fences()
        self._count("no answer" if exc.sent else "no connection")
        if has_become_unreachable:
            log_state_change(
                "upstream.unreachable",
                upstream=self._id,
                code=ResultCode.UPSTREAM_CONNECTION_LOST.name,
                error=exc.message,
                first=keys.first,
                held_for_s=round(self.held_until - self._now(), 2),
            )

    def _count(self, outcome: str) -> None:
        self._metrics.count(
            "foxtailshunt_grants_total", "Grants sent by outcome.", {"outcome": outcome}
        )
