"""Conditional store writes that resolve a lost response by reading back the writer's token."""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from foxtailshunt.errors import StoreConflictError, StoreUnknownError
from foxtailshunt.platform import ConflictError, StoreError, StoreItem
from foxtailshunt.timing import Clock

#: Initial and maximum backoff between two attempts, in seconds.
INITIAL_BACKOFF_S, MAX_BACKOFF_S = 0.05, 0.5

#: Returns the token of the writer from a stored value, or None if the value has none.
TokenReader = Callable[[bytes], str | None]


class Store(Protocol):
    """The part of the store client that a conditional write needs."""

    @property
    def era(self) -> int:
        """Return the highest era of the store that is known."""
        ...

    def read(self, key: str, timeout_s: float) -> StoreItem | None:
        """Return the item of a key, or None if the key does not exist."""
        ...

    def commit(
        self, conditions: dict[str, int], puts: list[tuple[str, bytes, int]], timeout_s: float
    ) -> int:
        """Write keys in one transaction if all conditions hold, and return the new revision."""
        ...


@dataclass(frozen=True, slots=True)
class ConditionalWrite:
    """A value to write, and the condition for writing it."""

    #: Key to write.
    key: str
    #: New value, which contains the token.
    value: bytes
    #: Revision that the key must have; 0 if the key must not exist.
    revision: int
    #: Identifies this write.
    token: str
    #: Extracts the token from a stored value.
    read_token: TokenReader


class ConditionalWriter:
    """Writes values and determines whether each write took effect.

    After a lost response the key is read back. If the value contains the token, the write took
    effect. If the key still has the expected revision, the same write is sent again; the condition
    ensures that at most one of the attempts takes effect.

    :param store: store to write to.
    :param clock: clock for the resolution timeout.
    :param timeout_s: timeout of one store call, in seconds.
    :param resolve_timeout_s: time after which an unresolved write is abandoned, in seconds.
    """

    def __init__(
        self, store: Store, clock: Clock, timeout_s: float, resolve_timeout_s: float
    ) -> None:
        self._store = store
        self._clock = clock
        self._timeout_s = timeout_s
        self._resolve_timeout_s = resolve_timeout_s

    def write(self, write: ConditionalWrite) -> int:
        """Write a value.

        :param write: value to write and its condition.
        :returns: the new revision of the key.
        :raises StoreConflictError: the key has another revision; nothing was written.
        :raises StoreError: the first attempt was not executed; nothing was written.
        :raises StoreUnknownError: the write may have taken effect: the store did not respond in
            time, or another writer replaced the value after a response was lost.
        """
        try:
            return self._commit(write)
        except ConflictError:
            raise StoreConflictError(
                f"{write.key} was changed by another writer; nothing was changed"
            )
        except StoreError as exc:
            if not exc.may_have_run:
                raise
            return self._resolve(write, self._clock.now() + self._resolve_timeout_s)

    def _commit(self, write: ConditionalWrite) -> int:
        puts = [(write.key, write.value, 0)]
        return self._store.commit({write.key: write.revision}, puts, self._timeout_s)

    def _resolve(self, write: ConditionalWrite, deadline: float) -> int:
        backoff_s = INITIAL_BACKOFF_S
        while self._clock.now() < deadline:
            try:
                revision = self._read_back(write)
                return self._commit(write) if revision is None else revision
            except StoreError:
                # This includes conflicts: the next read shows which writer's value is stored.
                time.sleep(backoff_s * random.uniform(0.5, 1.0))
                backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)
        raise StoreUnknownError(f"it is not known whether the write of {write.key} took effect")

    def _read_back(self, write: ConditionalWrite) -> int | None:
        item = self._store.read(write.key, self._timeout_s)
        if item is not None and write.read_token(item.value) == write.token:
            return item.revision
        if (item.revision if item else 0) != write.revision:
            raise StoreUnknownError(
                f"{write.key} was changed by another writer after a response was lost"
            )
        return None
