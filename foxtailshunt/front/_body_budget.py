"""Limits the memory that the bodies of callers' requests take."""

import threading

#: Maximum size of all bodies that are being received or served, in bytes. A body exists twice while
#: it is sent on, and an instance may have 200 MB, of which a node without requests takes 45.
MAX_BODY_BYTES_IN_PROGRESS = 24 * 1024 * 1024


class BodyBudgetError(Exception):
    """The bodies in progress leave no room for more bytes."""


class BodyBudget:
    """Counts the bytes of all bodies in progress; thread-safe.

    :param limit: maximum size of all bodies together, in bytes; a single one may exceed it.
    """

    def __init__(self, limit: int = MAX_BODY_BYTES_IN_PROGRESS) -> None:
        self._limit = limit
        self._lock = threading.Lock()
        self._reserved = 0

    @property
    def reserved(self) -> int:
        """Return the size of all bodies in progress, in bytes."""
        return self._reserved

    def reserve(self, size: int, held: int) -> None:
        """Count more bytes of a body.

        :param size: the number of bytes.
        :param held: how many bytes of this body are counted already.
        :raises BodyBudgetError: there is no room for them; nothing was counted.
        """
        with self._lock:
            is_only_body = self._reserved == held
            if self._reserved + size > self._limit and not is_only_body:
                raise BodyBudgetError(f"bodies of {self._reserved} bytes are in progress")
            self._reserved += size

    def release(self, size: int) -> None:
        """Stop counting bytes.

        :param size: the number of bytes.
        """
        with self._lock:
            self._reserved -= size


class BodyReservation:
    """The bytes of one body, counted from the first one received until the request has ended.

    :param budget: counts the bytes of all bodies.
    """

    def __init__(self, budget: BodyBudget) -> None:
        self._budget = budget
        self._size = 0

    def grow(self, size: int) -> None:
        """Count more bytes.

        :param size: the number of bytes.
        :raises BodyBudgetError: there is no room for them.
        """
        self._budget.reserve(size, self._size)
        self._size += size

    def release(self) -> None:
        """Stop counting the bytes."""
        self._budget.release(self._size)
        self._size = 0
