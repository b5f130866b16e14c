"""Watches the store for new configurations and applies them."""

import random
import threading
from collections.abc import Callable
from dataclasses import dataclass

from foxtailshunt.assigning import StoreWatch
from foxtailshunt.errors import DocumentError
from foxtailshunt.fleet import FleetView, StoreCallSpacing
from foxtailshunt.node._evacuations import DecodeEvacuation, EvacuationEntries
from foxtailshunt.platform import (
    HistoryLostError,
    StoreChange,
    StoreClient,
    StoreEraChangedError,
    StoreError,
)
from foxtailshunt.routing import RouteTable
from foxtailshunt.telemetry import log_state_change

#: Timeout of a read from the store, in seconds; a slow store answers in 0.4.
READ_TIMEOUT_S = 1.0
#: Time that one watch call waits for a change in a small fleet, in seconds; each call is billed.
WATCH_TIMEOUT_S = 12.0
#: The same for the leader, in seconds. If its response is lost, and those of all followers are, all
#: nodes wait for its next call.
LEADER_WATCH_TIMEOUT_S = 1.0
#: Longest delay before the configuration is read in a new era of the store, in seconds.
ERA_RETRY_DELAY_S = 0.1
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
    #: Decodes an entry that asks for the evacuation of a zone; None if there are no such entries.
    decode_evacuation: DecodeEvacuation | None = None


class ConfigurationApplier:
    """Applies configurations received from the store or from other nodes.

    A later version replaces an earlier one, whichever way it arrives: what the store shows after
    its return from an older copy is not special, since its versions are ordered like all others.

    :param fmt: location and decoder of configurations.
    :param view: the view that is updated.
    """

    def __init__(self, fmt: ConfigurationFormat, view: FleetView) -> None:
        self.format = fmt
        self.evacuations = EvacuationEntries(fmt.decode_evacuation, view)
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
        if not self._view.update_routes(routes, document):
            in_force = self._view.versions
            if (routes.era, routes.version) < in_force.configuration_order:
                log_state_change(
                    "configuration.kept",
                    version=in_force.configuration,
                    shown=routes.version,
                    source=source,
                )
            return
        log_state_change("configuration.in_force", version=routes.version, source=source)
        for message in routes.ignored_values:
            log_state_change("configuration.value_ignored", version=routes.version, reason=message)


class ConfigurationWatch:
    """Thread that applies changes of the configuration in the store.

    :param store: the store.
    :param configuration_applier: applies configurations.
    :param call_spacing: spaces the calls to the store by the size of the fleet.
    :param leads: returns whether this node is the leader, whose configuration the others adopt.
    """

    def __init__(
        self,
        store: StoreClient,
        configuration_applier: ConfigurationApplier,
        call_spacing: StoreCallSpacing,
        leads: Callable[[], bool],
    ) -> None:
        self._store = store
        self._leads = leads
        self._has_led = False
        self._call_spacing = call_spacing
        self._configuration_applier = configuration_applier
        self._format = configuration_applier.format
        self._store_watch = StoreWatch(store, self._format.prefix)
        self._stopping = threading.Event()
        self._store_is_lost = False
        self._thread = threading.Thread(target=self._run, name="configuration", daemon=True)

    def start(self) -> None:
        """Start the watch thread."""
        self._thread.start()

    def check_leadership(self) -> None:
        """Read the configuration when this node becomes leader, without blocking the caller.

        The response to its watch, which may wait for long, may have been lost or get lost later.
        """
        has_led, self._has_led = self._has_led, self._leads()
        if self._has_led and not has_led:
            self._store.renew_watches()
            threading.Thread(target=self._read_as_leader, name="configuration", daemon=True).start()

    def stop(self) -> None:
        """Request the thread to stop; it ends after the call in progress."""
        self._stopping.set()

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                self._watch(self._read_current())
            except HistoryLostError:
                continue
            except StoreEraChangedError as exc:
                log_state_change("store.era_left", part="configuration", call=exc.message)
                self._stopping.wait(random.uniform(0, ERA_RETRY_DELAY_S))
            except StoreError as exc:
                self._log_store_lost(exc)
                self._stopping.wait(self._call_spacing.delay_s(RETRY_DELAY_S))

    def _read_current(self) -> int:
        items, revision = self._store.list_items(self._format.prefix, False, READ_TIMEOUT_S)
        self._log_store_regained()
        for item in items:
            if item.key == self._format.key:
                self._configuration_applier.apply(item.value, "store")
        removals = self._read_removals(revision)
        self._configuration_applier.evacuations.replace(items, revision, removals)
        return revision

    def _read_removals(self, revision: int) -> list[StoreChange]:
        """Read the changes between the store's return and the first list of its era.

        :param revision: revision of the list.
        """
        for read in self._configuration_applier.evacuations.reads_before_return(revision):
            try:
                return self._store.watch(self._format.prefix, read, 0.0)[0]
            except HistoryLostError:
                # The store has discarded the changes since then, or does not have the revision.
                continue
        return []

    def _read_as_leader(self) -> None:
        try:
            self._read_current()
        except StoreError as exc:
            self._log_store_lost(exc)

    def _watch(self, revision: int) -> None:
        while not self._stopping.is_set():
            revision = self._watch_once(revision)

    def _watch_once(self, revision: int) -> int:
        """Wait for changes, apply them, and return the revision to continue from."""
        timeout_s = LEADER_WATCH_TIMEOUT_S
        if not self._leads():
            timeout_s = self._call_spacing.watch_timeout_s(WATCH_TIMEOUT_S)
        changes, revision = self._store_watch.wait(revision, timeout_s)
        self._configuration_applier.evacuations.change(changes, revision)
        for change in changes:
            if change.key == self._format.key and change.item is not None:
                self._configuration_applier.apply(change.item.value, "store")
        return revision

    def _log_store_lost(self, exc: StoreError) -> None:
        if not self._store_is_lost:
            self._store_is_lost = True
            log_state_change("store.lost", part="configuration", error=str(exc))

    def _log_store_regained(self) -> None:
        if self._store_is_lost:
            self._store_is_lost = False
            log_state_change("store.regained", part="configuration")
