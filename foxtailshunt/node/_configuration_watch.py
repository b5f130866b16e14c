"""Keeps the newest configuration of the store in force."""

import threading
from collections.abc import Callable
from dataclasses import dataclass

from foxtailshunt.errors import DocumentError
from foxtailshunt.fleet import FleetView
from foxtailshunt.platform import HistoryLostError, StoreClient, StoreError
from foxtailshunt.routing import RouteTable
from foxtailshunt.telemetry import log_state_change

#: Longest wait for an answer of the store, in seconds; a slow store takes 0.4.
READ_TIMEOUT_S = 1.0
#: How long one call waits for a change, in seconds; each call is paid for.
WATCH_S = 12.0
#: Pause after a failed call, in seconds.
RETRY_S = 0.4


@dataclass(frozen=True, slots=True)
class ConfigurationFormat:
    """Where the configuration stands in the store and how it is read."""

    #: Prefix under which it is listed and watched.
    prefix: str
    #: Its key.
    key: str
    #: Returns what its bytes put into force; raises DocumentError if they are malformed.
    decode: Callable[[bytes], RouteTable]


class ConfigurationApplier:
    """Puts configurations into force, from the store or from other nodes.

    :param fmt: how they are read.
    :param view: where they are put.
    """

    def __init__(self, fmt: ConfigurationFormat, view: FleetView) -> None:
        self.format = fmt
        self._view = view

    def take(self, document: bytes, source: str) -> None:
        """Put a configuration into force if it can be read and is newer.

        :param document: its bytes.
        :param source: where it came from, for the log.
        """
        try:
            routes = self.format.decode(document)
        except DocumentError as exc:
            log_state_change("configuration.unreadable", source=source, reason=exc.message)
            return
        if self._view.update_routes(routes, document):
            log_state_change("configuration.in_force", version=routes.version, source=source)


class ConfigurationWatch:
    """A thread that waits for changes of the configuration.

    :param store: the store.
    :param keeper: puts configurations into force.
    """

    def __init__(self, store: StoreClient, configuration_applier: ConfigurationApplier) -> None:
        self._store = store
        self._keeper = configuration_applier
        self._format = configuration_applier.format
        self._stopping = threading.Event()
        self._failing = False
        self._thread = threading.Thread(target=self._run, name="configuration", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop after the call in progress."""
        self._stopping.set()

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                self._follow(self._read())
            except HistoryLostError:
                continue
            except StoreError as exc:
                self._note_failing(exc)
                self._stopping.wait(RETRY_S)

    def _read(self) -> int:
        items, revision = self._store.list_items(self._format.prefix, False, READ_TIMEOUT_S)
        self._note_working()
        for item in items:
            if item.key == self._format.key:
                self._keeper.take(item.value, "store")
        return revision

    def _follow(self, revision: int) -> None:
        while not self._stopping.is_set():
            changes, revision = self._store.watch(self._format.prefix, revision, WATCH_S)
            for change in changes:
                if change.key == self._format.key and change.item is not None:
                    self._keeper.take(change.item.value, "store")

    def _note_failing(self, exc: StoreError) -> None:
        if not self._failing:
            self._failing = True
            log_state_change("store.lost", part="configuration", error=str(exc))

    def _note_working(self) -> None:
        if self._failing:
            self._failing = False
            log_state_change("store.regained", part="configuration")
