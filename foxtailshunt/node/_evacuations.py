"""Follows the entries in the store that ask for the evacuation of zones."""

import threading
from collections import deque
from collections.abc import Callable, Iterable

from foxtailshunt.fleet import FleetView, at_era, era_of, plain_revision
from foxtailshunt.platform import StoreChange, StoreItem
from foxtailshunt.telemetry import log_state_change

#: Returns the zone that an entry asks to evacuate, or None if it is another entry; raises
#: ValueError if it is malformed.
DecodeEvacuation = Callable[[str, bytes], str | None]

#: Stated by a node that starts after the store's return from a copy, so that it adopts the
#: evacuations that others know.
FIRST_REVISION = 1
#: Number of reads whose revisions are kept; the store may have discarded the history of older ones.
MAX_READS = 4
_ANY_VALUE = b"{}"


class EvacuationEntries:
    """The entries as this node has read them; safe to use from any thread.

    An evacuation is in force from the entry that asks for it until its removal is read, however
    long the store cannot be read in between. A return of the store from an older copy ends none:
    what is in force stays in force until an entry is removed that the store has shown since its
    return, or whose removal this node reads. Entries that the store shows are put in force.

    An entry that the first list after a return does not have may be lost, or the operator may have
    removed it since. A removal is in the history of the returned store, after any revision at which
    the evacuation was known to be in force, whether the copy has that revision or not.

    :param decode: decodes an entry; None if the configuration format has none.
    :param view: the view that is updated.
    """

    def __init__(self, decode: DecodeEvacuation | None, view: FleetView) -> None:
        self._decode = decode
        self._view = view
        self._lock = threading.Lock()
        self._revision = 0
        self._zones: dict[str, str] = {}
        #: Messages about malformed entries by store key.
        self._malformed: dict[str, str] = {}
        #: Zones in force after the last read, and the revisions of the last reads since they were.
        self._zones_read: frozenset[str] = frozenset()
        self._reads: deque[int] = deque(maxlen=MAX_READS)

    def reads_before_return(self, revision: int) -> tuple[int, ...]:
        """Return revisions after which a list of another era needs the removals of entries.

        They are revisions of the list's era, in the order in which they should be tried. There are
        none if no evacuation is in force, or the era is the one of the last read.

        :param revision: revision of the store at which the list was read.
        """
        with self._lock:
            era, zones = era_of(revision), self._view.evacuated_zones
            # Another node may have changed the zones in force since the last read.
            if era <= era_of(self._revision) or not zones or zones != self._zones_read:
                return ()
            return tuple(at_era(era, plain_revision(read)) for read in self._reads)

    def replace(
        self, items: Iterable[StoreItem], revision: int, removals: Iterable[StoreChange] = ()
    ) -> None:
        """Apply a complete list of entries.

        :param items: the entries, and other ones.
        :param revision: revision of the store at which they were read.
        :param removals: changes since one of the reads before the store's return, with the entries
            that were removed; empty if the store no longer keeps them.
        """
        with self._lock:
            if self._decode is None or revision < self._revision:
                return
            earlier = frozenset(self._zones.values())
            if era_of(revision) > era_of(self._revision):
                # The entries were read in an earlier era, so their absence is no removal.
                removed = [change.key for change in removals if change.item is None]
                earlier = frozenset().union(*map(self._zones_of_removed, removed))
                self._reads.clear()
            self._zones = {}
            found = {item.key for item in items}
            self._malformed = {key: text for key, text in self._malformed.items() if key in found}
            for item in items:
                self._put(item)
            self._apply(revision, earlier - set(self._zones.values()))

    def change(self, changes: Iterable[StoreChange], revision: int) -> None:
        """Apply changes of entries.

        :param changes: all changes since a list or earlier changes, also of other entries.
        :param revision: revision of the store up to which they were read.
        """
        with self._lock:
            # Another thread may have read a complete list in the meantime.
            if self._decode is None or revision <= self._revision:
                return
            ended = set(self._zones.values())
            for change in changes:
                if change.item is not None:
                    self._put(change.item)
                else:
                    ended |= self._zones_of_removed(change.key)
                    self._zones.pop(change.key, None)
                    self._malformed.pop(change.key, None)
            self._apply(revision, ended - set(self._zones.values()))

    def _zones_of_removed(self, key: str) -> set[str]:
        """Return the zone that an entry evacuated; the entry may never have been read."""
        assert self._decode is not None
        try:
            zone = self._decode(key, _ANY_VALUE)
        except ValueError:
            return set()
        return set() if zone is None else {zone}

    def _put(self, item: StoreItem) -> None:
        assert self._decode is not None
        self._zones.pop(item.key, None)
        try:
            zone = self._decode(item.key, item.value)
        except ValueError as exc:
            if self._malformed.get(item.key) != str(exc):
                self._malformed[item.key] = str(exc)
                log_state_change("evacuation.unreadable", key=item.key, reason=str(exc))
            return
        self._malformed.pop(item.key, None)
        if zone is not None:
            self._zones[item.key] = zone

    def _apply(self, revision: int, ended: Iterable[str]) -> None:
        is_first, self._revision = self._revision == 0, revision
        zones = frozenset(self._zones.values())
        if era_of(revision) > 0:
            zones |= self._view.evacuated_zones - set(ended)
            if is_first:
                # Nodes that have run for longer know what the store has lost.
                revision = FIRST_REVISION
        if zones != self._zones_read:
            self._zones_read = zones
            self._reads.clear()
        self._reads.append(self._revision)
        self._view.update_evacuations_from_store(revision, zones)
