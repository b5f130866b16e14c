"""Reads the list of upstreams from the store and keeps it up to date."""

from collections.abc import Callable
from dataclasses import replace

from foxtailshunt.fleet import REGISTRATION_S, FleetView, Upstream, era_of
from foxtailshunt.platform import (
    UPSTREAM_PREFIX,
    HistoryLostError,
    StoreChange,
    StoreClient,
    StoreEraChangedError,
    StoreItem,
    decode_upstream,
)
from foxtailshunt.telemetry import log_state_change

#: Timeout of a list call to the store, in seconds; a slow store takes 0.4 s.
READ_TIMEOUT_S = 1.0
#: How long a poll waits for the first change, in seconds.
POLL_TIMEOUT_S = 0.05
#: Time since the last poll after which the list is read anew, in seconds. The store returns the
#: changes of a longer time in several responses, and the first ones would make the list an old one.
MAX_FOLLOW_GAP_S = 1.0
#: Number of changes from which a response may have left out later ones.
FULL_RESPONSE_CHANGES = 200
#: Maximum number of responses that one poll reads.
MAX_RESPONSES = 8


class UpstreamReader:
    """Keeps a list of upstreams by polling; not thread-safe.

    One poll collects the heartbeats of many upstreams, where a blocking watch would return at each
    of them.

    :param store: the store.
    :param now: returns seconds of a clock that also advances during suspension.
    :param view: the node's view: its configuration says whether an upstream may serve, and it knows
        the upstreams that the store has lost.
    """

    def __init__(
        self,
        store: StoreClient,
        now: Callable[[], float],
        view: FleetView,
    ) -> None:
        self._view = view
        self._store = store
        self._now = now
        self._revision: int | None = None
        #: When the last successful poll began, in seconds of the clock.
        self._polled_at = float("-inf")
        self._entries: dict[str, Upstream] = {}
        #: When each entry that states a warm-up was first read with its revision, in seconds of the
        #: clock, and that revision, by store key.
        self._warmups_read: dict[str, tuple[float, int]] = {}
        #: Times after which each entry was written for the last time, in seconds of the clock, and
        #: the revision of that write, by store key.
        self._writes: dict[str, tuple[float, int]] = {}
        self._era = 0
        #: Error messages of entries that cannot be decoded, by store key.
        self._unreadable: dict[str, str] = {}
        #: Store keys of entries that the store no longer has and that are kept for now.
        self._deleted: set[str] = set()

    def poll(self) -> dict[str, Upstream]:
        """Read changes and return the current upstreams by id.

        :raises StoreError: the store did not answer.
        """
        started_at = self._now()
        try:
            if self._revision is None or started_at - self._polled_at > MAX_FOLLOW_GAP_S:
                self._list()
            else:
                self._follow()
        except HistoryLostError:
            self._revision = None
            return self.poll()
        except StoreEraChangedError:
            # Upstreams that registered after the store's copy was taken register again.
            self._revision = None
            raise
        self._polled_at = started_at
        return self._current()

    def _follow(self) -> None:
        for number in range(MAX_RESPONSES):
            assert self._revision is not None
            changes, revision = self._store.watch(UPSTREAM_PREFIX, self._revision, POLL_TIMEOUT_S)
            if not changes and self._entries and number == 0:
                # Upstreams write heartbeats all the time, so a lack of changes means that the
                # watch misses some.
                self._list()
                return
            self._revision = revision
            for change in changes:
                self._apply(change)
            if len(changes) < FULL_RESPONSE_CHANGES:
                return

    def _apply(self, change: StoreChange) -> None:
        if change.item is None:
            self._remove(change.key)
        else:
            self._add(change.item)

    def _list(self) -> None:
        items, revision = self._store.list_items(UPSTREAM_PREFIX, False, READ_TIMEOUT_S)
        self._revision = revision
        if era_of(revision) > self._era:
            # The entries of a copy show when they were copied, not when they were written.
            self._era, self._polled_at = era_of(revision), float("-inf")
            self._writes.clear()
        self._view.upstreams_at_return.observe_list(revision, self._view.upstreams, self._now())
        is_first_list = not self._entries
        found = {item.key for item in items}
        known = found | self._entries.keys()
        for key in [key for key in self._entries if key not in found]:
            self._remove(key)
        for item in items:
            self._add(item, is_first_list)
        self._keep_lost(known)
        if is_first_list and self._entries:
            log_state_change("upstream.first_list", upstreams=len(self._entries))

    def _keep_lost(self, known: set[str]) -> None:
        """Keep upstreams that the store has lost and this reader has not read, as a new leader's.

        :param known: the keys that were listed now or read before.
        """
        view, now = self._view, self._now()
        lost = dict(view.upstreams) if now < view.entry_lapses.keep_until(float("-inf")) else {}
        if now < self._registered_again_at():
            lost |= view.upstreams_at_return.known
        for upstream in lost.values():
            key = UPSTREAM_PREFIX + upstream.upstream_id
            if key not in known:
                self._entries[key] = upstream
                self._deleted.add(key)

    def _registered_again_at(self) -> float:
        """Return until when upstreams register again after the store's return, in seconds."""
        return self._view.upstreams_at_return.listed_at + REGISTRATION_S

    def _add(self, item: StoreItem, is_first_list: bool = False) -> None:
        key = item.key
        self._deleted.discard(key)
        if self._writes.get(key, (0.0, None))[1] != item.revision:
            # The last poll showed no such write.
            self._writes[key] = self._polled_at, item.revision
        try:
            entry = decode_upstream(key, item.value)
        except ValueError as exc:
            if self._unreadable.get(key) != str(exc):
                self._unreadable[key] = str(exc)
                log_state_change("upstream.unreadable", key=key, reason=str(exc))
            # Without a valid entry the upstream can't be used.
            self._entries.pop(key, None)
            self._warmups_read.pop(key, None)
            return
        upstream = self._view.upstreams_at_return.judge(entry, item.revision)
        if upstream is None:
            log_state_change("upstream.unconfirmed", upstream=entry.upstream_id)
            self._delete(key)
            return
        if upstream.warmup_s <= 0:
            self._warmups_read.pop(key, None)
        elif self._warmups_read.get(key, (0.0, None))[1] != item.revision:
            self._warmups_read[key] = (self._now(), item.revision)
        self._unreadable.pop(key, None)
        if key not in self._entries and not is_first_list:
            log_state_change("upstream.joined", upstream=upstream.upstream_id, zone=upstream.zone)
        elif upstream.leaving and not is_first_list and not self._entries[key].leaving:
            log_state_change("upstream.leaving", upstream=upstream.upstream_id)
        self._entries[key] = upstream

    def _remove(self, key: str) -> None:
        self._unreadable.pop(key, None)
        if key not in self._entries:
            return
        if self._is_kept(key):
            log_state_change("upstream.lapsed", key=key)
            self._deleted.add(key)
            return
        log_state_change("upstream.gone", key=key)
        self._delete(key)

    def _is_kept(self, key: str) -> bool:
        """Return whether an upstream may still register again whose entry the store has lost."""
        now = self._now()
        written_after = self._writes.get(key, (float("-inf"), 0))[0]
        if now < self._view.entry_lapses.keep_until(written_after):
            # A reader that has not polled for long may know upstreams that are long gone.
            return self._entries[key].upstream_id in self._view.upstreams
        if now >= self._registered_again_at() or written_after > float("-inf"):
            return False
        return self._entries[key].upstream_id in self._view.upstreams_at_return.known

    def _current(self) -> dict[str, Upstream]:
        for key in [key for key in self._deleted if not self._is_kept(key)]:
            log_state_change("upstream.gone", key=key, after="outage of the store")
            self._delete(key)
        return {
            item.upstream_id: self._view.apply_serving_rules(self._with_remaining_warmup(key, item))
            for key, item in self._entries.items()
        }

    def _delete(self, key: str) -> None:
        self._deleted.discard(key)
        self._entries.pop(key, None)
        self._warmups_read.pop(key, None)
        self._writes.pop(key, None)

    def _with_remaining_warmup(self, key: str, upstream: Upstream) -> Upstream:
        """Return an upstream with the rest of its warm-up now, not when its entry was read."""
        read = self._warmups_read.get(key)
        if read is None:
            return upstream
        return replace(upstream, warmup_s=max(0.0, upstream.warmup_s - (self._now() - read[0])))
