"""What an assigner reads from the platform besides its own records."""

import json
import random
import threading
from collections.abc import Callable

from foxtailshunt.assigner._table_store import table_key
from foxtailshunt.errors import FoxtailshuntError
from foxtailshunt.kvstore import Backoff, InstanceState, Platform, StoreRecord
from foxtailshunt.membership import ASSIGNER_ROLE, View
from foxtailshunt.telemetry import Metrics, log_thread_error
from foxtailshunt.timing import Clock

#: The store's key of the operators' configuration.
CONFIG_KEY = "foxtailshunt/config"

_WATCH_S = 10.0
_IDLE_S = 0.5
_LIST_INTERVAL_S = 1.0
_OTHER_TABLES_INTERVAL_S = 3.0
_FIRST_RETRY_S = 0.1
_RETRY_LIMIT_S = 2.0
_STOP_TIMEOUT_S = 1.0


class ConfigWatcher:
    """Follows the configuration's record and feeds it into a view, on one thread.

    :param platform: the platform.
    :param view: takes the configuration.
    :param is_needed: returns whether this process is the one of its zone that watches.
    :param metrics: where malformed records are counted.
    """

    def __init__(
        self, platform: Platform, view: View, is_needed: Callable[[], bool], metrics: Metrics
    ) -> None:
        self._platform = platform
        self._view = view
        self._is_needed = is_needed
        self._metrics = metrics
        self._revision = 0
        self._stopping = threading.Event()
        self._backoff = Backoff(_FIRST_RETRY_S, _RETRY_LIMIT_S, random.Random())
        self._thread = threading.Thread(target=self._run, name="config", daemon=True)

    def start(self) -> None:
        """Start watching."""
        self._thread.start()

    def stop(self) -> None:
        """Stop watching; a watch in progress is left to end by itself."""
        self._stopping.set()

    def _run(self) -> None:
        while not self._stopping.is_set():
            if not self._is_needed():
                self._stopping.wait(_IDLE_S)
                continue
            try:
                self._take(self._platform.watch(CONFIG_KEY, self._revision, _WATCH_S))
                self._backoff.reset()
            except FoxtailshuntError:
                self._stopping.wait(self._backoff.next_delay_s())
            except Exception as exc:
                log_thread_error("config-watch", exc)
                self._stopping.wait(self._backoff.next_delay_s())

    def _take(self, record: StoreRecord | None) -> None:
        if record is None or record.revision == self._revision:
            return
        self._revision = record.revision
        try:
            value = json.loads(record.value)
            version, document = int(value["version"]), str(value["document"])
        except (ValueError, KeyError, TypeError):
            self._metrics.count(
                "foxtailshunt_documents_refused_total",
                "Documents that were not taken.",
                {"document": "config_record", "reason": "malformed"},
            )
            return
        self._view.accept_config(version, document)


class InstancePoll:
    """Reads the platform's list of instances and other zones' tables while the lease is held.

    Absence from the list proves nothing; only leaving instances are acted on. A zone's table is
    read from the store only if no assigner of that zone is heard.

    :param platform: the platform.
    :param zone: the own availability zone.
    :param view: takes tables.
    :param is_active: returns whether this process holds the lease.
    :param on_change: called when the leaving instances changed.
    :param clock: the clock.
    """

    def __init__(
        self,
        platform: Platform,
        zone: str,
        view: View,
        is_active: Callable[[], bool],
        on_change: Callable[[], None],
        clock: Clock,
    ) -> None:
        self._platform = platform
        self._zone = zone
        self._view = view
        self._is_active = is_active
        self._on_change = on_change
        self._clock = clock
        self._leaving: frozenset[str] = frozenset()
        self._tables_read_at = clock.now()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="platform-poll", daemon=True)

    @property
    def leaving(self) -> frozenset[str]:
        """Return the names of the instances that were last listed as leaving."""
        return self._leaving

    def start(self) -> None:
        """Start polling."""
        self._thread.start()

    def stop(self) -> None:
        """Stop polling."""
        self._stopping.set()
        self._thread.join(_STOP_TIMEOUT_S)

    def _run(self) -> None:
        while not self._stopping.is_set():
            if self._is_active():
                try:
                    self._poll()
                except FoxtailshuntError:
                    self._stopping.wait(random.uniform(0, _LIST_INTERVAL_S))
                except Exception as exc:
                    log_thread_error("platform-poll", exc)
            self._stopping.wait(_LIST_INTERVAL_S)

    def _poll(self) -> None:
        listed = self._platform.list_instances()
        leaving = frozenset(item.name for item in listed if item.state is InstanceState.LEAVING)
        if leaving != self._leaving:
            self._leaving = leaving
            self._on_change()
        if self._clock.now() - self._tables_read_at >= _OTHER_TABLES_INTERVAL_S:
            self._tables_read_at = self._clock.now()
            self._read_other_tables()

    def _read_other_tables(self) -> None:
        cfg = self._view.cfg
        heard = {member.zone for member in self._view.members if member.role == ASSIGNER_ROLE}
        for zone in cfg.zones if cfg else ():
            if zone == self._zone or zone in heard:
                continue
            record = self._platform.read(table_key(zone))
            if record is not None:
                self._view.accept_table(record.value)
