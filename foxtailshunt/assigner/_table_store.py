"""The record of a zone's table in the platform's store."""

import uuid
from collections.abc import Callable
from dataclasses import replace

from foxtailshunt.errors import DocumentError
from foxtailshunt.kvstore import Platform, write_with_token
from foxtailshunt.ownership import ZERO_FENCE, Fence, Table, table_from_json, table_to_json
from foxtailshunt.timing import Clock

#: The one cell of a zone.
CELL = "0"

_RESOLVE_TIMEOUT_S = 0.5


def table_key(zone: str) -> str:
    """Return the store's key of a zone's table.

    :param zone: the availability zone.
    """
    return f"foxtailshunt/zones/{zone}/cells/{CELL}/table"


def lease_key(zone: str) -> str:
    """Return the store's key that the active assigner of a zone holds.

    :param zone: the availability zone.
    """
    return f"foxtailshunt/zones/{zone}/cells/{CELL}/assigner"


class TableStore:
    """Reads and writes one zone's table for one active assigner; used by one thread.

    :param platform: the platform.
    :param zone: the availability zone.
    :param check_lease: called before each write; raises if the lease is not surely held.
    :param clock: the clock.
    """

    def __init__(
        self, platform: Platform, zone: str, check_lease: Callable[[], None], clock: Clock
    ) -> None:
        self._platform = platform
        self._zone = zone
        self._check_lease = check_lease
        self._clock = clock
        self._revision = 0

    def take_over(self, known: Table | None) -> Table:
        """Read the table and write it again under the next term.

        From then on no write of an earlier active assigner succeeds.

        :param known: the newest table that reached this process; it counts if the store's is older.
        :returns: the table written.
        :raises DocumentError: the record is malformed.
        """
        record = self._platform.read(table_key(self._zone))
        if record is None:
            table = Table(self._zone, CELL, ZERO_FENCE, "", 0, (), (), {}, ())
            self._revision = 0
        else:
            table = table_from_json(record.value)
            self._revision = record.revision
        if known is not None and known.fence > table.fence:
            table = known
        fence = Fence(table.fence.term + 1, table.fence.version + 1)
        return self.write(replace(table, fence=fence))

    def write(self, table: Table) -> Table:
        """Write the next table and return it with its writer token.

        :param table: the table, with its new fence.
        :raises StoreConflictError: another assigner has written; nothing was written.
        :raises StoreUnavailableError: nothing was written.
        :raises StoreUnknownError: it may have been written.
        """
        token = uuid.uuid4().hex
        written = replace(table, writer_token=token)
        document = table_to_json(written)
        self._check_lease()
        self._revision = write_with_token(
            self._platform,
            table_key(self._zone),
            document,
            self._revision,
            _token_of,
            token,
            self._clock,
            _RESOLVE_TIMEOUT_S,
        )
        return written


def _token_of(value: str) -> str | None:
    try:
        return table_from_json(value).writer_token
    except DocumentError:
        return None
