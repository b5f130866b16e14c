"""Tracks until when an upstream may hold keys by grants of the current term."""

import threading
from collections import defaultdict
from dataclasses import dataclass

from foxtailshunt.fleet import Address, KeyRange

_NEVER = float("-inf")
#: Service, first and last key of a grant.
_Keys = tuple[str, int, int]


@dataclass(frozen=True, slots=True, eq=False)
class PendingGrant:
    """A grant that is being sent; compared by identity."""

    #: Address of the run of the upstream that it is sent to.
    address: Address
    #: The keys that it grants.
    keys: KeyRange
    #: Latest expiry if it is accepted and its thread is not delayed, in seconds of the clock.
    expires_at: float


class GrantHold:
    """The grants of one upstream id in one term, for all of its runs; thread-safe.

    An upstream may restart under its id and accept grants before the leader reads the entry of the
    new run. The renewer of the new run therefore shares this record with its predecessor, whose
    last grant may still be on its way.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        #: Latest expiry of accepted grants by address and keys, in seconds of the clock.
        self._held_until: defaultdict[Address, dict[_Keys, float]] = defaultdict(dict)
        #: When a run at an address was found to have terminated, in seconds of the clock.
        self._terminated_at: dict[Address, float] = {}
        self._pending: list[PendingGrant] = []

    @property
    def until(self) -> float:
        """Return when the last grant expires at the latest; minus infinity if there is none."""
        with self._lock:
            pending = (item.expires_at for item in self._pending)
            held = (end for ends in self._held_until.values() for end in ends.values())
            return max([_NEVER, *held, *self._terminated_at.values(), *pending])

    def until_of(self, keys: KeyRange) -> float:
        """Return when the last grant of any of the keys expires at the latest, in seconds.

        :param keys: the keys; their owner and token have no effect.
        :returns: infinity while such a grant is being sent, since its thread may be delayed; minus
            infinity if there is none.
        """
        with self._lock:
            if any(_overlap(_keys_of(item.keys), keys) for item in self._pending):
                return float("inf")
            held = (
                end
                for ends in self._held_until.values()
                for granted, end in ends.items()
                if _overlap(granted, keys)
            )
            return max(held, default=_NEVER)

    def begin(
        self, address: Address, keys: KeyRange, now: float, expires_at: float
    ) -> PendingGrant:
        """Record a grant that is about to be sent.

        :param address: address that it is sent to.
        :param keys: the keys that it grants.
        :param now: the time, in seconds of the clock.
        :param expires_at: latest expiry if it is accepted, in seconds of the clock.
        """
        grant = PendingGrant(address, keys, expires_at)
        with self._lock:
            for ends in self._held_until.values():
                for granted in [granted for granted, end in ends.items() if end <= now]:
                    del ends[granted]
            self._terminated_at = {key: at for key, at in self._terminated_at.items() if at > now}
            self._pending.append(grant)
        return grant

    def end(self, grant: PendingGrant, expires_at: float) -> None:
        """Record the expiry of a grant that was sent, unless its upstream has terminated since.

        :param grant: the grant.
        :param expires_at: its latest expiry, in seconds of the clock; minus infinity if it cannot
            have arrived.
        """
        with self._lock:
            if grant in self._pending:
                self._pending.remove(grant)
                ends, granted = self._held_until[grant.address], _keys_of(grant.keys)
                ends[granted] = max(ends.get(granted, _NEVER), expires_at)

    def terminate(self, address: Address, now: float) -> None:
        """Record that the run at an address has terminated, and with it all grants sent there.

        :param address: the address.
        :param now: the time, in seconds of the clock.
        """
        with self._lock:
            self._pending = [item for item in self._pending if item.address != address]
            self._held_until.pop(address, None)
            self._terminated_at[address] = now


def _keys_of(keys: KeyRange) -> _Keys:
    return keys.service, keys.first, keys.last


def _overlap(granted: _Keys, keys: KeyRange) -> bool:
    service, first, last = granted
    return service == keys.service and first <= keys.last and keys.first <= last
