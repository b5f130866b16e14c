"""The store, the upstreams and the nodes as they reach each other in virtual time."""

import random
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, TypeVar

from features.grant_support._virtual_time import Process, VirtualTime
from foxtailshunt.errors import PeerUnreachableError
from foxtailshunt.fleet import Address, EntryLapses, KeyRange, at_era, era_of, plain_revision
from foxtailshunt.platform import (
    ConflictError,
    GrantOutcome,
    HistoryLostError,
    KeyGrantError,
    LeaseEndedError,
    NoResponseError,
    StoreChange,
    StoreEraChangedError,
    StoreItem,
    UpstreamReplacedError,
)
from foxtailshunt.platform._store import WATCH_MARGIN_S
from standins.keyowner import KeyGrants
from standins.metadata import CompactedError, ConditionFailedError, MetadataStore, UnknownLeaseError

STORE = "store"
#: Share of slow messages and the longest transit of one, in seconds; most timeouts are 0.4 s.
_SLOW_SHARE, _SLOW_S = 0.05, 0.35
_CONNECT_TIMEOUT_S = 0.15
#: Time by which a poll may last longer than its own wait, in seconds.
_POLL_MARGIN_S = 0.4
#: Interval at which a waiting watch notices that it has to be renewed, in seconds.
_RENEWAL_CHECK_S = 0.2
#: Factor by which an upstream holds keys for longer since its clock runs slow, as far as allowed.
_SLOW_CLOCK = 1.02
#: Bits of a lease below the era of the store, as in ``StoreClient``.
LEASE_BITS = 64
#: Errors of the store and of its client.
_ERRORS = {
    ConditionFailedError: ConflictError,
    UnknownLeaseError: LeaseEndedError,
    CompactedError: HistoryLostError,
}

T = TypeVar("T")


class LostResponseError(Exception):
    """A call got no response in time."""


class UpstreamRun:
    """One process of an upstream.

    :param place: its place in the network, which is that of its address.
    """

    service = "desk"

    def __init__(self, place: str, upstream_id: str, address: Address, born_ms: int) -> None:
        self.place, self.upstream_id, self.address = place, upstream_id, address
        self.born_ms = born_ms
        self.grants = KeyGrants()
        self.process = Process(place)
        self.is_leaving = False
        #: Whether it removes its entry, and goes on without one.
        self.has_deregistered = False


class Network:
    """Delivers calls between places unless their direction is blocked."""

    def __init__(self, time: VirtualTime, rng: random.Random) -> None:
        self.time, self.rng = time, rng
        #: Pairs of source and target between which messages are lost.
        self.blocked: frozenset[tuple[str, str]] = frozenset()
        #: Whether no message is slow.
        self.is_calm = False
        #: For each upstream's place whose responses are lost one by one: the probability that a
        #: call gets none, after one of the same kind that got one, and the share of the calls
        #: without a response that are carried out.
        self.lossy: dict[str, tuple[float, float]] = {}
        #: Places and kinds of calls of which the last one got no response.
        self._lost: set[tuple[str, str]] = set()
        #: What happens to the next response that carries changes, by the place and the prefix of
        #: a watch: ``answer lost``, ``connection reset`` or ``connection silent``.
        self.watch_faults: dict[tuple[str, str], str] = {}
        self.store = MetadataStore()
        #: The process at each address.
        self.runs: dict[Address, UpstreamRun] = {}
        #: Ranges and the process that they were sent to, by fencing token.
        self.sent: dict[int, set[tuple[int, int, UpstreamRun]]] = {}
        self.reissued: list[str] = []

    def reaches(self, source: str, target: str) -> bool:
        """Return whether messages of a place reach another one."""
        return (source, target) not in self.blocked

    def exchange(self, target: str, timeout_s: float, serve: Callable[[], T], kind: str = "") -> T:
        """Make a call from the current process.

        :param kind: kind of the call.
        :raises LostResponseError: the call was not served, or its response was lost.
        """
        source, end = self.time.process.name, self.time.now + timeout_s
        loss, served_share = self.lossy.get(target, (0.0, 0.0))
        has_response = not self._loses(target, kind, loss)
        is_served = has_response or self.rng.random() < served_share
        with self.time.remote():
            self._transfer(source, target, end, not is_served)
            result = serve()
            self._transfer(target, source, end, not has_response)
        return result

    def _loses(self, target: str, kind: str, loss: float) -> bool:
        call = target, kind
        is_lost = call not in self._lost and self.rng.random() < loss
        self._lost.discard(call)
        if is_lost:
            self._lost.add(call)
        return is_lost

    def _transfer(self, source: str, target: str, end: float, is_lost: bool = False) -> None:
        is_slow = not self.is_calm and self.rng.random() < _SLOW_SHARE
        transit_s = self.rng.uniform(0.001, _SLOW_S if is_slow else 0.003)
        self.time.sleep(min(transit_s, max(0.0, end - self.time.now)))
        if is_lost or not self.reaches(source, target) or self.time.now >= end:
            self.time.sleep(max(0.0, end - self.time.now))
            raise LostResponseError

    def record_sent(self, keys: KeyRange, run: UpstreamRun) -> None:
        """Record a grant, and whether its token was issued to another process before."""
        known = self.sent.setdefault(keys.fence, set())
        for first, last, other in known:
            if other is not run and first <= keys.last and keys.first <= last:
                self.reissued.append(
                    f"token {keys.fence} issued for {keys.first}..{keys.last} to "
                    f"{run.upstream_id} (born {run.born_ms}), before to {other.upstream_id} "
                    f"(born {other.born_ms})"
                )
        known.add((keys.first, keys.last, run))

    def poll_peers(self, services: dict[Address, Any]) -> Callable[..., SimpleNamespace]:
        """Return a replacement of ``ClientPool`` that calls the services of other nodes."""

        def call(address: Address, method: str, req: Any, timeout_s: float) -> Any:
            try:
                return self.exchange(address[0], timeout_s, lambda: serve(address, method, req))
            except LostResponseError:
                raise PeerUnreachableError("no response", True) from None

        def serve(address: Address, method: str, req: Any) -> Any:
            process, service = services[address]
            if process.is_killed or process.is_suspended:
                raise PeerUnreachableError("refused", False)
            reply = getattr(service, method)(req)
            if process.is_killed or process.is_suspended:
                raise PeerUnreachableError("closed", True)
            return reply

        return lambda *_args: SimpleNamespace(call=call, close_idle=lambda _age_s: None)


