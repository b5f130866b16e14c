"""Heartbeats of one process to the assigners, and what spreads with them."""

import math
import threading
from collections.abc import Callable

from foxtailshunt.errors import PeerUnreachableError
from foxtailshunt.membership._member_registry import MemberRegistry
from foxtailshunt.membership._peer_link import PeerLink
from foxtailshunt.membership._peer_state import PeerSnapshot, PeerState
from foxtailshunt.membership._view import View
from foxtailshunt.ownership import Address
from foxtailshunt.ownership._periods import SYNC_WAIT_MS
from foxtailshunt.protocol import ClientPool, Member, SyncReply, SyncRequest, UpstreamReport
from foxtailshunt.protocol.gen import Assigner
from foxtailshunt.telemetry import Metrics, log_thread_error
from foxtailshunt.timing import Clock, MonotonicClock

#: Role of an assigner in :class:`~foxtailshunt.protocol.Member`.
ASSIGNER_ROLE = "assigner"

_WAKE_TIMEOUT_S = 0.25
_STOP_TIMEOUT_S = 1.0
_OWN_ZONE_SILENCE_S = 1.0
_OTHER_ZONE_CHECK_S = 0.5
_OTHER_ZONE_WAIT_MS = 500


class SyncAgent:
    """Keeps one long poll open at each assigner and feeds the replies into a view.

    Entries and dispatchers call assigners of other zones, at a slower pace, only while none of
    their own zone answers. Assigners (those with ``own_address``) call all of them.

    :param view: takes documents and members.
    :param make_member: describes this process; called on several threads.
    :param seeds: addresses of assigners to contact first, of any zone.
    :param make_reports: returns the reports on upstreams; called on several threads.
    :param zone: the availability zone of this process.
    :param metrics: where calls are counted.
    :param own_address: this process's address if it is an assigner itself.
    :param clock: the clock.
    :param registry: the members that this process hears itself, if it is an assigner.
    """

    def __init__(
        self,
        view: View,
        make_member: Callable[[], Member],
        seeds: tuple[Address, ...],
        make_reports: Callable[[], list[UpstreamReport]],
        zone: str,
        metrics: Metrics,
        own_address: Address | None = None,
        clock: Clock | None = None,
        registry: MemberRegistry | None = None,
    ) -> None:
        self._view = view
        self._make_member = make_member
        self._seeds = seeds
        self._make_reports = make_reports
        self._zone = zone
        self._metrics = metrics
        self._own_address = own_address
        self._clock = clock or MonotonicClock()
        self._registry = registry
        self._lock = threading.Lock()
        self._stopping = False
        self._peers: dict[Address, PeerState] = {}
        self._links: dict[Address, PeerLink] = {}
        self._wake_requested = threading.Event()
        self._wake_pool = ClientPool(Assigner, max_idle=1)
        self._wake_thread = threading.Thread(target=self._run_wake, name="sync-wake", daemon=True)

    @property
    def store_age_s(self) -> float:
        """Return the least time since an assigner of the own zone reached the store, in seconds.

        Infinite if no assigner of the own zone answers.
        """
        now = self._clock.now()
        ages = [
            peer.store_age_s + now - peer.answered_at
            for peer in self._own_zone_peers(now)
            if peer.answered_at is not None
        ]
        return min(ages, default=math.inf)

    @property
    def active_assigner(self) -> Address | None:
        """Return the address of the own zone's active assigner, None if none is known."""
        active = [peer for peer in self._own_zone_peers(self._clock.now()) if peer.active]
        newest = max(active, key=lambda peer: peer.answered_at or 0.0, default=None)
        return newest.address if newest else None

    def start(self) -> None:
        """Start calling the assigners."""
        self._wake_thread.start()
        if self._registry is not None:
            self._registry.subscribe(self._update_members)
        self._update_members()

    def stop(self) -> None:
        """Stop calling; waits shortly for calls in progress."""
        with self._lock:
            self._stopping = True
            links = list(self._links.values())
        for link in links:
            link.stop()
        self._wake_requested.set()
        for link in links:
            link.join(_STOP_TIMEOUT_S)
        self._wake_thread.join(_STOP_TIMEOUT_S)
        self._wake_pool.close()

    def wake(self) -> None:
        """Send a heartbeat at once, beside the long polls in progress; does not wait for it."""
        self._wake_requested.set()

    def snapshots(self) -> tuple[PeerSnapshot, ...]:
        """Return what is known of each assigner."""
        with self._lock:
            return tuple(peer.snapshot for peer in self._peers.values())

    def _run_wake(self) -> None:
        while True:
            self._wake_requested.wait()
            self._wake_requested.clear()
            if self._stopping:
                return
            try:
                self._call_own_zone()
            except Exception as exc:
                log_thread_error("sync-wake", exc)

    def _call_own_zone(self) -> None:
        active = self.active_assigner
        now = self._clock.now()
        targets = [active] if active else [peer.address for peer in self._own_zone_peers(now)]
        for address in targets:
            peer = self._peers.get(address)
            if peer is None:
                continue
            req = self._make_request(peer, wait_ms=0)
            try:
                reply = self._wake_pool.call(address, "sync", req, _WAKE_TIMEOUT_S)
            except PeerUnreachableError:
                self._wake_pool.forget(address)
                self._count("wake_failed")
            else:
                self._take_reply(peer, reply)

    def _own_zone_peers(self, now: float) -> list[PeerSnapshot]:
        return [
            peer
            for peer in self.snapshots()
            if peer.zone == self._zone
            and peer.answered_at is not None
            and now - peer.answered_at < _OWN_ZONE_SILENCE_S
        ]

    def _make_request(self, peer: PeerState, wait_ms: int) -> SyncRequest:
        return peer.make_request(self._make_member(), self._make_reports(), wait_ms)

    def _take_reply(self, peer: PeerState, reply: SyncReply) -> None:
        peer.take_reply(reply, self._clock.now())
        self._count("answered")
        self._update_members()

    def _update_members(self) -> None:
        members = self._merged_members()
        if members != self._view.members:
            self._view.accept_members(members)
        self._update_links()

    def _merged_members(self) -> tuple[Member, ...]:
        """Merge the lists of assigners that answer; own, then the active one's, come first."""
        now = self._clock.now()
        peers = self._own_zone_peers(now) or list(self.snapshots())
        peers.sort(key=lambda peer: (not peer.active, -(peer.answered_at or 0.0)))
        lists = [peer.members for peer in peers]
        if self._registry is not None:
            lists.insert(0, self._registry.members())
        merged: dict[tuple[str, str], Member] = {}
        for members in lists:
            for member in members:
                merged.setdefault((member.instance_id, member.role), member)
        return tuple(merged[key] for key in sorted(merged))

    def _wanted_addresses(self) -> set[Address]:
        listed = {
            (member.host, member.port)
            for member in self._view.members
            if member.role == ASSIGNER_ROLE
        }
        return (listed | set(self._seeds)) - {self._own_address}

    def _update_links(self) -> None:
        wanted = self._wanted_addresses()
        with self._lock:
            if self._stopping:
                return
            for address in sorted(wanted - self._links.keys()):
                self._add_link(address)

    def _add_link(self, address: Address) -> None:
        peer = self._peers.setdefault(address, PeerState(address, self._view))
        link = PeerLink(
            address,
            lambda: self._make_request(peer, self._wait_ms(peer)),
            lambda reply: self._take_reply(peer, reply),
            lambda: self._pause(peer),
            lambda exc: self._count(type(exc).__name__),
            self._clock,
        )
        self._links[address] = link
        link.start()

    def _wait_ms(self, peer: PeerState) -> int:
        if self._own_address is not None or peer.snapshot.zone in (None, self._zone):
            return SYNC_WAIT_MS
        return _OTHER_ZONE_WAIT_MS

    def _pause(self, peer: PeerState) -> float | None:
        address, zone = peer.snapshot.address, peer.snapshot.zone
        if address not in self._wanted_addresses():
            with self._lock:
                self._links.pop(address, None)
                self._peers.pop(address, None)
            return None
        if self._own_address is not None or zone in (None, self._zone):
            return 0.0
        if self._own_zone_peers(self._clock.now()):
            return _OTHER_ZONE_CHECK_S
        return 0.0

    def _count(self, outcome: str) -> None:
        self._metrics.count(
            "foxtailshunt_sync_calls_total", "Sync calls to assigners.", {"outcome": outcome}
        )
