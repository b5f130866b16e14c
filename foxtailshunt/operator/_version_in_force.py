"""Reads the configuration in force from the store or from a node; changes nothing."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from foxtailshunt.checks import Description
from foxtailshunt.errors import DocumentError, FoxtailshuntError, ResultCode
from foxtailshunt.network import Address, format_address
from foxtailshunt.operator._document_formats import DocumentFormat
from foxtailshunt.operator._dump_client import DumpClient, DumpError
from foxtailshunt.platform import StoreError, StoreItem

#: Timeout of the read, in seconds; a slow store takes 0.4 s to respond.
READ_TIMEOUT_S = 2.0


class ReadableStore(Protocol):
    """The part of the store client that reads a key."""

    @property
    def era(self) -> int:
        """Return the highest era of the store that is known."""
        ...

    def read(self, key: str, timeout_s: float) -> StoreItem | None:
        """Return the item of a key, or None if the key does not exist."""
        ...


@dataclass(frozen=True, slots=True)
class VersionInForce:
    """The configuration in force."""

    #: Era of the store that it states, and number of the version.
    order: tuple[int, int]
    #: Where it was read: ``store``, or the operator address of a node.
    source: str
    #: The configuration.
    description: Description

    @property
    def version(self) -> int:
        """Return the number of the version."""
        return self.order[1]


class VersionReader:
    """Reads the version in force from the store, or from a node if the store does not respond.

    A store that has returned from an older copy may hold an older version than the nodes, so both
    are read then, and the later version is the one in force.

    :param store: the store; None if its address is not known.
    :param client: client for the nodes.
    :param nodes: operator addresses of nodes, in the order in which they are tried.
    """

    def __init__(
        self, store: ReadableStore | None, client: DumpClient, nodes: Sequence[Address]
    ) -> None:
        self._store = store
        self._client = client
        self._nodes = nodes

    def read(self, document_format: DocumentFormat) -> VersionInForce | None:
        """Return the version in force; None if there is none yet.

        :param document_format: format of the document.
        :raises FoxtailshuntError: it cannot be read, or is malformed or of another format.
        """
        found = [
            _describe(source, value, document_format)
            for source, value in self._read_values(document_format)
            if value
        ]
        return max(found, key=lambda item: item.order, default=None)

    def _read_values(self, document_format: DocumentFormat) -> list[tuple[str, bytes]]:
        found: list[tuple[str, bytes]] = []
        failures: list[str] = []
        code = ResultCode.NODE_UNREACHABLE
        if self._store is not None:
            try:
                item = self._store.read(document_format.store_key, READ_TIMEOUT_S)
                found.append(("store", item.value if item is not None else b""))
                if self._store.era == 0:
                    return found
            except StoreError as exc:
                code = ResultCode.STORE_UNAVAILABLE
                failures.append(exc.message)
        for address in self._nodes:
            try:
                found.append((format_address(address), self._client.read_configuration(address)))
                break
            except DumpError as exc:
                failures.append(exc.message)
        if not found:
            raise FoxtailshuntError(code, "; ".join(failures))
        return found


def _describe(source: str, value: bytes, document_format: DocumentFormat) -> VersionInForce:
    try:
        order, description = document_format.describe_stored(value)
    except DocumentError as exc:
        raise FoxtailshuntError(exc.code, f"the version in force at {source}: {exc.message}")
    return VersionInForce(order, source, description)