class NetworkStoreClient:
    """Calls the stand-in for the store; the interface and the eras of ``StoreClient``."""

    def __init__(self, network: Network, lapses: EntryLapses | None = None) -> None:
        self._network, self._store = network, network.store
        self._lapses = lapses
        self.era = 0
        self._renewals = 0

    def renew_watches(self) -> None:
        self._renewals += 1

    def observe_era(self, era: int) -> None:
        self.era = max(self.era, era)

    def _call(
        self,
        timeout_s: float,
        changes: bool,
        serve: Callable[[int], T],
        depends_on: int | None = None,
        is_watch: bool = False,
    ) -> T:
        def serve_in_era() -> tuple[int, T | Exception]:
            try:
                result: T | Exception = serve(self._store.era)
            except tuple(_ERRORS) as exc:
                result = _ERRORS[type(exc)]("call")
            # The store may have returned from a copy during the wait of a watch.
            return self._store.era, result

        if depends_on not in (None, self.era):
            raise StoreEraChangedError("not sent", False)
        try:
            era, result = self._network.exchange(STORE, timeout_s, serve_in_era)
        except LostResponseError:
            if not is_watch:
                self.renew_watches()
            if self._lapses is not None:
                self._lapses.record_failure()
            raise NoResponseError("no response", changes) from None
        if self._lapses is not None:
            self._lapses.record_answer()
        self.observe_era(era)
        if era != self.era or depends_on not in (None, era):
            raise StoreEraChangedError("response of another era", changes)
        if isinstance(result, Exception):
            raise result
        return result

    def read(self, key: str, timeout_s: float) -> StoreItem | None:
        return self._call(timeout_s, False, lambda era: _item(self._store.read(key), era))

    def read_to_watch(self, key: str, timeout_s: float) -> tuple[StoreItem | None, int]:
        def serve(era: int) -> tuple[StoreItem | None, int]:
            found = _item(self._store.read(key), era)
            return found, at_era(era, self._store.revision) if found is not None else 0

        return self._call(timeout_s, False, serve)

    def list_items(self, prefix: str, stale: bool, timeout_s: float) -> tuple[list, int]:
        def serve(era: int) -> tuple[list, int]:
            items = [_item(found, era) for found in self._store.under(prefix)]
            return items, at_era(era, self._store.revision)

        return self._call(timeout_s, False, serve)

    def watch(self, prefix: str, after: int, wait_s: float) -> tuple[list[StoreChange], int]:
        time = self._network.time
        call = time.process.name, prefix

        def serve(era: int) -> tuple[list[StoreChange], int]:
            end, renewals = time.now + wait_s, self._renewals
            left_s = wait_s
            while True:
                slice_s = min(left_s, _RENEWAL_CHECK_S)
                found, revision = self._store.watch(prefix, plain_revision(after), slice_s)
                left_s, faults = end - time.now, self._network.watch_faults
                is_silent = left_s <= 0 and faults.get(call) == "connection silent"
                if (found or is_silent) and (fault := faults.pop(call, None)):
                    self._lose(end if fault != "connection reset" else time.now, renewals)
                if found or left_s <= 0 or self._store.era != era:
                    break
                if self._renewals != renewals:
                    raise LostResponseError
            changes = [StoreChange(change.key, _item(change.item, era)) for change in found]
            return changes, at_era(era, revision)

        return self._call(wait_s + WATCH_MARGIN_S, False, serve, era_of(after), True)

    def _lose(self, end: float, renewals: int) -> None:
        """Let a watch fail: at once, or after its wait and unless it is renewed before."""
        if end > self._network.time.now:
            end += WATCH_MARGIN_S
        while self._network.time.now < end and self._renewals == renewals:
            self._network.time.sleep(_RENEWAL_CHECK_S)
        raise LostResponseError

    def commit(self, conditions: dict, puts: list, timeout_s: float, removes: tuple = ()) -> int:
        eras = {era_of(revision) for revision in conditions.values() if revision}
        eras |= {lease >> LEASE_BITS for _, _, lease in puts if lease}
        if len(eras) > 1:
            raise StoreEraChangedError("several eras", False)
        plain = {key: plain_revision(revision) for key, revision in conditions.items()}
        written = [(key, value, _plain_lease(lease)) for key, value, lease in puts]
        return self._call(
            timeout_s,
            True,
            lambda era: at_era(era, self._store.commit(plain, written, list(removes))),
            next(iter(eras), None),
        )

    def open_lease(self, ttl_s: float, timeout_s: float) -> tuple[int, float]:
        def serve(era: int) -> int:
            return era << LEASE_BITS | self._store.open_lease(ttl_s)

        return self._call(timeout_s, True, serve), ttl_s

    def renew_lease(self, lease: int, timeout_s: float) -> None:
        plain = _plain_lease(lease)
        era = lease >> LEASE_BITS
        self._call(timeout_s, True, lambda _era: self._store.renew_lease(plain), era)

    def end_lease(self, lease: int, timeout_s: float) -> None:
        plain = _plain_lease(lease)
        era = lease >> LEASE_BITS
        self._call(timeout_s, True, lambda _era: self._store.end_lease(plain), era)


