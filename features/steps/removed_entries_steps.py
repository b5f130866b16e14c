"""Steps for entries of upstreams that are removed or lapse around faults of the store."""

import json
import re
from collections.abc import Callable

from behave import given, then, when
from behave.runner import Context

from foxtailshunt.assigning import UpstreamReader
from foxtailshunt.fleet import EntryLapses, FleetView, at_era, era_of, plain_revision
from foxtailshunt.platform import (
    UPSTREAM_PREFIX,
    StoreChange,
    StoreEraChangedError,
    StoreError,
    StoreItem,
)

#: Step of the simulated clock, interval of heartbeats and silence after which an entry lapses, in
#: seconds.
_STEP_S, _HEARTBEAT_S, _LAPSE_S = 0.05, 1.0, 3.0
#: Interval of a reader's polls, delay after a first failed one, and after further ones, in seconds.
_LEADER, _FOLLOWER = (0.45, 0.0, 0.7), (0.5, 0.15, 0.9)
_INTERVALS = {"a leader": _LEADER, "a new leader": _LEADER, "a follower": _FOLLOWER}
#: Time until a lost answer is noticed, in seconds.
_LOST_S = 0.8
#: Duration of a row of failed calls, of which every third one succeeds, in seconds.
_ROW_S = 6.0


class EntryStore:
    """A store with the entries of two upstreams, on a simulated clock."""

    def __init__(self) -> None:
        self.now = 100.0
        #: Is told of each call as by ``StoreClient``; set by the reader.
        self.lapses: EntryLapses | None = None
        self.is_down = False
        self.loses_entries = False
        #: Returns how the next call fails; None if it does not.
        self.fault: Callable[[], str | None] = lambda: None
        self.era = 0
        self._history: list[StoreChange] = []
        self._items: dict[str, StoreItem] = {}
        self.written_at: dict[str, float] = {}
        #: Upstreams that write heartbeats, and when each one writes next.
        self.next_write_at = {"u1": self.now, "u2": self.now + 0.3}
        #: Times at which events happen.
        self.events: list[tuple[float, Callable[[], None]]] = []

    def advance(self) -> None:
        self.now += _STEP_S
        for event in [item for item in self.events if item[0] <= self.now]:
            self.events.remove(event)
            event[1]()
        for name, at in self.next_write_at.items():
            if self.now >= at and not self.is_down:
                self.next_write_at[name] = self.now + _HEARTBEAT_S
                self.write(name)
        for name, at in list(self.written_at.items()):
            pauses = self.is_down and not self.loses_entries
            if self.now >= at + _LAPSE_S and not pauses:
                self.remove(name)

    def write(self, name: str) -> None:
        entry = {
            "service": "desk",
            "address": f"127.0.0.1:{int(name[1:])}",
            "zone": "zone-a",
            "slots": 2,
            "state": "ready",
            "born": 1,
        }
        self.written_at[name] = self.now
        key, revision = UPSTREAM_PREFIX + name, at_era(self.era, len(self._history) + 1)
        item = StoreItem(key, json.dumps(entry).encode(), revision, 0)
        self._items[key] = item
        self._history.append(StoreChange(key, item))

    def remove(self, name: str) -> None:
        if self.written_at.pop(name, None) is not None:
            key = UPSTREAM_PREFIX + name
            del self._items[key]
            self._history.append(StoreChange(key, None))

    def return_from_copy(self) -> None:
        self.era += 1
        for key, item in self._items.items():
            revision = at_era(self.era, plain_revision(item.revision))
            self._items[key] = StoreItem(key, item.value, revision, 0)

    def list_items(self, prefix: str, stale: bool, timeout_s: float) -> tuple[list[StoreItem], int]:
        self._call()
        return list(self._items.values()), at_era(self.era, len(self._history))

    def watch(self, prefix: str, after: int, wait_s: float) -> tuple[list[StoreChange], int]:
        self._call()
        if era_of(after) != self.era:
            raise StoreEraChangedError("watch", False)
        found = self._history[plain_revision(after) :]
        return found, at_era(self.era, len(self._history))

    def _call(self) -> None:
        fault = "a reset call" if self.is_down else self.fault()
        if fault is None:
            self.lapses.record_answer()
            return
        end = self.now + (_LOST_S if fault == "a lost answer" else 0.0)
        while self.now < end:
            self.advance()
        self.lapses.record_failure()
        raise StoreError(fault, False)


