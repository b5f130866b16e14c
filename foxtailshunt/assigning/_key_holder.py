"""Grants keys to one upstream, renews them, and knows until when it may hold any."""

import threading
from collections.abc import Callable

from foxtailshunt.errors import ResultCode
from foxtailshunt.fleet import KeyRange, Upstream
from foxtailshunt.platform import GrantOutcome, KeyGrantClient, KeyGrantError, UpstreamReplacedError
from foxtailshunt.telemetry import Metrics, log_state_change

#: How long an upstream holds keys after a grant, in seconds. Short, because the keys of a lost
#: upstream wait for its end; longer than an election with the grants that follow it.
HOLD_S = 2.4
#: How long an upstream holds keys after a grant of a leader that leaves while the store is away, in
#: seconds: the restart of the node takes about 1 s and an election 1.3.
LEAVING_HOLD_S = 4.5
#: How often grants are renewed, in seconds; three renewals fit into a hold.
RENEW_INTERVAL_S = 0.55
#: Part by which an upstream's clock may run slow.
CLOCK_RATE_BOUND = 0.02
#: Added to every computed end of a hold, in seconds, for the way of a message.
HOLD_MARGIN_S = 0.1
#: Longest wait for the answer to a grant, in seconds; one takes about 1 ms.
GRANT_TIMEOUT_S = 0.4
#: Failed orders in a row after which an upstream counts as unreachable.
UNREACHABLE_AFTER = 2
#: Pause between looks at an unreachable upstream, in seconds.
PROBE_INTERVAL_S = 0.4
#: Longest wait for the answer to such a look, in seconds.
PROBE_TIMEOUT_S = 0.3


def grant_expires_at(sent: float, hold_s: float) -> float:
    """Return until when keys are held by a grant that was sent by a moment.

    :param sent: the moment, in seconds of the clock.
    :param hold_s: how long keys are held after the grant, in seconds.
    """
    return sent + GRANT_TIMEOUT_S + hold_s * (1 + CLOCK_RATE_BOUND) + HOLD_MARGIN_S


