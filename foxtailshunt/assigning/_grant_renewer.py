"""Grants keys to one upstream and renews the grants.

A grant is a lease: the upstream holds the keys for a limited time after it receives the grant. The
leader keeps an upper bound of that time to know when the keys may go to another upstream.
"""

import threading
from collections.abc import Callable

from foxtailshunt.assigning._grant_hold import GrantHold
from foxtailshunt.assigning._previous_grants import PreviousGrants
from foxtailshunt.errors import ResultCode
from foxtailshunt.fleet import KeyRange, Upstream
from foxtailshunt.platform import GrantOutcome, KeyGrantClient, KeyGrantError, UpstreamReplacedError
from foxtailshunt.telemetry import Metrics, log_state_change

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
#: Timeout of a grant, in seconds; the answer usually takes about 1 ms.
GRANT_TIMEOUT_S = 0.4
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
        self._probe_key = probe_key
        self._may_act = may_act
        self._on_fenced_off = on_fenced_off
        self._hold_s = hold_s
        self._now = now
        self._metrics = metrics
        self._failures = 0
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
        """Send one grant.

        :param client: a connection that no other thread uses.
        :param keys: the keys to grant.
        :param handover: state that the previous owner returned on release; None if there is none.
        :returns: whether the upstream accepted the grant.
        """
        if not self._may_act() or self._is_refused(keys):
            return False
        hold_s = self._hold_s()
        pending = self.hold.begin(
            self.upstream.address,
            self._now(),
            self._expiry_if_arrived(hold_s) + 2 * GRANT_TIMEOUT_S,
        )
        try:
            outcome = client.grant(keys, hold_s, handover, GRANT_TIMEOUT_S)
        except KeyGrantError as exc:
            # The failed connection has been reset, so the grant can't arrive later than now.
            end = self._expiry_if_arrived(hold_s) if exc.sent else float("-inf")
            self.hold.end(pending, end)
            self._handle_failure(keys, exc)
            return False
        except UpstreamReplacedError:
            self._mark_replaced()
            return False
        self.hold.end(pending, self._expiry_if_arrived(hold_s))
        self._failures = 0
        self._count(outcome.value)
        if outcome is GrantOutcome.FENCED_OFF:
            log_state_change("grant.fenced_off", upstream=self._id, fence=keys.fence)
            self._request_new_fence(keys)
            return False
        self._previous_grants.fence(self._id, keys)
        return True

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
        for keys in self._owned(self._id):
            if self._stopping.is_set() or not self.is_reachable:
                return
            self.grant(client, keys, None)

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

    def _handle_failure(self, keys: KeyRange, exc: KeyGrantError) -> None:
        self._failures += 1
        if exc.may_have_restarted:
            self._request_new_fence(keys)
            self._request_new_fences()
        self._count("no answer" if exc.sent else "no connection")
        if self._failures == UNREACHABLE_AFTER:
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
