"""Carries moves of keys out: takes them back from the giver, then grants them to the new owner."""

import threading
from collections.abc import Callable, Mapping

from foxtailshunt.assigning._key_holder import GRANT_TIMEOUT_S, GrantRenewer
from foxtailshunt.fleet import KeyRange
from foxtailshunt.platform import KeyGrantClient, KeyGrantError, UpstreamReplacedError
from foxtailshunt.telemetry import Metrics, log_state_change, log_thread_error

#: Time for the news of a move to reach all senders before the keys are taken back, in seconds.
NEWS_TIME_S = 0.015
#: Longest wait for one answer to a release, in seconds: the work on the keys ends first.
RELEASE_TIMEOUT_S = 1.2
#: Pause between two releases of the same keys, in seconds.
RELEASE_RETRY_S = 0.1
#: Tries to grant moved keys before the regular renewal goes on with them.
GRANT_TRIES = 3
#: How often a move that waits for grants to run out looks again, in seconds.
WAIT_POLL_S = 0.1


class KeyMover:
    """Moves that stand in the table, each on a thread of its own.

    :param holders: upstreams by id.
    :param may_act: tells whether this node still leads.
    :param earlier_end: returns until when grants of earlier leaders may be in force, in seconds.
    :param settle: records that a move has ended; false if it no longer stands in the table.
    :param stopping: set when the process stops.
    :param now: returns seconds of a clock that also counts suspension.
    :param metrics: counters.
    """

    def __init__(
        self,
        holders: Mapping[str, GrantRenewer],
        may_act: Callable[[], bool],
        previous_grants_expire_at: Callable[[], float],
        settle: Callable[[KeyRange], bool],
        stopping: threading.Event,
        now: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        self._holders = holders
        self._may_act = may_act
        self._earlier_end = previous_grants_expire_at
        self._settle = settle
        self._stopping = stopping
        self._now = now
        self._metrics = metrics
        self._lock = threading.Lock()
        self._in_progress = 0

    @property
    def in_progress(self) -> int:
        """Return how many moves are being carried out."""
        return self._in_progress

    def start_move(self, keys: KeyRange, contested: bool) -> None:
        """Begin to carry a move out.

        :param keys: the keys with their giver and their new owner.
        :param contested: True if the giver may still obey an earlier leader.
        """
        with self._lock:
            self._in_progress += 1
        arguments = (keys, contested)
        threading.Thread(target=self._run, args=arguments, name="move", daemon=True).start()

    def _run(self, keys: KeyRange, contested: bool) -> None:
        try:
            self._carry_out(keys, contested)
        except Exception as exc:
            log_thread_error("move", exc)
        finally:
            with self._lock:
                self._in_progress -= 1

    def _carry_out(self, keys: KeyRange, contested: bool) -> None:
        started = self._now()
        self._stopping.wait(NEWS_TIME_S)
        handover, released = self._take_back(keys, contested)
        if not released:
            return
        self._give(keys, handover)
        if not self._settle(keys):
            return
        log_state_change(
            "keys.moved",
            service=keys.service,
            first=keys.first,
            last=keys.last,
            giver=keys.giver,
            owner=keys.owner,
            fence=keys.fence,
            warm=handover is not None,
            took_s=round(self._now() - started, 3),
        )
        self._metrics.count("foxtailshunt_moves_total", "Ranges of keys moved.")
        self._metrics.count(
            "foxtailshunt_keys_moved_total", "Keys moved.", amount=keys.last - keys.first + 1
        )

    def _take_back(self, keys: KeyRange, contested: bool) -> tuple[str | None, bool]:
        """Return the giver's handover once the giver surely holds the keys no more."""
        holder = self._holders.get(keys.giver or "")
        if holder is None:
            while self._may_act() and self._now() < self._earlier_end():
                self._stopping.wait(WAIT_POLL_S)
            return None, self._may_act()
        # Renewals of these keys have ended; one may still be on its way.
        lapsed_at = max(holder.held_until, self._now() + GRANT_TIMEOUT_S)
        orders = KeyGrantClient(holder.upstream.address, holder.upstream.upstream_id)
        try:
            while self._may_act():
                try:
                    return orders.release(keys, RELEASE_TIMEOUT_S), True
                except UpstreamReplacedError:
                    return None, True
                except KeyGrantError as exc:
                    log_state_change("release.failed", upstream=keys.giver, error=str(exc))
                if self._now() > lapsed_at and not (
                    contested and self._now() < self._earlier_end()
                ):
                    return None, True
                self._stopping.wait(RELEASE_RETRY_S)
        finally:
            orders.close()
        return None, False

    def _give(self, keys: KeyRange, handover: str | None) -> None:
        holder = self._holders.get(keys.owner)
        if holder is None:
            return
        orders = KeyGrantClient(holder.upstream.address, holder.upstream.upstream_id)
        try:
            for _ in range(GRANT_TRIES):
                if holder.grant(orders, keys, handover) or not holder.is_reachable:
                    return
        finally:
            orders.close()
