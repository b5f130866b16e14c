"""Elects the one node that assigns keys, by a lease in the store."""

import json
import random
import threading
from collections.abc import Callable
from dataclasses import dataclass

from foxtailshunt.fleet import Member
from foxtailshunt.platform import (
    ConflictError,
    LeaseEndedError,
    StoreClient,
    StoreError,
    StoreItem,
)
from foxtailshunt.telemetry import log_state_change

#: Key that the leader holds.
LEADER_KEY = "foxtailshunt/leader"
#: Time to live of the leader's lease, in seconds: keys are held for longer than an election takes.
LEASE_TTL_S = 1.2
#: How often the lease is renewed, in seconds.
RENEW_INTERVAL_S = 0.35
#: How long a leader renews what is granted without word from the store, in seconds; outages of the
#: store last up to 9 s.
MAX_UNCONFIRMED_S = 10.0
#: Longest wait for an answer of the store, in seconds; a slow store takes 0.4.
CALL_TIMEOUT_S = 0.8
#: How long a follower waits for a change of the leader's key in one call, in seconds.
WATCH_S = 15.0
#: Longest random pause before a node tries to lead, in seconds; it keeps most from trying.
ELECTION_SPREAD_S = 0.12
#: Pause after a failed call, in seconds.
RETRY_S = 0.3


@dataclass(frozen=True, slots=True)
class Leader:
    """Who leads, as the store says."""

    #: Name of the instance.
    instance_id: str
    #: Incarnation of its process.
    boot_id: str
    #: Where it answers other nodes.
    address: tuple[str, int]
    #: Its term: the revision at which it took the lead.
    term: int


