"""What one process knows of configuration, tables and members; versions only rise."""

import threading
from collections.abc import Callable
from dataclasses import dataclass

from foxtailshunt.config import Configuration, configuration_from_json
from foxtailshunt.errors import DocumentError
from foxtailshunt.ownership import ZERO_FENCE, Fence, Table, table_from_json
from foxtailshunt.protocol import Member
from foxtailshunt.telemetry import Metrics, log_state_change


@dataclass(frozen=True, slots=True)
class CfgRecord:
    """A configuration document and its version."""

    #: The version.
    version: int
    #: The content of the operators' file.
    document: str


class View:
    """Holds the newest documents that reached this process; safe to use from any thread.

    Lower or equal versions are dropped and counted; malformed documents are counted and change
    nothing.

    :param metrics: where refused documents are counted.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._changed = threading.Condition()
        self._change_number = 0
        self._cfg: Configuration | None = None
        self._cfg_record: CfgRecord | None = None
        self._tables: dict[str, Table] = {}
        self._table_documents: dict[str, str] = {}
        self._members: tuple[Member, ...] = ()
        self._subscribers: list[Callable[[], None]] = []

    @property
    def cfg(self) -> Configuration | None:
        """Return the configuration in force, or None before the first."""
        return self._cfg

    @property
    def cfg_version(self) -> int:
        """Return the version in force, 0 before the first."""
        cfg = self._cfg
        return cfg.version if cfg else 0

    @property
    def cfg_document(self) -> str | None:
        """Return the document of the configuration in force."""
        record = self._cfg_record
        return record.document if record else None

    @property
    def cfg_record(self) -> CfgRecord | None:
        """Return document and version of the configuration in force, which belong together."""
        return self._cfg_record

    @property
    def members(self) -> tuple[Member, ...]:
        """Return the members last heard of."""
        return self._members

    @property
    def change_number(self) -> int:
        """Return a number that rises with every change."""
        return self._change_number

    def table(self, zone: str) -> Table | None:
        """Return the newest table of a zone, or None before the first.

        :param zone: the availability zone.
        """
        return self._tables.get(zone)

    def tables(self) -> tuple[Table, ...]:
        """Return the newest table of every zone."""
        with self._changed:
            return tuple(self._tables.values())

    def table_fences(self) -> dict[str, Fence]:
        """Return the fence of each zone's newest table."""
        with self._changed:
            return {zone: table.fence for zone, table in self._tables.items()}

    def table_document(self, zone: str) -> str | None:
        """Return the document of a zone's newest table.

        :param zone: the availability zone.
        """
        return self._table_documents.get(zone)

    def accept_config(self, version: int, document: str) -> bool:
        """Take a configuration into force if its version is higher.

        :param version: its version.
        :param document: its content.
        :returns: True if it is now in force.
        """
        if version <= self.cfg_version:
            self._count_refused("config", "stale")
            return False
        try:
            cfg = configuration_from_json(document, version)
        except DocumentError:
            self._count_refused("config", "malformed")
            return False
        with self._changed:
            if version <= self.cfg_version:
                return False
            self._cfg_record = CfgRecord(version, document)
            self._cfg = cfg
            self._bump()
        self._metrics.set_gauge(
            "foxtailshunt_config_version", "Configuration version in force.", version
        )
        log_state_change("config.in_force", version=version)
        self._notify()
        return True

    def accept_table(self, document: str) -> bool:
        """Take a table if its fence is higher than that of its zone's table here.

        :param document: the table's document.
        :returns: True if it was taken.
        """
        try:
            table = table_from_json(document)
        except DocumentError:
            self._count_refused("table", "malformed")
            return False
        with self._changed:
            current = self._tables.get(table.zone)
            if table.fence <= (current.fence if current else ZERO_FENCE):
                stale = True
            else:
                stale = False
                self._tables[table.zone] = table
                self._table_documents[table.zone] = document
                self._bump()
        if stale:
            self._count_refused("table", "stale")
            return False
        self._notify()
        return True

    def accept_members(self, members: tuple[Member, ...]) -> None:
        """Replace the list of members.

        :param members: the members now.
        """
        with self._changed:
            self._members = members
            self._bump()
        self._notify()

    def wait_for_change(self, change_number: int, timeout_s: float) -> int:
        """Wait until something changed after a change number.

        :param change_number: the last change that the caller knows.
        :param timeout_s: longest wait in seconds.
        :returns: the change number now.
        """
        with self._changed:
            self._changed.wait_for(lambda: self._change_number != change_number, timeout_s)
            return self._change_number

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call a function after each change, on the thread that brought it.

        :param callback: must not block.
        """
        self._subscribers.append(callback)

    def _bump(self) -> None:
        self._change_number += 1
        self._changed.notify_all()

    def _notify(self) -> None:
        for callback in self._subscribers:
            callback()

    def _count_refused(self, document: str, reason: str) -> None:
        self._metrics.count(
            "foxtailshunt_documents_refused_total",
            "Documents that were not taken.",
            {"document": document, "reason": reason},
        )
