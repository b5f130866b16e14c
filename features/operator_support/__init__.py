"""Test doubles for the store and the nodes that the operator command line contacts."""

import json
from dataclasses import asdict
from typing import Any

from behave.runner import Context

from features.front_support import make_document
from foxtailshunt.config import (
    CONFIG_KEY,
    ConfigRecord,
    config_record_from_json,
    config_record_to_json,
)
from foxtailshunt.fleet import KeyRange, Member, Upstream, Versions
from foxtailshunt.network import Address
from foxtailshunt.platform import StoreClient, StoreError, StoreItem
from standins.http import HttpServer, Request, json_response
from standins.metadata import MetadataServer, MetadataStore

_REMOVED = "-"


def set_field(document: Any, field: str, value: str) -> None:
    """Set a field of a document to a JSON value, or remove it if the value is ``-``."""
    *path, last = [int(part) if part.isdigit() else part for part in field.split(".")]
    for part in path:
        document = document[part]
    if value == _REMOVED:
        del document[last]
    else:
        document[last] = json.loads(value)


class StoreSubject:
    """A stand-in store that holds configuration versions."""

    def __init__(self, context: Context) -> None:
        self.store = MetadataStore()
        self.server = MetadataServer(self.store)
        context.add_cleanup(self.server.stop)
        self.client = StoreClient(self.server.address)

    def put_version(self, version: int) -> None:
        record = ConfigRecord(version, "first", json.dumps(make_document()))
        self.store.put(CONFIG_KEY, config_record_to_json(record).encode())

    def record(self) -> ConfigRecord:
        item = self.store.read(CONFIG_KEY)
        assert item is not None
        return config_record_from_json(item.value)


class FailsAfterWriteStore:
    """A store that applies one write, loses its response and is unavailable afterwards."""

    def __init__(self, client: StoreClient) -> None:
        self._client = client
        self._is_down = False

    @property
    def era(self) -> int:
        return self._client.era

    def read(self, key: str, timeout_s: float) -> StoreItem | None:
        if self._is_down:
            raise StoreError("down", may_have_run=False)
        return self._client.read(key, timeout_s)

    def commit(
        self, conditions: dict[str, int], puts: list[tuple[str, bytes, int]], timeout_s: float
    ) -> int:
        self._client.commit(conditions, puts, timeout_s)
        self._is_down = True
        raise StoreError("lost", may_have_run=True)


class NodeSubject:
    """An operator port that returns a dump set by the scenario."""

    def __init__(self, context: Context, name: str, leads: bool) -> None:
        self.ranges: list[KeyRange] = []
        self.members: list[Member] = []
        self._name = name
        self._leads = leads
        server = HttpServer(("127.0.0.1", 0), self._answer, 4)
        server.start()
        context.add_cleanup(server.stop)
        self.address = server.address

    def member(self) -> Member:
        return make_member(self._name, self.address)

    def _answer(self, req: Request) -> Any:
        upstreams = [make_upstream("u1"), make_upstream("u2"), make_upstream("u3", leaving=True)]
        document = {
            "instance": self._name,
            "leads": self._leads,
            "stopping": False,
            "versions": asdict(Versions(configuration=7, term=3, ownership=5)),
            "services": [{"name": "desk", "keyed": True}, {"name": "counter", "keyed": False}],
            "upstreams_age_s": 0.2,
            "upstreams": [asdict(item) for item in upstreams],
            "members": [asdict(item) for item in self.members],
            "ranges": [asdict(item) for item in self.ranges],
            "waiting": 2,
            "running": 1,
        }
        return json_response(200, document)


def make_member(name: str, operator: Address) -> Member:
    return Member(name, f"boot-{name}", "wanaka", ("127.0.0.1", 1), operator_address=operator)


def make_upstream(name: str, leaving: bool = False) -> Upstream:
    return Upstream(name, "desk", ("127.0.0.1", 1), "wanaka", 2, leaving, 0.0, 0)