class Leadership:
    """Takes the lead when nobody has it, and keeps it.

    :param me: this node.
    :param store: the store.
    :param now: returns seconds of a clock that also counts suspension.
    """

    def __init__(self, local_member: Member, store: StoreClient, now: Callable[[], float]) -> None:
        self._me = local_member
        self._store = store
        self._now = now
        self._stopping = threading.Event()
        self._lease: int | None = None
        self._term: int | None = None
        self._renewed_at = float("-inf")
        self._store_is_lost = False
        #: Who leads, as far as known.
        self.leader: Leader | None = None
        #: Set while this node leads, for those who wait.
        self.leads = threading.Event()
        self._thread = threading.Thread(target=self._run, name="leadership", daemon=True)

    @property
    def term(self) -> int | None:
        """Return this node's term if it may act as leader now, else None."""
        term = self._term
        if term is None or self._now() - self._renewed_at > MAX_UNCONFIRMED_S:
            return None
        return term

    @property
    def is_unconfirmed(self) -> bool:
        """Return whether this node leads without word from the store for longer than its lease."""
        return self.term is not None and self._now() - self._renewed_at > LEASE_TTL_S

    def start(self) -> None:
        """Start taking part in elections."""
        self._thread.start()

    @property
    def unconfirmed_left_s(self) -> float:
        """Return how long this node may act on without word from the store, in seconds."""
        return max(0.0, MAX_UNCONFIRMED_S - (self._now() - self._renewed_at))

    def resign(self) -> bool:
        """Give the lead up, so that another node takes it at once.

        :returns: False if the store does not take it back; this node leads on, since no other can.
        """
        lease = self._lease
        if self._term is not None and lease is not None:
            try:
                self._store.end_lease(lease, CALL_TIMEOUT_S)
            except StoreError as exc:
                log_state_change("leader.resign_failed", error=str(exc))
                return False
        self._stopping.set()
        self._depose("stopping")
        return True

    def step_down(self, reason: str) -> None:
        """Stop leading because of evidence that another node does.

        :param reason: the evidence.
        """
        self._depose(reason)

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                if self._term is not None:
                    self._keep()
                else:
                    self._seek()
                    self._note_store(None)
            except StoreError as exc:
                self._note_store(exc)
                self._stopping.wait(RETRY_S)

    def _keep(self) -> None:
        assert self._lease is not None
        sent_at = self._now()
        try:
            self._store.renew_lease(self._lease, CALL_TIMEOUT_S)
            self._renewed_at = sent_at
            self._note_store(None)
        except LeaseEndedError:
            self._depose("the lease has ended")
            return
        except StoreError as exc:
            if self._now() - self._renewed_at > MAX_UNCONFIRMED_S:
                self._depose("no word from the store")
            self._note_store(exc)
        self._stopping.wait(RENEW_INTERVAL_S)

    def _seek(self) -> None:
        item = self._store.read(LEADER_KEY, CALL_TIMEOUT_S)
        if item is not None:
            self._follow(item)
            return
        self._note_leader(None)
        self._stopping.wait(random.uniform(0, ELECTION_SPREAD_S))
        self._try_to_lead()

    def _follow(self, item: StoreItem) -> None:
        """Wait until the leader's key changes."""
        self._note_leader(item)
        if self._is_own_past(self.leader):
            # The process that led here has ended; waiting for its lease would only lose time.
            self._try_to_lead(replaces=item.revision)
            return
        revision = item.revision
        while not self._stopping.is_set():
            changes, revision = self._store.watch(LEADER_KEY, revision, WATCH_S)
            ended = False
            for change in changes:
                if change.key == LEADER_KEY:
                    self._note_leader(change.item)
                    ended = change.item is None
            if ended:
                self._wait_for_other(revision)
                return

    def _wait_for_other(self, revision: int) -> None:
        wait_s = random.uniform(0, ELECTION_SPREAD_S)
        changes, _ = self._store.watch(LEADER_KEY, revision, wait_s)
        taken = [change.item for change in changes if change.item is not None]
        if taken:
            self._note_leader(taken[-1])
            return
        self._try_to_lead()

    def _is_own_past(self, leader: Leader | None) -> bool:
        return (
            leader is not None
            and leader.instance_id == self._me.instance_id
            and leader.boot_id != self._me.boot_id
        )

    def _try_to_lead(self, replaces: int = 0) -> None:
        """Take the leader's key.

        :param replaces: revision of the key that is replaced; 0 if there is none.
        """
        if self._stopping.is_set():
            return
        sent_at = self._now()
        lease, _ = self._store.open_lease(LEASE_TTL_S, CALL_TIMEOUT_S)
        host, port = self._me.address
        value = json.dumps(
            {"instance_id": self._me.instance_id, "boot_id": self._me.boot_id, "at": [host, port]}
        ).encode()
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
        self.leader = Leader(self._me.instance_id, self._me.boot_id, self._me.address, revision)
        log_state_change("leader.elected", term=revision)
        self.leads.set()

    def _depose(self, reason: str) -> None:
        if self._term is None:
            return
        log_state_change("leader.deposed", term=self._term, reason=reason)
        self._term = None
        self.leader = None
        self.leads.clear()

    def _note_store(self, exc: StoreError | None) -> None:
        if exc is not None and not self._store_is_lost:
            log_state_change("store.lost", part="leadership", error=str(exc))
        if exc is None and self._store_is_lost:
            log_state_change("store.regained", part="leadership")
        self._store_is_lost = exc is not None

    def _note_leader(self, item: StoreItem | None) -> None:
        if item is None:
            if self.leader is not None:
                log_state_change("leader.lost", instance_was=self.leader.instance_id)
            self.leader = None
            return
        try:
            wire = json.loads(item.value)
            host, port = wire["at"]
            leader = Leader(wire["instance_id"], wire["boot_id"], (host, int(port)), item.revision)
        except (ValueError, KeyError, TypeError) as exc:
            log_state_change("leader.unreadable", error=str(exc))
            self.leader = None
            return
        if leader != self.leader:
            log_state_change("leader.known", leader=leader.instance_id, term=leader.term)
        self.leader = leader
