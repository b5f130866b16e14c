"""HTTP interface of the simulated metadata store, with fault injection."""

import base64
import json
import random
import threading
import time
from dataclasses import replace
from enum import Enum
from typing import Any
from urllib.parse import parse_qs

from standins.http import (
    CompleteResponse,
    HttpServer,
    Request,
    Response,
    WithheldResponse,
    json_response,
)
from standins.metadata._store import (
    CompactedError,
    ConditionFailedError,
    MetadataStore,
    StoredChange,
    StoredItem,
    UnknownLeaseError,
)

_THREADS = 60


class StoreFault(Enum):
    """Faults of the store."""

    NONE = "none"
    #: Responds with 503 without processing the call.
    BUSY = "busy"
    #: Neither processes the call nor responds.
    SILENT = "silent"
    #: Applies writes without responding.
    LOSES_RESPONSES = "loses answers"


class MetadataServer:
    """HTTP server of a store.

    :param store: state of the store.
    :param address: host and port; port 0 selects a free port.
    """

    def __init__(self, store: MetadataStore, address: tuple[str, int] = ("127.0.0.1", 0)) -> None:
        self.store = store
        self.fault = StoreFault.NONE
        #: Faults for single clients, by source IP address.
        self.faults_by_host: dict[str, StoreFault] = {}
        #: Delay of every response, in seconds.
        self.delay_s = 0.0
        #: Fraction of the responses to writes that are lost.
        self.lost_response_ratio = 0.0
        #: Number of responses to writes that are still to be lost, by key.
        self.responses_to_lose_by_key: dict[str, int] = {}
        self._random = random.Random(1)
        self._lock = threading.Lock()
        self._calls: dict[str, int] = {}
        self._server = HttpServer(address, self._handle, _THREADS)
        self._server.start()

    @property
    def address(self) -> tuple[str, int]:
        """Return the host and port that the server listens on."""
        return self._server.address

    def calls(self, path: str) -> int:
        """Return the number of calls whose path has a prefix.

        :param path: prefix of the path.
        """
        with self._lock:
            return sum(count for name, count in self._calls.items() if name.startswith(path))

    def stop(self) -> None:
        """Stop serving."""
        self._server.stop()

    def _handle(self, req: Request) -> Response:
        with self._lock:
            self._calls[req.path] = self._calls.get(req.path, 0) + 1
        fault = self.faults_by_host.get(req.caller_ip, self.fault)
        time.sleep(self.delay_s)
        if fault is StoreFault.BUSY:
            return _with_era(json_response(503, {}), self.store.era)
        if fault is StoreFault.SILENT:
            return WithheldResponse()
        if req.path == "/api/kv-watch":
            response = _with_era(self._dispatch(req), self.store.era)
        else:
            # A response states the era in which the call was executed.
            with self.store.lock:
                response = _with_era(self._dispatch(req), self.store.era)
        if req.path == "/api/kv-txn" and self._is_response_lost(fault, req):
            return WithheldResponse()
        return response

    def _is_response_lost(self, fault: StoreFault, req: Request) -> bool:
        if fault is StoreFault.LOSES_RESPONSES:
            return True
        with self._lock:
            for row in json.loads(req.body)["set_keys"]:
                if self.responses_to_lose_by_key.get(row["key"], 0) > 0:
                    self.responses_to_lose_by_key[row["key"]] -= 1
                    return True
            return self._random.random() < self.lost_response_ratio

    def _dispatch(self, req: Request) -> CompleteResponse:
        query = {name: values[0] for name, values in parse_qs(req.query).items()}
        body = json.loads(req.body) if req.body else {}
        if req.path == "/api/kv-key":
            revision = self.store.revision
            item = self.store.read(query["key"])
            if item is None:
                return json_response(404, {})
            return json_response(200, _item_json(item) | {"as_of": revision})
        if req.path == "/api/kv-range":
            return self._range(query)
        if req.path == "/api/kv-watch":
            return self._watch(query)
        if req.path == "/api/kv-txn":
            return self._commit(body)
        return self._lease(req, body)

    def _range(self, query: dict[str, str]) -> CompleteResponse:
        after = query.get("after", "")
        found = [item for item in self.store.under(query.get("prefix", "")) if item.key > after]
        page = [_item_json(item) for item in found[:50]]
        has_more = len(found) > len(page)
        return json_response(
            200, {"items": page, "has_more": has_more, "as_of": self.store.revision}
        )

    def _watch(self, query: dict[str, str]) -> CompleteResponse:
        wait_s = int(query["wait_ms"]) / 1000
        try:
            changes, revision = self.store.watch(query["prefix"], int(query["after"]), wait_s)
        except CompactedError:
            return json_response(410, {})
        events = [_change_json(change) for change in changes]
        return json_response(200, {"events": events, "as_of": revision})

    def _commit(self, body: dict[str, Any]) -> CompleteResponse:
        conditions = {row["key"]: row["revision"] for row in body["precondition"]}
        puts = [
            (row["key"], base64.b64decode(row["value"]), row["lease"]) for row in body["set_keys"]
        ]
        try:
            return json_response(
                200, {"revision": self.store.commit(conditions, puts, body["remove"])}
            )
        except ConditionFailedError:
            found = [item for key in conditions if (item := self.store.read(key))]
            return json_response(412, {"items": [_item_json(item) for item in found]})
        except UnknownLeaseError:
            return json_response(404, {})

    def _lease(self, req: Request, body: dict[str, Any]) -> CompleteResponse:
        if req.path == "/api/kv-lease":
            ttl = body["ttl_time"]
            lease = self.store.open_lease(float(ttl.removesuffix("ms")) / 1000)
            return json_response(200, {"lease": lease, "ttl_time": ttl})
        name, _, lease_text = req.path.removeprefix("/api/").partition("/")
        if name == "kv-lease-end":
            self.store.end_lease(int(lease_text))
            return json_response(200, {})
        try:
            ttl_s = self.store.renew_lease(int(lease_text))
        except UnknownLeaseError:
            return json_response(404, {})
        return json_response(200, {"ttl_time": f"{round(ttl_s * 1000)}ms"})


def _with_era(response: CompleteResponse, era: int) -> CompleteResponse:
    return replace(response, headers=(*response.headers, ("Store-Era", str(era))))


def _item_json(item: StoredItem) -> dict[str, Any]:
    return {
        "key": item.key,
        "value": base64.b64encode(item.value).decode(),
        "revision": item.revision,
        "created_rev": item.created,
        "lease": item.lease,
    }


def _change_json(change: StoredChange) -> dict[str, Any]:
    if change.item is None:
        return {"key": change.key, "revision": change.revision, "tombstone": True}
    return _item_json(change.item)
