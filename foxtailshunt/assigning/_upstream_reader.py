"""Reads the list of upstreams from the store and keeps it up to date."""

from collections.abc import Callable
from dataclasses import replace

from foxtailshunt.fleet import FleetView, Upstream
from foxtailshunt.platform import (
    UPSTREAM_PREFIX,
    HistoryLostError,
    StoreChange,
    StoreClient,
    StoreEraChangedError,
    StoreError,
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
#: How long after a failed call a deleted entry is kept, in seconds, since the upstream may register
#: again.
REMOVAL_DELAY_S = 2.3


class UpstreamReader:
    """Keeps a list of upstreams by polling; not thread-safe.

    One poll collects the heartbeats of many upstreams, where a blocking watch would return at each
    of them.

    :param store: the store.
    :param now: returns seconds of a clock that also advances during suspension.
    :param view: the node's view: its configuration says whether an upstream may serve, and it knows
        the upstreams if the store returns from a copy.
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
        self._failed_at = float("-inf")
        #: Error messages of entries that cannot be decoded, by store key.
        self._unreadable: dict[str, str] = {}
        #: When entries were deleted that are kept for now, in seconds of the clock, by store key.
        self._deleted: dict[str, float] = {}

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
            self._failed_at = self._now()
            raise
        except StoreError:
            self._failed_at = self._now()
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
        self._view.upstreams_at_return.observe_list(revision, self._view.upstreams, self._now())
        is_first_list = not self._entries
        found = {item.key for item in items}
        for key in [key for key in self._entries if key not in found]:
            self._remove(key)
        for item in items:
            self._add(item, is_first_list)
        self._keep_lost(found)
        if is_first_list and self._entries:
            log_state_change("upstream.first_list", upstreams=len(self._entries))

    def _keep_lost(self, found: set[str]) -> None:
        """Keep upstreams that the store has lost by its return, since they register again.

        :param found: the listed keys.
        """
        at_return = self._view.upstreams_at_return
        if self._now() - at_return.listed_at >= REMOVAL_DELAY_S:
            return
        self._failed_at = max(self._failed_at, at_return.listed_at)
        for upstream in at_return.known.values():
            key = UPSTREAM_PREFIX + upstream.upstream_id
            if key not in found and key not in self._entries:
                self._entries[key] = upstream
                self._deleted[key] = self._now()

    def _add(self, item: StoreItem, is_first_list: bool = False) -> None:
        key = item.key
        self._deleted.pop(key, None)
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
        if self._now() - self._failed_at < REMOVAL_DELAY_S:
            self._deleted.setdefault(key, self._now())
            return
        log_state_change("upstream.gone", key=key)
        self._delete(key)

    def _current(self) -> dict[str, Upstream]:
        if self._deleted and self._now() - self._failed_at >= REMOVAL_DELAY_S:
            for key in self._deleted:
                log_state_change("upstream.gone", key=key, after="outage of the store")
                self._delete(key)
            self._deleted.clear()
        return {
            item.upstream_id: self._view.apply_serving_rules(self._with_remaining_warmup(key, item))
            for key, item in self._entries.items()
        }

    def _delete(self, key: str) -> None:
        self._entries.pop(key, None)
        self._warmups_read.pop(key, None)

    def _with_remaining_warmup(self, key: str, upstream: Upstream) -> Upstream:
        """Return an upstream with the rest of its warm-up now, not when its entry was read."""
        read = self._warmups_read.get(key)
        if read is None:
            return upstream
        return replace(upstream, warmup_s=max(0.0, upstream.warmup_s - (self._now() - read[0])))
