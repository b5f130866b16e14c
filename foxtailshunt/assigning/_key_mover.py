"""Moves keys: releases them at the previous owner, then grants them to the new one."""

import threading
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum

from foxtailshunt.assigning._grant_renewer import GrantRenewer
from foxtailshunt.assigning._previous_grants import PreviousGrants
from foxtailshunt.fleet import Address, KeyRange
from foxtailshunt.platform import KeyGrantClient, KeyGrantError, UpstreamReplacedError
from foxtailshunt.telemetry import Metrics, log_state_change, log_thread_error

#: Time for a table change to reach all senders before keys are released, in seconds.
PUBLISH_DELAY_S = 0.015
#: Timeout of one release, in seconds; the upstream first finishes the requests for the keys.
RELEASE_TIMEOUT_S = 1.2
#: Delay before a failed release is retried, in seconds.
RELEASE_RETRY_S = 0.1
#: Attempts to grant moved keys before they are left to the regular renewal.
GRANT_ATTEMPTS = 3
#: How often a move checks whether the grants it waits for have expired, in seconds.
WAIT_POLL_S = 0.1


class ReleaseBasis(Enum):
    """Why the previous owner of keys can no longer hold them."""

    #: It released them.
    RELEASED = "released"
    #: It has terminated; another upstream uses its address.
    REPLACED = "upstream replaced"
    #: Every grant of this and of previous leaders has expired.
    EXPIRED = "grants expired"


@dataclass(frozen=True, slots=True)
class _Release:
    """The end of the previous owner's hold on keys."""

    #: Why it can no longer hold them.
    basis: ReleaseBasis
    #: State that lets the new owner start warm; None if there is none.
    handover: str | None = None


class KeyMover:
    """Carries out the moves of the ownership table, each on a thread of its own.

    :param renewers: grant renewers by upstream id.
    :param may_act: returns whether this node still leads.
    :param previous_grants: grants of previous leaders that may be in force.
    :param complete: marks a move as completed; returns False if the table no longer contains it.
    :param stopping: set when the process shuts down.
    :param now: returns seconds of a clock that also advances during suspension.
    :param metrics: counters.
    :param connect: returns a client for an address and the id of the upstream there.
    """

    def __init__(
        self,
        renewers: Mapping[str, GrantRenewer],
        may_act: Callable[[], bool],
        previous_grants: PreviousGrants,
        complete: Callable[[KeyRange], bool],
        stopping: threading.Event,
        now: Callable[[], float],
        metrics: Metrics,
        connect: Callable[[Address, str], KeyGrantClient] | None = None,
    ) -> None:
        self._connect = connect or KeyGrantClient
        self._renewers = renewers
        self._may_act = may_act
        self._previous_grants = previous_grants
        self._complete = complete
        self._stopping = stopping
        self._now = now
        self._metrics = metrics
        self._lock = threading.Lock()
        self._in_progress = 0

    @property
    def in_progress(self) -> int:
        """Return the number of moves in progress."""
        return self._in_progress

    def start_move(self, keys: KeyRange) -> None:
        """Start a move.

        :param keys: the keys, with their previous and their new owner.
        """
        with self._lock:
            self._in_progress += 1
        threading.Thread(target=self._run, args=(keys,), name="move", daemon=True).start()

    def _run(self, keys: KeyRange) -> None:
        try:
            self._move(keys)
        except Exception as exc:
            log_thread_error("move", exc)
        finally:
            with self._lock:
                self._in_progress -= 1

    def _move(self, keys: KeyRange) -> None:
        started = self._now()
        self._stopping.wait(PUBLISH_DELAY_S)
        release = self._release(keys)
        if release is None:
            return
        self.grant(keys, release.handover)
        if not self._complete(keys):
            return
        log_state_change(
            "keys.moved",
            service=keys.service,
            first=keys.first,
            last=keys.last,
            giver=keys.giver,
            owner=keys.owner,
            fence=keys.fence,
            basis=release.basis.value,
            previous_grants_left_s=self._previous_grants_left_s(),
            warm=release.handover is not None,
            took_s=round(self._now() - started, 3),
        )
        self._metrics.count("foxtailshunt_moves_total", "Ranges of keys moved.")
        self._metrics.count(
            "foxtailshunt_keys_moved_total", "Keys moved.", amount=keys.last - keys.first + 1
        )

    def _release(self, keys: KeyRange) -> _Release | None:
        """Wait until the previous owner can no longer hold the keys.

        :returns: None if this node no longer leads.
        """
        assert keys.giver is not None
        renewer = self._renewers.get(keys.giver)
        if renewer is None:
            while self._may_act() and self._now() < self._previous_grants.expire_at(keys.giver):
                self._stopping.wait(WAIT_POLL_S)
            return _Release(ReleaseBasis.EXPIRED) if self._may_act() else None
        # The table no longer gives these keys to the previous owner, so no grant of them begins,
        # but one that began before may still be sent.
        hold = renewer.hold
        client = self._connect(renewer.upstream.address, renewer.upstream.upstream_id)
        try:
            while self._may_act():
                try:
                    handover = client.release(keys, RELEASE_TIMEOUT_S)
                    self._previous_grants.fence(keys.giver, keys)
                    return _Release(ReleaseBasis.RELEASED, handover)
                except UpstreamReplacedError:
                    return _Release(ReleaseBasis.REPLACED)
                except KeyGrantError as exc:
                    log_state_change("release.failed", upstream=keys.giver, error=str(exc))
                expire_at = max(hold.until_of(keys), self._previous_grants.expire_at(keys.giver))
                if self._now() > expire_at:
                    return _Release(ReleaseBasis.EXPIRED)
                self._stopping.wait(RELEASE_RETRY_S)
        finally:
            client.close()
        return None

    def _previous_grants_left_s(self) -> float:
        """Return how long grants of previous leaders may still be in force, in seconds."""
        return max(0.0, round(self._previous_grants.expire_at_latest() - self._now(), 3))

    def grant(self, keys: KeyRange, handover: str | None) -> None:
        """Grant moved keys to their new owner; after some failures that is left to its renewals.

        :param keys: the keys.
        :param handover: state that the previous owner returned on release; None if there is none.
        """
        renewer = self._renewers.get(keys.owner)
        if renewer is None:
            return
        client = self._connect(renewer.upstream.address, renewer.upstream.upstream_id)
        try:
            for _ in range(GRANT_ATTEMPTS):
                if renewer.grant(client, keys, handover) or not renewer.is_reachable:
                    return
        finally:
            client.close()