class EntryReader:
    """A node that reads the entries, and what it finds at each read."""

    def __init__(self, role: str) -> None:
        self.store = EntryStore()
        self.view = FleetView(lambda: self.store.now)
        self.store.lapses = self.view.entry_lapses
        self._role = role
        self._interval_s, *self._retries_s = _INTERVALS[role]
        self._has_failed = False
        self._reader = self._new_reader()
        self._read_at = self.store.now
        #: Times of successful reads, and whether u1 was found.
        self.reads: list[tuple[float, bool]] = []

    def _new_reader(self) -> UpstreamReader:
        return UpstreamReader(self.store, lambda: self.store.now, self.view)

    def become_leader(self) -> None:
        """Begin to read with the reader of a new term."""
        if self._role == "a new leader":
            self._reader = self._new_reader()

    def run(self, seconds: float) -> None:
        end = self.store.now + seconds
        while self.store.now < end:
            self.store.advance()
            if self.store.now >= self._read_at:
                self._read()

    def _read(self) -> None:
        started = self.store.now
        try:
            upstreams = self._reader.poll()
        except StoreError:
            self._read_at = self.store.now + self._retries_s[self._has_failed]
            self._has_failed = True
            return
        self._has_failed = False
        self.view.update_upstreams_from_store(upstreams, started)
        self.reads.append((self.store.now, "u1" in upstreams))
        self._read_at = started + self._interval_s


@given("{reader} that reads the entries of u1 and u2")
def _(context: Context, reader: str) -> None:
    context.entries = EntryReader(reader)
    context.entries.run(10.0)


def _begin(subject: EntryReader, fault: str, at: float) -> float:
    """Schedule a fault and return when it ends."""
    store, events = subject.store, subject.store.events
    seconds = re.search(r"outage of ([0-9.]+) s", fault)
    if seconds is not None:
        end = at + float(seconds[1])
        events.append((at, lambda: setattr(store, "is_down", True)))
        events.append((end, lambda: setattr(store, "is_down", False)))
    elif fault == "a return from a copy":
        end = at
        events.append((at, store.return_from_copy))
    elif fault == "a row of failed calls":
        end = at + _ROW_S
        outcomes = iter(("a reset call", "a reset call", None) * 100)
        events.append((at, lambda: setattr(store, "fault", lambda: next(outcomes))))
        events.append((end, lambda: setattr(store, "fault", lambda: None)))
    else:
        end = at
        outcomes = iter((fault,))
        events.append((at, lambda: setattr(store, "fault", lambda: next(outcomes, None))))
    events.append((end, subject.become_leader))
    return end


def _schedule(context: Context, fault: str, moment: str) -> None:
    subject = context.entries
    seconds, side = re.fullmatch(r"([0-9.]+) s (before|after) it", moment).groups()
    begin = subject.store.now + 1.0
    context.ended_at = _begin(subject, fault, begin)
    # Between the failed calls of a row the store can be read.
    context.unread_until = begin if "row" in fault else context.ended_at
    context.event_at = begin + float(seconds) * (-1 if side == "before" else 1)


@when("{fault} happens, and u1 leaves {moment}")
def _(context: Context, fault: str, moment: str) -> None:
    _schedule(context, fault, moment)
    store = context.entries.store

    def leave() -> None:
        del store.next_write_at["u1"]
        store.remove("u1")

    store.events.append((context.event_at, leave))
    context.entries.run(14.0)


@when("{fault} happens, and u1 falls silent {moment}")
def _(context: Context, fault: str, moment: str) -> None:
    _schedule(context, fault, moment)
    store = context.entries.store
    store.loses_entries = True
    store.events.append((context.event_at, lambda: store.next_write_at.pop("u1")))
    context.entries.run(14.0)


@when("{fault} happens, in which entries lapse, and u1 registers again {late:g} s after it")
def _(context: Context, fault: str, late: float) -> None:
    subject = context.entries
    subject.store.loses_entries = True
    begin = subject.store.now + 1.0
    # u1 has written just before the outage or up to a second earlier.
    end = _begin(subject, fault, begin)
    subject.store.next_write_at["u1"] = end + late
    context.ended_at = end
    subject.run(14.0)


@when("{fault} happens, in which entries lapse, and the leader drops u1 {late:g} s after it")
def _(context: Context, fault: str, late: float) -> None:
    subject = context.entries
    subject.store.loses_entries = True
    context.ended_at = _begin(subject, fault, subject.store.now + 1.0)
    del subject.store.next_write_at["u1"]

    def drop() -> None:
        others = {name: item for name, item in subject.view.upstreams.items() if name != "u1"}
        subject.view.update_upstreams_from_store(others, subject.store.now)

    subject.store.events.append((context.ended_at + late, drop))
    subject.run(14.0)


@then("u1 is gone {seconds:g} s after it left and could be read")
def _(context: Context, seconds: float) -> None:
    _check_gone(context, max(context.event_at, context.unread_until) + seconds)


@then("u1 is gone {seconds:g} s after its last write")
def _(context: Context, seconds: float) -> None:
    _check_gone(context, context.event_at + seconds)


@then("u1 is gone {seconds:g} s after the outage")
def _(context: Context, seconds: float) -> None:
    _check_gone(context, context.ended_at + seconds)


def _check_gone(context: Context, end: float) -> None:
    reads = context.entries.reads
    late = [round(at - end, 2) for at, is_found in reads if at >= end and is_found]
    assert not late, f"found {late} s too late"
    assert any(at >= end for at, _ in reads)


@then("u1 is found at each read")
def _(context: Context) -> None:
    missing = [
        round(at - context.ended_at, 2)
        for at, is_found in context.entries.reads[1:]
        if not is_found
    ]
    assert not missing, f"missing {missing} s after the outage"
