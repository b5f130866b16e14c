"""The bytes that one request or response holds, and the progress of its transfer."""

import time
from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from foxtailshunt.memory._account import MemoryAccount

#: Rate below which a transfer counts as stalled, in bytes per second. The slowest link of a
#: deployment, 5 Mbit/s, carries forty transfers at this rate.
MIN_BYTES_PER_S = 16_384
#: How long a transfer may pause before it counts as stalled, in seconds.
STALL_ALLOWANCE_S = 2.0


class Reservation:
    """Counts the bytes of one body.

    One thread at a time grows it and transfers the body; any thread may release it.

    :param account: counts the bytes of all bodies.
    """

    def __init__(self, account: "MemoryAccount") -> None:
        self._account = account
        #: Counted bytes; written by the account only.
        self.held = 0
        #: When the transfer in progress counts as stalled, in seconds of the monotonic clock; None
        #: if there is none.
        self.stalls_at: float | None = None
        #: True after the account has closed the connection of the transfer.
        self.is_evicted = False
        self._close: Callable[[], None] | None = None

    def grow(self, size: int, wait_until: float | None = None) -> None:
        """Count more bytes, before they are read.

        :param size: the number of bytes.
        :param wait_until: until when to wait for room, in seconds of the monotonic clock; None to
            wait only for transfers that are closed to make room.
        :raises NoMemoryError: there is no room for them; nothing was counted.
        """
        self._account.grow(self, size, wait_until)

    def shrink(self, size: int) -> None:
        """Stop counting some of the bytes.

        :param size: the number of bytes.
        """
        self._account.shrink(self, size)

    def release(self) -> None:
        """Stop counting all of the bytes."""
        self.end_transfer()
        self._account.shrink(self, self.held)

    def begin_transfer(self, close: Callable[[], None]) -> None:
        """Let the account close the connection if the transfer stalls and memory is short.

        :param close: shuts the connection down; called from another thread.
        """
        self._close = close
        self.stalls_at = time.monotonic() + STALL_ALLOWANCE_S
        self._account.add_transfer(self)

    def record_progress(self, size: int) -> None:
        """Record that bytes of the transfer have been sent or received.

        :param size: the number of bytes.
        """
        stalls_at = self.stalls_at
        if stalls_at is not None:
            now = time.monotonic()
            earned = max(stalls_at, now) + size / MIN_BYTES_PER_S
            self.stalls_at = min(now + STALL_ALLOWANCE_S, earned)

    def end_transfer(self) -> None:
        """End the transfer; its connection is not closed any more."""
        if self._close is not None:
            self._account.remove_transfer(self)
            self.stalls_at = self._close = None

    def evict(self) -> None:
        """Close the connection of the transfer; called by the account."""
        close = self._close
        self.is_evicted = True
        if close is not None:
            close()
