"""The lease that makes one assigner of a zone the active one."""

import random
import threading
import uuid
from collections.abc import Callable

from foxtailshunt.errors import FoxtailshuntError
from foxtailshunt.kvstore import Backoff, Platform, StoreRecord
from foxtailshunt.ownership._periods import surely_in_force_for
from foxtailshunt.telemetry import Metrics, log_state_change, log_thread_error
from foxtailshunt.timing import Clock

LEASE_TTL_S = 1.0
LEASE_RENEW_INTERVAL_S = 0.3
_WATCH_S = 10.0
_FIRST_RETRY_S = 0.05
_RETRY_LIMIT_S = 2.0
_RELEASE_JITTER_S = 0.05
_STOP_TIMEOUT_S = 2.0


class LeaseKeeper:
    """Competes for the lease on one thread, and renews it while it is held.

    :param platform: the platform.
    :param key: the key that the active assigner holds.
    :param holder: written under the key, for operators.
    :param clock: the clock that the lease is counted on.
    :param metrics: where changes are counted.
    :param on_change: called when the lease is gained or lost; must not block.
    """

    def __init__(
        self,
        platform: Platform,
        key: str,
        holder: str,
        clock: Clock,
        metrics: Metrics,
        on_change: Callable[[], None],
    ) -> None:
        self._platform = platform
        self._key = key
        self._holder = holder
        self._clock = clock
        self._metrics = metrics
        self._on_change = on_change
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self._hold_off_until = clock.now()
        self._lease_id: str | None = None
        self._valid_until: float | None = None
        self._store_seen_at: float | None = None
        self._known: StoreRecord | None = None
        self._number = 0
        self._backoff = Backoff(_FIRST_RETRY_S, _RETRY_LIMIT_S, random.Random())
        self._thread = threading.Thread(target=self._run, name="lease", daemon=True)

    @property
    def held(self) -> bool:
        """Return whether the lease is surely held at this moment."""
        valid_until = self._valid_until
        return valid_until is not None and self._clock.now() < valid_until

    @property
    def number(self) -> int:
        """Return a number that rises each time the lease is gained."""
        return self._number

    @property
    def store_seen_at(self) -> float | None:
        """Return when the store last answered, in seconds of the clock; None before."""
        return self._store_seen_at

    def start(self) -> None:
        """Start competing."""
        self._thread.start()

    def stop(self) -> None:
        """Stop, and give the lease up so that the next assigner takes over at once."""
        self._stopping.set()
        self._lapse()
        self._close_own()
        self._thread.join(_STOP_TIMEOUT_S)
        self._close_own()

    def resign(self, hold_off_s: float) -> None:
        """Give the lease up for another assigner, and do not compete for a while.

        :param hold_off_s: time without competing, in seconds.
        """
        with self._lock:
            self._hold_off_until = self._clock.now() + hold_off_s
            lease_id, self._lease_id = self._lease_id, None
            self._lapse()
        self._count("resigned")
        self._close(lease_id)

    def dump(self) -> dict[str, object]:
        """Return the state of the lease."""
        valid_until = self._valid_until
        remaining_s = valid_until - self._clock.now() if valid_until is not None else None
        known = self._known
        return {
            "held": self.held,
            "remaining_s": remaining_s,
            "gained": self._number,
            "holder": known.value if known else None,
        }

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                self._step()
                self._backoff.reset()
            except FoxtailshuntError:
                self._note_failure()
                self._stopping.wait(self._backoff.next_delay_s())
            except Exception as exc:
                log_thread_error("lease", exc)
                self._note_failure()
                self._stopping.wait(self._backoff.next_delay_s())

    def _step(self) -> None:
        if self.held:
            self._stopping.wait(LEASE_RENEW_INTERVAL_S)
            if not self._stopping.is_set():
                self._renew()
            return
        self._lapse()
        hold_off_s = self._hold_off_until - self._clock.now()
        if hold_off_s > 0:
            self._stopping.wait(hold_off_s)
        elif not self._compete():
            self._wait_for_release()

    def _renew(self) -> None:
        asked_at = self._clock.now()
        lease_id = self._lease_id
        is_renewed = lease_id is not None and self._platform.renew_lease(lease_id)
        self._note_store()
        with self._lock:
            if is_renewed and self._lease_id == lease_id:
                self._valid_until = asked_at + surely_in_force_for(LEASE_TTL_S)
                return
            self._lease_id = None
            self._lapse()

    def _compete(self) -> bool:
        """Try to gain the lease; a lease that was opened before is used again while it lives."""
        asked_at = self._clock.now()
        if self._lease_id is None or not self._platform.renew_lease(self._lease_id):
            self._lease_id = self._platform.open_lease(LEASE_TTL_S)
        self._note_store()
        value = f"{self._holder} {uuid.uuid4().hex}"
        gained = self._platform.acquire(self._key, value, self._lease_id)
        self._note_store()
        if not gained:
            return False
        self._number += 1
        self._valid_until = asked_at + surely_in_force_for(LEASE_TTL_S)
        self._count("gained")
        log_state_change("lease.gained", number=self._number)
        self._on_change()
        return True

    def _wait_for_release(self) -> None:
        """Wait until the key changes; it changes when its holder's lease ends."""
        self._close_own()
        while not self._stopping.is_set():
            before = self._known
            revision = before.revision if before else 0
            known = self._platform.watch(self._key, revision, _WATCH_S)
            self._known = known
            self._note_store()
            # Each holder writes a value of its own; a release changes the revision alone.
            if before is None or known is None or known.value == before.value:
                self._stopping.wait(random.uniform(0, _RELEASE_JITTER_S))
                return

    def _close_own(self) -> None:
        lease_id, self._lease_id = self._lease_id, None
        self._close(lease_id)

    def _close(self, lease_id: str | None) -> None:
        if lease_id is None:
            return
        try:
            self._platform.close_lease(lease_id)
        except FoxtailshuntError:
            self._count("close_failed")

    def _note_store(self) -> None:
        self._store_seen_at = self._clock.now()

    def _note_failure(self) -> None:
        if not self.held:
            self._lapse()

    def _lapse(self) -> None:
        if self._valid_until is None:
            return
        self._valid_until = None
        self._count("lost")
        log_state_change("lease.lost")
        self._on_change()

    def _count(self, change: str) -> None:
        self._metrics.count(
            "foxtailshunt_assigner_lease_changes_total",
            "Changes of the assigner lease at this process.",
            {"change": change},
        )
