"""What the system needs of the platform, with no policy behind it."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol


@dataclass(frozen=True, slots=True)
class StoreRecord:
    """One value of the key-value service."""

    #: The key.
    key: str
    #: The value.
    value: str
    #: Changes with every write of the key; compare-and-swap names it.
    revision: int


class InstanceState(Enum):
    """What the platform's list says of an instance; it may lag."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class InstanceStatus:
    """One entry of the platform's list of instances."""

    #: Name of the instance; for an upstream its id in the configuration.
    name: str
    #: Its state as far as the list knows.
    state: InstanceState


class Platform(Protocol):
    """The platform's services.

    Every method may raise :class:`~foxtailshunt.errors.StoreUnavailableError`; a write that may
    have taken effect raises :class:`~foxtailshunt.errors.StoreUnknownError` instead.
    """

    def read(self, key: str) -> StoreRecord | None:
        """Return the record of a key, or None if there is none.

        :param key: the key.
        """
        ...

    def watch(self, key: str, revision: int, wait_s: float) -> StoreRecord | None:
        """Return the record once its revision differs from the one given, or after a wait.

        :param key: the key.
        :param revision: the revision known to the caller; 0 for none.
        :param wait_s: longest wait in seconds.
        """
        ...

    def compare_and_swap(self, key: str, value: str, revision: int) -> int:
        """Write a value if the key is still at a revision.

        :param key: the key.
        :param value: the new value.
        :param revision: the revision that the caller read; 0 if the key must not exist.
        :returns: the new revision.
        :raises StoreConflictError: the key is at another revision; nothing was written.
        """
        ...

    def open_lease(self, ttl_s: float) -> str:
        """Open a lease and return its id.

        :param ttl_s: time to live without renewal, in seconds.
        """
        ...

    def renew_lease(self, lease_id: str) -> bool:
        """Renew a lease; False if it has lapsed.

        :param lease_id: the lease.
        """
        ...

    def close_lease(self, lease_id: str) -> None:
        """End a lease and free the keys that it holds.

        :param lease_id: the lease.
        """
        ...

    def acquire(self, key: str, value: str, lease_id: str) -> bool:
        """Write a key and hold it under a lease; False if another lease holds it.

        :param key: the key.
        :param value: the value to write.
        :param lease_id: the lease.
        """
        ...

    def list_instances(self) -> tuple[InstanceStatus, ...]:
        """Return the platform's list of instances."""
        ...