def _item(found: Any, era: int) -> StoreItem | None:
    return found and StoreItem(found.key, found.value, at_era(era, found.revision), found.lease)


def _plain_lease(lease: int) -> int:
    return lease & ((1 << LEASE_BITS) - 1)


class NetworkGrantClient:
    """Calls the process at an address; the interface of ``KeyGrantClient``."""

    def __init__(self, network: Network, address: Address, upstream_id: str) -> None:
        self._network, self._address, self._id = network, address, upstream_id
        self._connected: UpstreamRun | None = None

    def grant(
        self, keys: KeyRange, hold_s: float, handover: str | None, timeout_s: float
    ) -> GrantOutcome:
        def serve(run: UpstreamRun) -> GrantOutcome:
            self._network.record_sent(keys, run)
            now = self._network.time.now
            held_s = hold_s * _SLOW_CLOCK
            accepted = run.grants.grant(keys.first, keys.last, keys.fence, held_s, now)
            return GrantOutcome.ACCEPTED if accepted else GrantOutcome.FENCED_OFF

        return self._call("grant", timeout_s, serve)

    def release(self, keys: KeyRange, timeout_s: float) -> str | None:
        return self._call(
            "release", timeout_s, lambda run: run.grants.release(keys.first, keys.last, keys.fence)
        )

    def close(self) -> None:
        self._connected = None

    def _call(self, kind: str, timeout_s: float, serve: Callable[[UpstreamRun], T]) -> T:
        run = self._connect(timeout_s)

        def serve_checked() -> T:
            if run.process.is_killed:
                raise KeyGrantError("reset", True, True)
            if run.upstream_id != self._id:
                raise UpstreamReplacedError("another upstream responds")
            return serve(run)

        try:
            result = self._network.exchange(run.place, timeout_s, serve_checked, kind)
        except LostResponseError:
            self.close()
            raise KeyGrantError("timed out", True) from None
        except (KeyGrantError, UpstreamReplacedError):
            self.close()
            raise
        if run.process.is_killed:
            self.close()
            raise KeyGrantError("reset", True, True)
        return result

    def _connect(self, timeout_s: float) -> UpstreamRun:
        run, here = self._connected, self._network.time.process.name
        at_address = self._network.runs[self._address]
        is_linked = self._network.reaches(here, at_address.place) and self._network.reaches(
            at_address.place, here
        )
        if run is not None and (not run.process.is_killed or not is_linked):
            return run
        self.close()
        if run is not None:
            raise KeyGrantError("closed by the upstream", False, True)
        if not is_linked:
            self._network.time.sleep(min(timeout_s, _CONNECT_TIMEOUT_S))
            raise KeyGrantError("cannot connect", False)
        if at_address.process.is_killed:
            raise KeyGrantError("refused", False, True)
        self._connected = at_address
        return at_address
