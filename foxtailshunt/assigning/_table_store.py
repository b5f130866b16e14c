"""Reads and writes the ownership table in the store."""

from collections.abc import Callable, Iterable

from foxtailshunt.assigning._leadership import LEADER_KEY, Leadership
from foxtailshunt.assigning._previous_leaders import UNKNOWN_LEADER_GRANTS_S
from foxtailshunt.assigning._table_record import (
    TABLE_KEY,
    LeaderProcess,
    TableRecord,
    decode_table,
    encode_table,
)
from foxtailshunt.errors import DocumentError
from foxtailshunt.fleet import KeyRange, Member, era_of
from foxtailshunt.platform import (
    ConflictError,
    StoreClient,
    StoreEraChangedError,
    StoreError,
    StoreItem,
)
from foxtailshunt.telemetry import log_state_change

#: Timeout of a store call, in seconds; a slow store takes 0.4 s.
STORE_TIMEOUT_S = 0.8
#: Delay before a failed store call is retried, in seconds; store calls are billed.
STORE_RETRY_S = 0.7


class TableStore:
    """Writes the table only if this node still leads and no other process has changed it.

    :param store: the store.
    :param local_member: this node.
    :param term: this node's term.
    :param leadership: steps down if another node turns out to be leader.
    :param now: returns seconds of a clock that also advances during suspension.
    """

    def __init__(
        self,
        store: StoreClient,
        local_member: Member,
        term: int,
        leadership: Leadership,
        now: Callable[[], float],
    ) -> None:
        self._store = store
        self._local_member = local_member
        self._term = term
        self._leadership = leadership
        self._now = now
        #: Revision of the table in the store; None while it is not known.
        self._revision: int | None = None
        self._next_write_at = float("-inf")

    def read(self) -> TableRecord | None:
        """Read the table, empty if there is none yet; None if the store does not answer.

        :raises DocumentError: the table cannot be decoded.
        """
        try:
            item = self._read_item()
        except StoreError as exc:
            log_state_change("table.not_read", error=str(exc))
            return None
        return TableRecord(0, (), ()) if item is None else self._decode(item.value)

    def write(
        self, fence: int, ranges: Iterable[KeyRange], previous: Iterable[LeaderProcess]
    ) -> bool:
        """Write the table; return False unless it is known to be written.

        During an outage of the store no keys move, but grants are still renewed.

        :param fence: the highest fencing token ever written.
        :param ranges: the ranges of all keyed services.
        :param previous: previous leaders whose grants may still be in force.
        """
        if self._now() < self._next_write_at:
            return False
        own_process = LeaderProcess(
            self._local_member.instance_id, self._local_member.boot_id, UNKNOWN_LEADER_GRANTS_S
        )
        others = tuple(process for process in previous if process.boot_id != own_process.boot_id)
        document = encode_table(
            TableRecord(fence, tuple(ranges), (own_process, *others), era_of(self._term))
        )
        try:
            if self._revision is None:
                self._read_item()
            conditions = {LEADER_KEY: self._term, TABLE_KEY: self._revision or 0}
            self._revision = self._store.commit(
                conditions, [(TABLE_KEY, document, 0)], STORE_TIMEOUT_S
            )
            return True
        except StoreEraChangedError as exc:
            # The term has ended with its era, so it doesn't matter whether the write took effect.
            log_state_change("table.write_failed", error=str(exc))
            self._revision = None
            return False
        except ConflictError:
            log_state_change("table.conflict", term=self._term)
        except StoreError as exc:
            log_state_change("table.write_failed", error=str(exc))
            if not exc.may_have_run:
                self._next_write_at = self._now() + STORE_RETRY_S
                return False
        return self._is_written(document)

    def _read_item(self) -> StoreItem | None:
        item = self._store.read(TABLE_KEY, STORE_TIMEOUT_S)
        self._revision = item.revision if item is not None else 0
        return item

    def _decode(self, document: bytes) -> TableRecord:
        try:
            return decode_table(document)
        except DocumentError as exc:
            # No other program writes this key, and assigning the keys anew could give a key two
            # owners.
            log_state_change("table.unreadable", error=str(exc))
            raise

    def _is_written(self, document: bytes) -> bool:
        """Read the table to find out whether a write succeeded after all."""
        self._revision = None
        try:
            item = self._read_item()
            if item is not None and item.value == document:
                return True
            self._check_leadership()
        except StoreError as exc:
            log_state_change("table.not_read", error=str(exc))
            self._next_write_at = self._now() + STORE_RETRY_S
        return False

    def _check_leadership(self) -> None:
        leader = self._store.read(LEADER_KEY, STORE_TIMEOUT_S)
        if leader is None or leader.revision != self._term:
            self._leadership.step_down("another node holds the leader's key")