class GrantRenewer:
    """One upstream as seen by the leader, with a thread that renews its grants.

    :param upstream: the upstream.
    :param earlier_end: returns until when it may hold keys by grants of earlier leaders, in
        seconds.
    :param owned: returns the ranges that it owns now and that are to be renewed.
    :param foreign_key: returns a key that another upstream owns, to ask for without effect; None
        if there is none.
    :param may_act: tells whether this node still leads.
    :param on_fenced_off: told of a range that the upstream refused for a higher fencing token.
    :param hold_s: returns how long keys are held after a grant, in seconds.
    :param now: returns seconds of a clock that also counts suspension.
    :param metrics: counters.
    """

    def __init__(
        self,
        upstream: Upstream,
        previous_grants_expire_at: Callable[[], float],
        owned: Callable[[str], list[KeyRange]],
        foreign_key: Callable[[str], KeyRange | None],
        may_act: Callable[[], bool],
        on_fenced_off: Callable[[KeyRange], None],
        hold_s: Callable[[], float],
        now: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        self.upstream = upstream
        self._earlier_end = previous_grants_expire_at
        self._held_until = float("-inf")
        self._is_taken_over = False
        self._owned = owned
        self._foreign_key = foreign_key
        self._may_act = may_act
        self._on_fenced_off = on_fenced_off
        self._hold_s = hold_s
        self._now = now
        self._metrics = metrics
        self._lock = threading.Lock()
        self._failures = 0
        self._is_replaced = False
        self._stopping = threading.Event()
        self._wake = threading.Event()
        self._refused: set[tuple[int, int, int]] = set()
        self._thread = threading.Thread(
            target=self._run, name=f"holder {upstream.upstream_id}", daemon=True
        )

    @property
    def is_reachable(self) -> bool:
        """Return whether the upstream answered its last orders."""
        return self._failures < UNREACHABLE_AFTER and not self._is_replaced

    @property
    def is_fenced(self) -> bool:
        """Return whether the upstream has seen this term's fencing token on all of its keys.

        It refuses all grants of earlier leaders from then on.
        """
        return self._is_taken_over

    @property
    def held_until(self) -> float:
        """Return until when the upstream may hold keys, in seconds of the clock."""
        with self._lock:
            held_until = self._held_until
        return held_until if self._is_taken_over else max(held_until, self._earlier_end())

    def start(self) -> None:
        """Start renewing."""
        self._thread.start()

    def stop(self) -> None:
        """Stop renewing; what is granted runs out by itself."""
        self._stopping.set()
        self._wake.set()

    def renew_now(self) -> None:
        """Renew now rather than at the next interval."""
        self._wake.set()

    def grant(self, orders: KeyGrantClient, keys: KeyRange, handover: str | None) -> bool:
        """Grant keys once.

        :param orders: a connection that no other thread uses.
        :param keys: the keys.
        :param handover: what the last holder returned; None without one.
        :returns: whether the upstream accepted.
        """
        if not self._may_act():
            return False
        hold_s = self._hold_s()
        before, provisional = self._extend(hold_s)
        try:
            outcome = orders.grant(keys, hold_s, handover, GRANT_TIMEOUT_S)
        except KeyGrantError as exc:
            # A failed connection was reset, so that nothing of it arrives after now.
            self._settle(provisional, max(before, self._hold_end(hold_s)) if exc.sent else before)
            self._failed(keys, exc)
            return False
        except UpstreamReplacedError:
            self._note_replaced()
            return False
        self._settle(provisional, max(before, self._hold_end(hold_s)))
        self._failures = 0
        self._count(outcome.value)
        if outcome is GrantOutcome.FENCED_OFF:
            log_state_change("grant.fenced_off", upstream=self._id, fence=keys.fence)
            self._refused.add((keys.first, keys.last, keys.fence))
            self._on_fenced_off(keys)
            return False
        return True

    @property
    def _id(self) -> str:
        return self.upstream.upstream_id

    def _run(self) -> None:
        orders = KeyGrantClient(self.upstream.address, self._id)
        while not self._stopping.is_set() and self._may_act():
            if self.is_reachable:
                self.renew_all(orders)
                self._wake.wait(RENEW_INTERVAL_S)
                self._wake.clear()
            elif not self._is_replaced:
                self._look(orders)
                self._stopping.wait(PROBE_INTERVAL_S)
            else:
                self._stopping.wait(PROBE_INTERVAL_S)
        orders.close()

    def renew_all(self, orders: KeyGrantClient) -> None:
        """Grant everything that the upstream owns once more.

        :param orders: a connection that no other thread uses.
        """
        all_accepted = True
        for keys in self._owned(self._id):
            if self._stopping.is_set() or not self.is_reachable:
                return
            is_refused = (keys.first, keys.last, keys.fence) in self._refused
            all_accepted &= not is_refused and self.grant(orders, keys, None)
        self._is_taken_over |= all_accepted

    def _look(self, orders: KeyGrantClient) -> None:
        """Find out whether an unreachable upstream takes orders, without giving it anything.

        A connection proves nothing: the kernel of a frozen process accepts it. Taking back a key
        that the upstream does not own has no effect and is answered at once.
        """
        keys = self._foreign_key(self._id)
        if keys is not None:
            try:
                orders.release(keys, PROBE_TIMEOUT_S)
            except KeyGrantError:
                return
            except UpstreamReplacedError:
                self._note_replaced()
                return
        self._want_new_fences()
        log_state_change("upstream.reachable", upstream=self._id)
        self._failures = 0

    def _note_replaced(self) -> None:
        """The upstream has ended: it holds nothing, and its address is another's."""
        log_state_change("upstream.replaced", upstream=self._id)
        self._is_replaced = True
        self._is_taken_over = True
        with self._lock:
            self._held_until = self._now()

    def _want_new_fences(self) -> None:
        """Have all keys granted under new fencing tokens: the upstream may have started anew."""
        for keys in self._owned(self._id):
            self._refused.add((keys.first, keys.last, keys.fence))
            self._on_fenced_off(keys)

    def _hold_end(self, hold_s: float) -> float:
        """Return until when keys are held by a grant that arrives now at the latest."""
        return self._now() + hold_s * (1 + CLOCK_RATE_BOUND) + HOLD_MARGIN_S

    def _extend(self, hold_s: float) -> tuple[float, float]:
        """Take into account that a grant is being sent.

        :returns: the end of the hold before, and the provisional one.
        """
        with self._lock:
            before = self._held_until
            self._held_until = max(before, self._hold_end(hold_s) + 2 * GRANT_TIMEOUT_S)
            return before, self._held_until

    def _settle(self, provisional: float, end: float) -> None:
        """Replace a provisional end, unless another grant has been sent since."""
        with self._lock:
            if self._held_until == provisional:
                self._held_until = end

    def _failed(self, keys: KeyRange, exc: KeyGrantError) -> None:
        self._failures += 1
        if exc.may_have_restarted:
            self._want_new_fences()
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
