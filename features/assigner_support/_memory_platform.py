"""An in-memory platform with the faults that the assigner must survive."""

import itertools
import threading
import time
from collections.abc import Callable

from foxtailshunt.errors import StoreConflictError, StoreUnavailableError, StoreUnknownError
from foxtailshunt.kvstore import InstanceState, InstanceStatus, StoreRecord
from foxtailshunt.timing import Clock


class MemoryPlatform:
    """Implements :class:`~foxtailshunt.kvstore.Platform`."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._changed = threading.Condition()
        self._numbers = itertools.count(1)
        self._records: dict[str, StoreRecord] = {}
        self._holders: dict[str, str] = {}
        self._leases: dict[str, tuple[float, float]] = {}
        self.is_down = False
        self.answers_to_lose = 0
        self.leaving: tuple[str, ...] = ()
        #: Called once before the next compare-and-swap takes effect.
        self.before_next_cas: Callable[[], None] | None = None
        #: Called with the key before each compare-and-swap.
        self.before_cas: Callable[[str], None] | None = None
        #: Called with key and value after each write, in the order of the writes.
        self.after_write: Callable[[str, str], None] | None = None
        self.cas_count = 0

    def read(self, key: str) -> StoreRecord | None:
        with self._changed:
            self._check()
            return self._records.get(key)

    def watch(self, key: str, revision: int, wait_s: float) -> StoreRecord | None:
        deadline = time.monotonic() + wait_s
        with self._changed:
            while time.monotonic() < deadline:
                self._check()
                record = self._records.get(key)
                if record is not None and record.revision != revision:
                    break
                self._changed.wait(0.02)
            return self._records.get(key)

    def compare_and_swap(self, key: str, value: str, revision: int) -> int:
        hook, self.before_next_cas = self.before_next_cas, None
        if hook is not None:
            hook()
        if self.before_cas is not None:
            self.before_cas(key)
        with self._changed:
            self._check()
            self.cas_count += 1
            known = self._records.get(key)
            if (known.revision if known else 0) != revision:
                raise StoreConflictError(key)
            written = self._put(key, value)
            if self.answers_to_lose > 0:
                self.answers_to_lose -= 1
                raise StoreUnknownError("the answer was lost")
            return written

    def open_lease(self, ttl_s: float) -> str:
        with self._changed:
            self._check()
            lease_id = f"lease-{next(self._numbers)}"
            self._leases[lease_id] = (ttl_s, self._clock.now() + ttl_s)
            return lease_id

    def renew_lease(self, lease_id: str) -> bool:
        with self._changed:
            self._check()
            if lease_id not in self._leases:
                return False
            ttl_s, _ = self._leases[lease_id]
            self._leases[lease_id] = (ttl_s, self._clock.now() + ttl_s)
            return True

    def close_lease(self, lease_id: str) -> None:
        with self._changed:
            self._check()
            self._end(lease_id)

    def acquire(self, key: str, value: str, lease_id: str) -> bool:
        with self._changed:
            self._check()
            if lease_id not in self._leases or self._holders.get(key, lease_id) != lease_id:
                return False
            self._put(key, value)
            self._holders[key] = lease_id
            return True

    def list_instances(self) -> tuple[InstanceStatus, ...]:
        with self._changed:
            self._check()
            return tuple(InstanceStatus(name, InstanceState.LEAVING) for name in self.leaving)

    def end_all_leases(self) -> None:
        """End every lease, as if each had run out while its holder was paused."""
        with self._changed:
            for lease_id in list(self._leases):
                self._end(lease_id)

    def _check(self) -> None:
        if self.is_down:
            raise StoreUnavailableError("the store is down")
        now = self._clock.now()
        for lease_id, (_, lapses_at) in list(self._leases.items()):
            if lapses_at <= now:
                self._end(lease_id)

    def _put(self, key: str, value: str) -> int:
        revision = next(self._numbers)
        self._records[key] = StoreRecord(key, value, revision)
        if self.after_write is not None:
            self.after_write(key, value)
        self._changed.notify_all()
        return revision

    def _end(self, lease_id: str) -> None:
        self._leases.pop(lease_id, None)
        for key, holder in list(self._holders.items()):
            if holder == lease_id:
                del self._holders[key]
                self._put(key, self._records[key].value)
