"""Reads and writes the ownership table in the store."""

from collections.abc import Callable, Iterable

from foxtailshunt.assigning._earlier_leaders import UNKNOWN_LEADER_GRANTS_S
from foxtailshunt.assigning._leadership import LEADER_KEY, Leadership
from foxtailshunt.assigning._table_record import (
    TABLE_KEY,
    LeaderProcess,
    TableRecord,
    decode_table,
    encode_table,
)
from foxtailshunt.errors import DocumentError
from foxtailshunt.fleet import KeyRange, Member
from foxtailshunt.platform import ConflictError, StoreClient, StoreError, StoreItem
from foxtailshunt.telemetry import log_state_change

#: Longest wait for an answer of the store, in seconds; a slow store takes 0.4.
STORE_TIMEOUT_S = 0.8
#: Pause after the store failed, in seconds; each call is paid for.
STORE_RETRY_S = 0.7


class TableStore:
    """Writes the table on the condition that this node leads and nobody else wrote it.

    :param store: the store.
    :param me: this node.
    :param term: the term in which it leads.
    :param leadership: told if another node is found to lead.
    :param now: returns seconds of a clock that also counts suspension.
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
        self._me = local_member
        self._term = term
        self._leadership = leadership
        self._now = now
        #: Revision of the table in the store; None while it is not known.
        self._revision: int | None = None
        self._write_again_at = float("-inf")

    def read(self) -> TableRecord | None:
        """Return the table, empty if there is none yet; None if the store does not answer.

        :raises DocumentError: it cannot be read.
        """
        try:
            item = self._read_item()
        except StoreError as exc:
            log_state_change("table.not_read", error=str(exc))
            return None
        return TableRecord(0, (), ()) if item is None else self._decode(item.value)

    def write(
        self, fence: int, ranges: Iterable[KeyRange], earlier: Iterable[LeaderProcess]
    ) -> bool:
        """Write the table; false if it is not known to be written.

        While the store is away nothing is moved, but what is granted is renewed.

        :param fence: the highest fencing token that was ever written.
        :param ranges: the ranges of all keyed services.
        :param earlier: leaders before whose grants may still be in force.
        """
        if self._now() < self._write_again_at:
            return False
        local_member = LeaderProcess(
            self._me.instance_id, self._me.boot_id, UNKNOWN_LEADER_GRANTS_S
        )
        others = tuple(process for process in earlier if process.boot_id != local_member.boot_id)
        document = encode_table(TableRecord(fence, tuple(ranges), (local_member, *others)))
        try:
            if self._revision is None:
                self._read_item()
            conditions = {LEADER_KEY: self._term, TABLE_KEY: self._revision or 0}
            self._revision = self._store.commit(
                conditions, [(TABLE_KEY, document, 0)], STORE_TIMEOUT_S
            )
            return True
        except ConflictError:
            log_state_change("table.conflict", term=self._term)
        except StoreError as exc:
            log_state_change("table.write_failed", error=str(exc))
            if not exc.may_have_run:
                self._write_again_at = self._now() + STORE_RETRY_S
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
            # Nobody else writes this key; giving keys away anew could make two owners.
            log_state_change("table.unreadable", error=str(exc))
            raise

    def _is_written(self, document: bytes) -> bool:
        """Find out whether a write without an answer, or in conflict, was made."""
        self._revision = None
        try:
            item = self._read_item()
            if item is not None and item.value == document:
                return True
            self._check_lead()
        except StoreError as exc:
            log_state_change("table.not_read", error=str(exc))
            self._write_again_at = self._now() + STORE_RETRY_S
        return False

    def _check_lead(self) -> None:
        leader = self._store.read(LEADER_KEY, STORE_TIMEOUT_S)
        if leader is None or leader.revision != self._term:
            self._leadership.step_down("another node holds the leader's key")
