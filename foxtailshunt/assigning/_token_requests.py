"""Remembers which ranges must get a new fencing token before they are granted again."""

import threading
from collections.abc import Iterable

from foxtailshunt.fleet import KeyRange

_Token = tuple[str, str, int]


class TokenRequests:
    """Keys whose owner must not get its current fencing token again; thread-safe.

    A request stays until the keys have another token or another owner, whether writes of the table
    fail, the range is split, or it is moving at the time.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        #: First and last key of each request, by the service, the owner and its current token.
        self._requested: dict[_Token, set[tuple[int, int]]] = {}

    def add(self, keys: KeyRange) -> None:
        """Request a new token.

        :param keys: the keys, with their owner and its current token.
        """
        with self._lock:
            self._requested.setdefault(_token(keys), set()).add((keys.first, keys.last))

    def includes(self, keys: KeyRange) -> bool:
        """Return whether a new token has been requested for any of the keys.

        :param keys: the keys, with their owner and its current token.
        """
        with self._lock:
            requested = self._requested.get(_token(keys), ())
            return any(first <= keys.last and keys.first <= last for first, last in requested)

    def retain(self, ranges: Iterable[KeyRange]) -> None:
        """Drop the requests for tokens that are no longer in use.

        :param ranges: the ranges of the table.
        """
        in_use = {_token(item) for item in ranges}
        with self._lock:
            for token in self._requested.keys() - in_use:
                del self._requested[token]


def _token(keys: KeyRange) -> _Token:
    return keys.service, keys.owner, keys.fence
