"""In-memory key-value store with revisions, leases and a change history."""

import threading
import time
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StoredItem:
    """A key with its value and revisions."""

    #: Key.
    key: str
    #: Value.
    value: bytes
    #: Revision of the last change.
    revision: int
    #: Revision of the creation.
    created: int
    #: Lease that the key is removed with; 0 for none.
    lease: int


@dataclass(frozen=True, slots=True)
class StoredChange:
    """A change of a key."""

    #: Revision of the change.
    revision: int
    #: Key.
    key: str
    #: The item that was written; None if the key was removed.
    item: StoredItem | None


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """The complete state of a store at one moment."""

    #: Items by key.
    items: dict[str, StoredItem]
    #: Changes that are kept.
    history: list[StoredChange]
    #: Revision up to which changes were discarded.
    compacted_revision: int
    #: Revision of the last change.
    revision: int
    #: Time to live and remaining time of each lease, in seconds.
    leases: dict[int, tuple[float, float]]
    #: Id of the last lease.
    last_lease: int


class ConditionFailedError(Exception):
    """A condition of a transaction does not hold."""


class UnknownLeaseError(Exception):
    """A lease does not exist or has expired."""


class CompactedError(Exception):
    """The requested part of the history was compacted."""


class MetadataStore:
    """State of the store; safe to use from several threads."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._items: dict[str, StoredItem] = {}
        self._history: list[StoredChange] = []
        self._compacted_revision = 0
        self._revision = 1
        self._leases: dict[int, tuple[float, float]] = {}
        self._next_lease = 1000
        #: Increases by one each time that the store returns from a copy.
        self.era = 0
        threading.Thread(target=self._expire_leases, name="leases", daemon=True).start()

    @property
    def revision(self) -> int:
        """Return the revision of the last change."""
        return self._revision

    @property
    def lock(self) -> threading.Condition:
        """Return the reentrant lock under which the state and the era change."""
        return self._changed

    def take_copy(self) -> StoreCopy:
        """Return a copy from which the store can return later."""
        with self._changed:
            now = time.monotonic()
            leases = {key: (ttl_s, end - now) for key, (ttl_s, end) in self._leases.items()}
            return StoreCopy(
                dict(self._items),
                list(self._history),
                self._compacted_revision,
                self._revision,
                leases,
                self._next_lease,
            )

    def return_from(self, copy: StoreCopy) -> None:
        """Lose all changes since a copy was taken; revisions and leases are reused.

        :param copy: the copy.
        """
        with self._changed:
            now = time.monotonic()
            self._items, self._history = dict(copy.items), list(copy.history)
            self._compacted_revision = copy.compacted_revision
            self._revision, self._next_lease = copy.revision, copy.last_lease
            self._leases = {key: (ttl, now + left) for key, (ttl, left) in copy.leases.items()}
            self.era += 1
            self._changed.notify_all()

    def read(self, key: str) -> StoredItem | None:
        """Return the item of a key, or None."""
        with self._changed:
            return self._items.get(key)

    def under(self, prefix: str) -> list[StoredItem]:
        """Return the items whose keys have a prefix, ordered by key."""
        with self._changed:
            return [self._items[key] for key in sorted(self._items) if key.startswith(prefix)]

    def put(self, key: str, value: bytes) -> None:
        """Write a key without a condition, as operators and upstreams do."""
        self.commit({}, [(key, value, 0)], [])

    def remove(self, key: str) -> None:
        """Remove a key."""
        self.commit({}, [], [key])

    def commit(
        self, conditions: dict[str, int], puts: list[tuple[str, bytes, int]], removes: list[str]
    ) -> int:
        """Apply a transaction if its conditions hold, and return the revision.

        :raises ConditionFailedError: a condition does not hold.
        :raises UnknownLeaseError: a lease does not exist or has expired.
        """
        with self._changed:
            for key, revision in conditions.items():
                item = self._items.get(key)
                if (item.revision if item else 0) != revision:
                    raise ConditionFailedError(key)
            if any(lease and lease not in self._leases for _, _, lease in puts):
                raise UnknownLeaseError
            self._revision += 1
            for key, value, lease in puts:
                old = self._items.get(key)
                created = old.created if old else self._revision
                self._items[key] = StoredItem(key, value, self._revision, created, lease)
                self._history.append(StoredChange(self._revision, key, self._items[key]))
            for key in removes:
                if self._items.pop(key, None) is not None:
                    self._history.append(StoredChange(self._revision, key, None))
            self._changed.notify_all()
            return self._revision

    def watch(self, prefix: str, after: int, wait_s: float) -> tuple[list[StoredChange], int]:
        """Return the changes of keys with a prefix after a revision, and the current revision.

        Waits up to ``wait_s`` seconds for the first change.

        :raises CompactedError: changes after the revision were compacted, or the store doesn't have
            the revision.
        """

        def found() -> list[StoredChange]:
            if after < self._compacted_revision or after > self._revision:
                raise CompactedError
            return [c for c in self._history if c.revision > after and c.key.startswith(prefix)]

        with self._changed:
            self._changed.wait_for(found, wait_s)
            return found(), self._revision

    def compact(self) -> None:
        """Discard the history of all changes so far."""
        with self._changed:
            self._compacted_revision = self._revision
            self._history.clear()
            self._changed.notify_all()

    def open_lease(self, ttl_s: float) -> int:
        """Create a lease and return its id."""
        with self._changed:
            self._next_lease += 1
            self._leases[self._next_lease] = (ttl_s, time.monotonic() + ttl_s)
            return self._next_lease

    def renew_lease(self, lease: int) -> float:
        """Renew a lease and return its time to live in seconds.

        :raises UnknownLeaseError: the lease does not exist or has expired.
        """
        with self._changed:
            if lease not in self._leases:
                raise UnknownLeaseError
            ttl_s, _ = self._leases[lease]
            self._leases[lease] = (ttl_s, time.monotonic() + ttl_s)
            return ttl_s

    def end_lease(self, lease: int) -> None:
        """End a lease and remove the keys attached to it."""
        with self._changed:
            if self._leases.pop(lease, None) is None:
                return
            keys = [item.key for item in self._items.values() if item.lease == lease]
            if keys:
                self.commit({}, [], keys)

    def _expire_leases(self) -> None:
        while True:
            time.sleep(0.05)
            now = time.monotonic()
            for lease, (_, end) in list(self._leases.items()):
                if now > end:
                    self.end_lease(lease)
