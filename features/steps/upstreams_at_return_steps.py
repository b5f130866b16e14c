"""Steps for entries of upstreams that are read around the return of the store from a copy."""

import json

from behave import given, then, when
from behave.runner import Context

from features.steps.configuration_at_return_steps import LocalStoreClient
from foxtailshunt.assigning import CapacityEstimator, UpstreamPublisher, UpstreamReader
from foxtailshunt.fleet import FleetView, at_era
from foxtailshunt.platform import UPSTREAM_PREFIX, StoreEraChangedError
from standins.metadata import MetadataStore

#: Time between two reads, in seconds.
_READ_INTERVAL_S = 0.1


class ReadingNode:
    """A node whose follower reads the entries itself, and that may become the leader."""

    def __init__(self, store: MetadataStore) -> None:
        self._store = store
        self.now = 100.0
        self.view = FleetView(lambda: self.now)
        self._client = LocalStoreClient(store)
        self._reader = UpstreamReader(self._client, lambda: self.now, self.view)

    def read(self) -> None:
        self.now += _READ_INTERVAL_S
        try:
            upstreams = self._reader.poll()
        except StoreEraChangedError:
            upstreams = self._reader.poll()
        self.view.update_upstreams_from_store(upstreams, self.now)

    def read_as_leader(self) -> None:
        self.now += _READ_INTERVAL_S
        term = at_era(self._store.era, self._store.revision)
        self.view.begin_term(term)
        capacities = CapacityEstimator()
        UpstreamPublisher(self._client, self.view, capacities, lambda: self.now, term).update()


@given("a node that has read the entries of u1 and u2 from the store")
def _(context: Context) -> None:
    context.store, context.born_ms = MetadataStore(), 1
    for name in ("u1", "u2"):
        _write(context.store, name, "ready")
    context.node = ReadingNode(context.store)
    context.node.read()


def _write(store: MetadataStore, name: str, state: str) -> None:
    if state == "gone":
        store.remove(UPSTREAM_PREFIX + name)
        return
    entry = {
        "service": "desk",
        "address": f"127.0.0.1:{int(name[1:])}",
        "zone": "zone-a",
        "slots": 2,
        "state": "draining" if state == "leaving" else "ready",
        "born": 2 if state == "starts anew" else 1,
    }
    store.put(UPSTREAM_PREFIX + name, json.dumps(entry).encode())


@when("these entries are written and read: {events}")
def _(context: Context, events: str) -> None:
    store, node = context.store, context.node
    for event in events.split(", "):
        name, _, state = event.partition(" ")
        if event == "copy":
            copy = store.take_copy()
        elif event == "return":
            store.return_from(copy)
        elif event == "read":
            node.read()
        elif state == "s":
            node.now += float(name)
        else:
            _write(store, name, state)
            context.born_ms = 2 if state == "starts anew" else context.born_ms


@then("{reader} finds u1 {state}")
def _(context: Context, reader: str, state: str) -> None:
    node = ReadingNode(context.store) if reader == "a fresh node" else context.node
    if reader == "a new term":
        node.read_as_leader()
    elif reader == "a fresh node":
        node.read()
    found = node.view.upstreams.get("u1")
    text = "gone" if found is None else "leaving" if found.leaving else "serving"
    assert text == state, node.view.upstreams
    assert found is None or found.started_ms == context.born_ms, found
    assert "u2" in node.view.upstreams, node.view.upstreams
