"""Elects the leader, the one node that assigns keys, with a lease in the store."""

import random
import threading
from collections.abc import Callable
from dataclasses import dataclass

from foxtailshunt.assigning._leader_record import Leader, decode_leader, encode_leader
from foxtailshunt.assigning._store_watch import StoreWatch
from foxtailshunt.errors import DocumentError
from foxtailshunt.fleet import Member, StoreCallSpacing, era_of
from foxtailshunt.platform import (
    ConflictError,
    HistoryLostError,
    LeaseEndedError,
    StoreClient,
    StoreEraChangedError,
    StoreError,
    StoreItem,
)
from foxtailshunt.telemetry import log_state_change

#: Store key that the leader holds under its lease.
LEADER_KEY = "foxtailshunt/leader"
#: Time to live of the leader's lease, in seconds; short, so that an election ends before upstreams
#: lose their keys.
LEASE_TTL_S = 1.2
#: How often the leader renews its lease, in seconds.
RENEW_INTERVAL_S = 0.35
#: How long a leader keeps renewing grants after the store last renewed its lease, in seconds; an
#: outage of the store lasts up to 9 s.
MAX_UNCONFIRMED_S = 10.0
#: Timeout of a store call, in seconds; a slow store takes 0.4 s.
CALL_TIMEOUT_S = 0.8
#: How long one call watches the leader's key for changes in a small fleet, in seconds; each call is
#: billed.
WATCH_TIMEOUT_S = 15.0
#: Longest random delay before a node tries to become leader, in seconds; it lets most nodes see a
#: new leader before they try.
MAX_ELECTION_DELAY_S = 0.12
#: Processor capacity from which an instance has no extra delay in elections, in cores.
FULL_CAPACITY_CORES = 1.0
#: Extra delay of an instance with hardly any capacity, in seconds: larger instances win elections,
#: since the leader's work grows with the fleet. Upstreams keep their keys for longer.
MAX_CAPACITY_DELAY_S = 0.3
#: Share by which the clock of the store may run fast.
CLOCK_RATE_BOUND = 0.02
#: Longest delay before calls are repeated in a new era of the store, in seconds.
ERA_RETRY_DELAY_S = 0.05
#: Delay before a failed call is retried in a small fleet, in seconds.
RETRY_DELAY_S = 0.3


def election_delay_s(capacity_cores: float) -> float:
    """Return the extra delay before an instance tries to become leader, in seconds.

    :param capacity_cores: processor capacity of the instance, in cores.
    """
    return MAX_CAPACITY_DELAY_S * max(0.0, 1 - capacity_cores / FULL_CAPACITY_CORES)


@dataclass(frozen=True, slots=True)
class LastTerm:
    """A term of this node that is known to be the last one before an era of the store."""

    #: The term.
    term: int
    #: The era that followed it.
    before_era: int


