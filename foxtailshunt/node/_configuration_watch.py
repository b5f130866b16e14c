"""Watches the store for new configurations and applies them."""

import threading
from collections.abc import Callable
from dataclasses import dataclass

from foxtailshunt.errors import DocumentError
from foxtailshunt.fleet import FleetView, RetrySpread
from foxtailshunt.platform import HistoryLostError, StoreClient, StoreError
from foxtailshunt.routing import RouteTable
from foxtailshunt.telemetry import log_state_change

#: Timeout of a read from the store, in seconds; a slow store answers in 0.4.
READ_TIMEOUT_S = 1.0
#: Time that one watch call waits for a change, in seconds; each call is billed.
WATCH_TIMEOUT_S = 12.0
#: Delay after a failed call to the store in a small fleet, in seconds.
RETRY_DELAY_S = 0.4


@dataclass(frozen=True, slots=True)
class ConfigurationFormat:
    """Location of the configuration in the store and its decoder."""

    #: Key prefix that is listed and watched.
    prefix: str
    #: Key of the configuration.
    key: str
    #: Decodes the stored bytes; raises DocumentError if they are malformed.
    decode: Callable[[bytes], RouteTable]


class ConfigurationApplier:
    """Applies configurations received from the store or from other nodes.

    :param fmt: location and decoder of configurations.
    :param view: the view that is updated.
    """

    def __init__(self, fmt: ConfigurationFormat, view: FleetView) -> None:
        self.format = fmt
        self._view = view

    def apply(self, document: bytes, source: str) -> None:
        """Apply a configuration if it can be decoded and is newer than the active one.

        :param document: the encoded configuration.
        :param source: origin of the configuration, for the log.
        """
        try:
            routes = self.format.decode(document)
        except DocumentError as exc:
            log_state_change("configuration.unreadable", source=source, reason=exc.message)
            return
        if self._view.update_routes(routes, document):
            log_state_change("configuration.in_force", version=routes.version, source=source)


class ConfigurationWatch:
    """Thread that applies changes of the configuration in the store.

    :param store: the store.
    :param configuration_applier: applies configurations.
    :param retry_spread: delays before retries of calls to the store.
    """

    def __init__(
        self,
        store: StoreClient,
        configuration_applier: ConfigurationApplier,
        retry_spread: RetrySpread,
    ) -> None:
        self._store = store
        self._retry_spread = retry_spread
        self._configuration_applier = configuration_applier
        self._format = configuration_applier.format
        self._stopping = threading.Event()
        self._store_is_lost = False
        self._thread = threading.Thread(target=self._run, name="configuration", daemon=True)

    def start(self) -> None:
        """Start the watch thread."""
        self._thread.start()

    def stop(self) -> None:
        """Request the thread to stop; it ends after the call in progress."""
        self._stopping.set()

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                self._watch(self._read_current())
            except HistoryLostError:
                continue
            except StoreError as exc:
                self._log_store_lost(exc)
                self._stopping.wait(self._retry_spread.delay_s(RETRY_DELAY_S))

    def _read_current(self) -> int:
        items, revision = self._store.list_items(self._format.prefix, False, READ_TIMEOUT_S)
        self._log_store_regained()
        for item in items:
            if item.key == self._format.key:
                self._configuration_applier.apply(item.value, "store")
        return revision

    def _watch(self, revision: int) -> None:
        while not self._stopping.is_set():
            changes, revision = self._store.watch(self._format.prefix, revision, WATCH_TIMEOUT_S)
            for change in changes:
                if change.key == self._format.key and change.item is not None:
                    self._configuration_applier.apply(change.item.value, "store")

    def _log_store_lost(self, exc: StoreError) -> None:
        if not self._store_is_lost:
            self._store_is_lost = True
            log_state_change("store.lost", part="configuration", error=str(exc))

    def _log_store_regained(self) -> None:
        if self._store_is_lost:
            self._store_is_lost = False
            log_state_change("store.regained", part="configuration")
