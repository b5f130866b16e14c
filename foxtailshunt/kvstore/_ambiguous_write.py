"""Compare-and-swap that resolves a lost answer by reading back the writer's token."""

import random
import time
from collections.abc import Callable

from foxtailshunt.errors import StoreConflictError, StoreUnavailableError, StoreUnknownError
from foxtailshunt.kvstore._backoff import Backoff
from foxtailshunt.kvstore._interface import Platform
from foxtailshunt.timing import Clock

_FIRST_RETRY_S = 0.05
_RETRY_LIMIT_S = 0.5

#: Returns the writer's token that a stored value carries, or None.
TokenReader = Callable[[str], str | None]


def write_with_token(
    platform: Platform,
    key: str,
    value: str,
    revision: int,
    token_of: TokenReader,
    token: str,
    clock: Clock,
    give_up_s: float,
) -> int:
    """Write a value by compare-and-swap and learn for certain whether it took effect.

    After a lost answer the key is read back. If it carries the token, the write took effect; if it
    is still at the revision, the same compare-and-swap is sent again, of which at most one can take
    effect.

    :param platform: the platform.
    :param key: the key.
    :param value: the new value, which carries the token.
    :param revision: the revision that the caller read; 0 if the key must not exist.
    :param token_of: reads the token of a stored value.
    :param token: identifies this write.
    :param clock: the clock that ``give_up_s`` is counted on.
    :param give_up_s: seconds after which a write that is still unresolved is given up.
    :returns: the new revision.
    :raises StoreConflictError: the key is at another revision; nothing was written.
    :raises StoreUnavailableError: the first attempt was not taken; nothing was written.
    :raises StoreUnknownError: the write may have taken effect: the store stayed silent for
        ``give_up_s``, or another value followed after an answer was lost.
    """
    write = _AmbiguousWrite(platform, key, value, revision, token_of, token)
    try:
        return platform.compare_and_swap(key, value, revision)
    except StoreUnknownError:
        return write.resolve(clock, clock.now() + give_up_s)


class _AmbiguousWrite:
    """A compare-and-swap of which one attempt may have taken effect."""

    def __init__(
        self,
        platform: Platform,
        key: str,
        value: str,
        revision: int,
        token_of: TokenReader,
        token: str,
    ) -> None:
        self._platform = platform
        self._key = key
        self._value = value
        self._revision = revision
        self._token_of = token_of
        self._token = token

    def resolve(self, clock: Clock, give_up_at: float) -> int:
        """Read back and retry until the outcome is known or the time is over."""
        backoff = Backoff(_FIRST_RETRY_S, _RETRY_LIMIT_S, random.Random())
        while clock.now() < give_up_at:
            try:
                return self._read_back_or_retry()
            except (StoreUnavailableError, _UnresolvedError):
                time.sleep(backoff.next_delay_s())
        raise StoreUnknownError(f"the outcome of a write of {self._key} could not be learned")

    def _read_back_or_retry(self) -> int:
        found = self._read_back()
        if found is not None:
            return found
        try:
            return self._platform.compare_and_swap(self._key, self._value, self._revision)
        except StoreUnknownError:
            raise _UnresolvedError
        except StoreConflictError:
            return self._after_conflict()

    def _read_back(self) -> int | None:
        record = self._platform.read(self._key)
        if record is not None and self._token_of(record.value) == self._token:
            return record.revision
        if record is not None and record.revision != self._revision:
            raise StoreUnknownError(f"{self._key} was written by another after a lost answer")
        return None

    def _after_conflict(self) -> int:
        found = self._read_back()
        if found is None:
            raise _UnresolvedError
        return found


class _UnresolvedError(Exception):
    """One more attempt left the outcome open."""
