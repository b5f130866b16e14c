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
    """The store client method that reads a key."""

    def read(self, key: str, timeout_s: float) -> StoreItem | None:
        """Return the item of a key, or None if the key does not exist."""
        ...


@dataclass(frozen=True, slots=True)
class VersionInForce:
    """The configuration in force."""

    #: Number of the version.
    version: int
    #: Where it was read: ``store``, or the operator address of a node.
    source: str
    #: The configuration.
    description: Description


class VersionReader:
    """Reads the version in force from the store, or from a node if the store does not respond.

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
        source, value = self._read_value(document_format)
        if not value:
            return None
        try:
            version, description = document_format.describe_stored(value)
        except DocumentError as exc:
            raise FoxtailshuntError(exc.code, f"the version in force at {source}: {exc.message}")
        return VersionInForce(version, source, description)

    def _read_value(self, document_format: DocumentFormat) -> tuple[str, bytes | None]:
        failures: list[str] = []
        code = ResultCode.NODE_UNREACHABLE
        if self._store is not None:
            try:
                item = self._store.read(document_format.store_key, READ_TIMEOUT_S)
                return "store", item.value if item is not None else None
            except StoreError as exc:
                code = ResultCode.STORE_UNAVAILABLE
                failures.append(exc.message)
        for address in self._nodes:
            try:
                return format_address(address), self._client.read_configuration(address)
            except DumpError as exc:
                failures.append(exc.message)
        raise FoxtailshuntError(code, "; ".join(failures))
