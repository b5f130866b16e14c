"""Counts the bytes of all bodies of a node, and makes room by closing stalled transfers."""

import threading
import time
from collections.abc import Callable

from foxtailshunt.memory._limits import MemoryLimits
from foxtailshunt.memory._reservation import Reservation

#: Share of the limit that other bodies may take beside one that exceeds it: one divided by this.
_OTHERS_DIVISOR = 4
#: Bodies of up to a 512th of the limit may take another eighth, so that small requests are served
#: while large bodies take the rest.
_SMALL_DIVISOR, _SMALL_EXTRA_DIVISOR = 512, 8
#: How long to wait until a transfer that was closed has released its bytes, in seconds.
_EVICTION_WAIT_S = 0.25


class NoMemoryError(Exception):
    """The account has no room for more bytes."""


class MemoryAccount:
    """Counts the bytes of all bodies of a node; thread-safe.

    A single body may exceed the limit while the others take at most a quarter of it. If there is
    no room, transfers that have stalled are closed, the one that stalled first before the others.

    :param limits: limits of all bodies together and of a single one.
    :param on_event: called with ``refused`` or ``closed`` for each body that has found no room and
        each transfer that was closed; None for no call.
    """

    def __init__(
        self,
        limits: MemoryLimits | None = None,
        on_event: Callable[[str, int], None] | None = None,
    ) -> None:
        self._limits = limits or MemoryLimits()
        self._on_event = on_event
        self._changed = threading.Condition()
        self._held = 0
        #: The body that exceeds the limit.
        self._oversized: Reservation | None = None
        self._transfers: set[Reservation] = set()

    @property
    def reserved(self) -> int:
        """Return the size of all bodies, in bytes."""
        return self._held

    def open(self) -> Reservation:
        """Return a reservation without bytes."""
        return Reservation(self)

    def grow(self, item: Reservation, size: int, wait_until: float | None = None) -> None:
        """Count more bytes of a body; see :meth:`Reservation.grow`."""
        if size <= 0:
            return
        limit_s = wait_until
        while True:
            with self._changed:
                if self._has_room(item, size):
                    self._add(item, size)
                    return
                stalled = self._select_stalled(item, size)
            now = time.monotonic()
            for other in stalled:
                self._report("closed", other.held)
                other.evict()
            if stalled:
                limit_s = max(limit_s or 0.0, now + _EVICTION_WAIT_S)
            if limit_s is None or now >= limit_s:
                self._report("refused", size)
                raise NoMemoryError(f"bodies of {self._held} bytes are in progress")
            with self._changed:
                if not self._has_room(item, size):
                    self._changed.wait(min(_EVICTION_WAIT_S, limit_s - now))

    def shrink(self, item: Reservation, size: int) -> None:
        """Stop counting bytes of a body.

        :param item: the body.
        :param size: the number of bytes; no more than are counted are taken off.
        """
        if size <= 0:
            return
        with self._changed:
            size = min(size, item.held)
            item.held -= size
            self._held -= size
            if item is self._oversized and (not item.held or self._held <= self._limits.total):
                self._oversized = None
            self._changed.notify_all()

    def add_transfer(self, item: Reservation) -> None:
        """Let a transfer be closed if it stalls.

        :param item: the body that is transferred.
        """
        with self._changed:
            self._transfers.add(item)

    def remove_transfer(self, item: Reservation) -> None:
        """Let a transfer not be closed any more.

        :param item: the body that was transferred.
        """
        with self._changed:
            self._transfers.discard(item)

    def _add(self, item: Reservation, size: int) -> None:
        item.held += size
        self._held += size
        exceeds_limit = self._held > self._limits.total and not self._is_small(item, 0)
        if exceeds_limit and self._oversized is None:
            self._oversized = item

    def _has_room(self, item: Reservation, size: int) -> bool:
        limits = self._limits
        extra = limits.total // _SMALL_EXTRA_DIVISOR if self._is_small(item, size) else 0
        if self._oversized is None and self._held + size <= limits.total + extra:
            return True
        others_limit = limits.total // _OTHERS_DIVISOR + extra
        oversized = self._oversized
        if oversized is not None and oversized is not item:
            return self._held - oversized.held + size <= others_limit
        if limits.single is not None and item.held + size > limits.single:
            return False
        return oversized is item or self._held - item.held <= others_limit

    def _is_small(self, item: Reservation, size: int) -> bool:
        return item.held + size <= self._limits.total // _SMALL_DIVISOR

    def _select_stalled(self, item: Reservation, size: int) -> list[Reservation]:
        """Return the transfers to close, and no longer select them; the caller has the lock."""
        now = time.monotonic()
        stalled = [
            (other.stalls_at, other.held, other)
            for other in self._transfers
            if other is not item
            and other.held > 0
            and other.stalls_at is not None
            and other.stalls_at < now
        ]
        stalled.sort(key=lambda row: (row[0], -row[1]))
        selected: list[Reservation] = []
        freed = 0
        for _, held, other in stalled:
            selected.append(other)
            self._transfers.discard(other)
            freed += held
            if freed >= size:
                break
        return selected

    def _report(self, event: str, size: int) -> None:
        if self._on_event is not None:
            self._on_event(event, size)
