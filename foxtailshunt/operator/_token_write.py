"""A conditional write that resolves a lost answer by reading back the writer's token."""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from foxtailshunt.errors import StoreConflictError, StoreUnknownError
from foxtailshunt.platform import ConflictError, StoreError, StoreItem
from foxtailshunt.timing import Clock

#: First and longest pause between two tries, in seconds.
FIRST_RETRY_S, LONGEST_RETRY_S = 0.05, 0.5

#: Returns the writer's token that a stored value carries, or None.
TokenReader = Callable[[bytes], str | None]


class Store(Protocol):
    """The calls of the store's client that a write needs."""

    def read(self, key: str, timeout_s: float) -> StoreItem | None:
        """Return an item, or None if there is none."""
        ...

    def commit(
        self, conditions: dict[str, int], puts: list[tuple[str, bytes, int]], timeout_s: float
    ) -> int:
        """Change keys if conditions hold, and return the revision."""
        ...


@dataclass(frozen=True, slots=True)
class ConditionalWrite:
    """A value and the condition that it is written on."""

    #: The key.
    key: str
    #: The new value, which carries the token.
    value: bytes
    #: Revision that the key must have; 0 if it must not exist.
    revision: int
    #: Identifies this write.
    token: str
    #: Reads the token of a stored value.
    token_of: TokenReader


class ConditionalWriter:
    """Writes values and learns for certain whether they took effect.

    After a lost answer the key is read back. If it carries the token, the write took effect; if it
    is still at the revision, the same write is sent again, of which at most one can take effect.

    :param store: the store.
    :param clock: counts the time after which an unresolved write is given up.
    :param timeout_s: longest wait for one answer, in seconds.
    :param give_up_s: time after which a write that is still unresolved is given up, in seconds.
    """

    def __init__(self, store: Store, clock: Clock, timeout_s: float, give_up_s: float) -> None:
        self._store = store
        self._clock = clock
        self._timeout_s = timeout_s
        self._give_up_s = give_up_s

    def write(self, write: ConditionalWrite) -> int:
        """Write a value.

        :param write: the value and its condition.
        :returns: the new revision.
        :raises StoreConflictError: the key is at another revision; nothing was written.
        :raises StoreError: the first try was not taken; nothing was written.
        :raises StoreUnknownError: the write may have taken effect: the store stayed silent, or
            another value followed after an answer was lost.
        """
        try:
            return self._commit(write)
        except ConflictError:
            raise StoreConflictError(f"{write.key} was written by another; nothing was changed")
        except StoreError as exc:
            if not exc.may_have_run:
                raise
            return self._resolve(write, self._clock.now() + self._give_up_s)

    def _commit(self, write: ConditionalWrite) -> int:
        puts = [(write.key, write.value, 0)]
        return self._store.commit({write.key: write.revision}, puts, self._timeout_s)

    def _resolve(self, write: ConditionalWrite, give_up_at: float) -> int:
        pause_s = FIRST_RETRY_S
        while self._clock.now() < give_up_at:
            try:
                found = self._read_back(write)
                return self._commit(write) if found is None else found
            except StoreError:
                # Also a conflict: the next reading tells whose value stands there.
                time.sleep(pause_s * random.uniform(0.5, 1.0))
                pause_s = min(LONGEST_RETRY_S, pause_s * 2)
        raise StoreUnknownError(f"the outcome of a write of {write.key} could not be learned")

    def _read_back(self, write: ConditionalWrite) -> int | None:
        item = self._store.read(write.key, self._timeout_s)
        if item is not None and write.token_of(item.value) == write.token:
            return item.revision
        if (item.revision if item else 0) != write.revision:
            raise StoreUnknownError(f"{write.key} was written by another after a lost answer")
        return None
