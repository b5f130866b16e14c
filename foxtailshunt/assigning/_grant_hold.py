"""Tracks until when an upstream may hold keys by grants of the current term."""

import threading
from dataclasses import dataclass

from foxtailshunt.fleet import Address


@dataclass(frozen=True, slots=True, eq=False)
class PendingGrant:
    """A grant that is being sent; compared by identity."""

    #: Address of the run of the upstream that it is sent to.
    address: Address
    #: Latest expiry if it is accepted, in seconds of the clock.
    expires_at: float


class GrantHold:
    """The grants of one upstream id in one term, for all of its runs; thread-safe.

    An upstream may restart under its id and accept grants before the leader reads the entry of the
    new run. The renewer of the new run therefore shares this record with its predecessor, whose
    last grant may still be on its way.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        #: Latest expiry of accepted grants by address, in seconds of the clock.
        self._held_until: dict[Address, float] = {}
        self._pending: list[PendingGrant] = []

    @property
    def until(self) -> float:
        """Return when the last grant expires at the latest; minus infinity if there is none."""
        with self._lock:
            pending = (item.expires_at for item in self._pending)
            return max([float("-inf"), *self._held_until.values(), *pending])

    def begin(self, address: Address, now: float, expires_at: float) -> PendingGrant:
        """Record a grant that is about to be sent.

        :param address: address that it is sent to.
        :param now: the time, in seconds of the clock.
        :param expires_at: latest expiry if it is accepted, in seconds of the clock.
        """
        grant = PendingGrant(address, expires_at)
        with self._lock:
            self._held_until = {key: end for key, end in self._held_until.items() if end > now}
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
                held_until = self._held_until.get(grant.address, float("-inf"))
                self._held_until[grant.address] = max(held_until, expires_at)

    def terminate(self, address: Address, now: float) -> None:
        """Record that the run at an address has terminated, and with it all grants sent there.

        :param address: the address.
        :param now: the time, in seconds of the clock.
        """
        with self._lock:
            self._pending = [item for item in self._pending if item.address != address]
            self._held_until[address] = now