class Leadership:
    """Becomes leader when there is none, and renews the leader's lease.

    :param local_member: this node.
    :param store: the store.
    :param now: returns seconds of a clock that also advances during suspension.
    :param capacity_cores: processor capacity of this instance, in cores.
    :param call_spacing: spaces the calls to the store by the size of the fleet.
    """

    def __init__(
        self,
        local_member: Member,
        store: StoreClient,
        now: Callable[[], float],
        capacity_cores: float,
        call_spacing: StoreCallSpacing,
    ) -> None:
        self._capacity_delay_s = election_delay_s(capacity_cores)
        self._call_spacing = call_spacing
        self._local_member = local_member
        self._store = store
        self._watch = StoreWatch(store, LEADER_KEY)
        self._now = now
        self._stopping = threading.Event()
        self._lease: int | None = None
        self._term: int | None = None
        self._renewed_at = float("-inf")
        self._is_store_unavailable = False
        #: The leader as last read from the store; None if there is none or it is not known.
        self.leader: Leader | None = None
        #: The last term of this node that no other leader followed before the store's next era.
        self.last_term: LastTerm | None = None
        #: Set while this node is leader.
        self.leading = threading.Event()
        self._thread = threading.Thread(target=self._run, name="leadership", daemon=True)

    @property
    def term(self) -> int | None:
        """Return this node's term if it may act as leader now, else None."""
        term = self._term
        if term is None or self._now() - self._renewed_at > MAX_UNCONFIRMED_S:
            return None
        if era_of(term) != self._store.era:
            # The store has lost the lease, or returned it to a state of the past.
            return None
        return term

    @property
    def is_unconfirmed(self) -> bool:
        """Return whether this node leads although the store has not renewed its lease in time."""
        return self.term is not None and self._now() - self._renewed_at > LEASE_TTL_S

    def start(self) -> None:
        """Start to take part in elections."""
        self._thread.start()

    @property
    def unconfirmed_left_s(self) -> float:
        """Return how long this node may still lead without renewal of its lease, in seconds."""
        return max(0.0, MAX_UNCONFIRMED_S - (self._now() - self._renewed_at))

    def resign(self) -> bool:
        """Resign as leader, so that another node can be elected at once.

        :returns: False if the store didn't end the lease; this node then continues to lead, since
            no other node can be elected.
        """
        lease = self._lease
        if self._term is not None and lease is not None:
            try:
                self._store.end_lease(lease, CALL_TIMEOUT_S)
            except StoreError as exc:
                log_state_change("leader.resign_failed", error=str(exc))
                return False
        self._stopping.set()
        self._step_down("stopping")
        return True

    def step_down(self, reason: str) -> None:
        """Stop leading because there is evidence of a newer leader.

        :param reason: the evidence, for the log.
        """
        self._step_down(reason)

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                if self._term is not None:
                    self._renew_lease()
                else:
                    self._follow_or_lead()
                    self._log_store_state(None)
            except StoreEraChangedError as exc:
                log_state_change("store.era_left", part="leadership", call=exc.message)
                self._stopping.wait(random.uniform(0, ERA_RETRY_DELAY_S))
            except HistoryLostError as exc:
                log_state_change("store.history_lost", part="leadership", watch=exc.message)
                self._stopping.wait(random.uniform(0, RETRY_DELAY_S))
            except StoreError as exc:
                self._log_store_state(exc)
                self._stopping.wait(self._call_spacing.delay_s(RETRY_DELAY_S))

    def _renew_lease(self) -> None:
        assert self._lease is not None
        sent_at = self._now()
        try:
            self._store.renew_lease(self._lease, CALL_TIMEOUT_S)
            self._renewed_at = sent_at
            self._log_store_state(None)
        except LeaseEndedError:
            self._step_down("the lease has ended")
            return
        except StoreEraChangedError:
            self._leave_era()
            return
        except StoreError as exc:
            if self._now() - self._renewed_at > MAX_UNCONFIRMED_S:
                self._step_down("the store has not renewed the lease in time")
            self._log_store_state(exc)
        self._stopping.wait(RENEW_INTERVAL_S)

    def _leave_era(self) -> None:
        """Step down since the store has returned from an older copy."""
        term, next_era = self._term, self._store.era
        if term is None:
            return
        # While the lease was valid no other node could be elected.
        lease_s = LEASE_TTL_S * (1 - CLOCK_RATE_BOUND)
        is_last = next_era == era_of(term) + 1 and self._now() - self._renewed_at <= lease_s
        self._step_down("the store has returned from an older copy")
        # Published after the term has ended, so that the table can't change any more.
        self.last_term = LastTerm(term, next_era) if is_last else None

    def _follow_or_lead(self) -> None:
        item, revision = self._store.read_to_watch(LEADER_KEY, CALL_TIMEOUT_S)
        self._log_store_state(None)
        if item is not None:
            self._follow(item, revision)
            return
        self._update_leader(None)
        self._stopping.wait(self._election_delay_s())
        self._try_to_become_leader()

    def _follow(self, item: StoreItem, revision: int) -> None:
        """Watch the leader's key until it is deleted, then try to become leader.

        :param item: the leader's key.
        :param revision: revision of the store when the key was read. The key's own revision is
            that of the election, which the store's history may no longer contain.
        """
        self._update_leader(item)
        if self._is_outdated(self.leader):
            # The key belongs to an earlier process of this instance, which has ended, or to an
            # election of this process that the store's return has ended. Waiting for its lease to
            # expire would only delay the election.
            self._try_to_become_leader(replaces=item.revision)
            return
        while not self._stopping.is_set():
            timeout_s = self._call_spacing.watch_timeout_s(WATCH_TIMEOUT_S)
            changes, revision = self._watch.wait(revision, timeout_s)
            ended = False
            for change in changes:
                if change.key == LEADER_KEY:
                    self._update_leader(change.item)
                    ended = change.item is None
            if ended:
                self._lead_unless_taken(revision)
                return

    def _lead_unless_taken(self, revision: int) -> None:
        wait_s = self._election_delay_s()
        changes, _ = self._watch.wait(revision, wait_s)
        created = [change.item for change in changes if change.item is not None]
        if created:
            self._update_leader(created[-1])
            return
        self._try_to_become_leader()

    def _election_delay_s(self) -> float:
        return self._capacity_delay_s + random.uniform(0, MAX_ELECTION_DELAY_S)

    def _is_outdated(self, leader: Leader | None) -> bool:
        if leader is None or leader.instance_id != self._local_member.instance_id:
            return False
        # After the store has returned from a copy, the key may be one of this process itself.
        return leader.boot_id != self._local_member.boot_id or self._store.era > 0

    def _try_to_become_leader(self, replaces: int = 0) -> None:
        """Try to become leader by writing the leader's key under a new lease.

        :param replaces: revision of the key to replace; 0 if the key must not exist.
        """
        if self._stopping.is_set():
            return
        sent_at = self._now()
        lease, _ = self._store.open_lease(LEASE_TTL_S, CALL_TIMEOUT_S)
        value = encode_leader(self._local_member)
        try:
            revision = self._store.commit(
                {LEADER_KEY: replaces}, [(LEADER_KEY, value, lease)], CALL_TIMEOUT_S
            )
        except ConflictError:
            return
        if self._stopping.is_set():
            self._store.end_lease(lease, CALL_TIMEOUT_S)
            return
        self._lease, self._renewed_at, self._term = lease, sent_at, revision
        self.leader = Leader(
            self._local_member.instance_id,
            self._local_member.boot_id,
            self._local_member.address,
            revision,
        )
        log_state_change("leader.elected", term=revision)
        self.leading.set()

    def _step_down(self, reason: str) -> None:
        if self._term is None:
            return
        log_state_change("leader.deposed", term=self._term, reason=reason)
        self._term = None
        self.leader = None
        self.leading.clear()

    def _log_store_state(self, exc: StoreError | None) -> None:
        if exc is not None and not self._is_store_unavailable:
            log_state_change("store.lost", part="leadership", error=str(exc))
        if exc is None and self._is_store_unavailable:
            log_state_change("store.regained", part="leadership")
        self._is_store_unavailable = exc is not None

    def _update_leader(self, item: StoreItem | None) -> None:
        if item is None:
            if self.leader is not None:
                log_state_change("leader.lost", instance_was=self.leader.instance_id)
            self.leader = None
            return
        try:
            leader = decode_leader(item)
        except DocumentError as exc:
            log_state_change("leader.unreadable", error=str(exc))
            self.leader = None
            return
        if leader != self.leader:
            log_state_change("leader.known", leader=leader.instance_id, term=leader.term)
        self.leader = leader
