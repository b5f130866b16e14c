"""Stand-in of the platform's store, by PROTOCOL.md of the users' pages."""

import asyncio
import base64
import json
import time

from http_io import Response, Server

HISTORY_S = 20.0
PAGE = 500


def _ms(text):
    number = float(text.rstrip("ms"))
    return number / 1000 if text.endswith("ms") else number


class Store:
    """The store; ``hook`` may lose, reset or refuse the answer to a call.

    :param hook: called with the request and, for a watch, whether it has events to report; returns
        "" or a fault.
    """

    def __init__(self):
        self.items = {}
        self.revision = 1
        self.history = []
        self.compacted = 0
        self.leases = {}
        self.next_lease = 77000
        self.waiting = set()
        self.hook = lambda req, events: ""
        self.is_down = False
        self.calls = []
        self.server = Server(self._handle)

    async def start(self, host, port):
        await self.server.start(host, port)
        self._expiry = asyncio.create_task(self._expire())

    async def stop(self):
        self._expiry.cancel()
        await self.server.stop()

    # What operators and targets write; the return is the confirmation.

    async def outage(self, length_s):
        """Refuse all calls for a time: nothing is done, and leases pause."""
        self.is_down = True
        began = time.monotonic()
        await asyncio.sleep(length_s)
        away_s = time.monotonic() - began
        self.leases = {lease: (ttl, end + away_s) for lease, (ttl, end) in self.leases.items()}
        self.is_down = False

    async def put(self, key, value):
        return self._apply([(key, value, 0)], [])

    async def remove(self, key):
        return self._apply([], [key])

    def _apply(self, puts, removes):
        self.revision += 1
        now = time.monotonic()
        for key, value, lease in puts:
            old = self.items.get(key)
            self.items[key] = {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "revision": self.revision,
                "created_rev": old["created_rev"] if old else self.revision,
                "lease": lease,
            }
            self.history.append((self.revision, now, key, self.items[key]))
        for key in removes:
            if self.items.pop(key, None) is not None:
                tombstone = {"key": key, "revision": self.revision, "tombstone": True}
                self.history.append((self.revision, now, key, tombstone))
        while self.history and self.history[0][1] < now - HISTORY_S:
            self.compacted = self.history.pop(0)[0]
        for event in self.waiting:
            event.set()
        return self.revision

    async def _expire(self):
        while True:
            await asyncio.sleep(0.03)
            if self.is_down:
                continue
            now = time.monotonic()
            for lease, (_, end) in list(self.leases.items()):
                if now > end:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        if self.leases.pop(lease, None) is not None:
            keys = [key for key, item in self.items.items() if item["lease"] == lease]
            if keys:
                self._apply([], keys)

    async def _handle(self, req):
        await asyncio.sleep(0.004)
        if self.is_down:
            await asyncio.sleep(0.005)
            self.calls.append((time.monotonic(), req.host, req.path, "busy"))
            return Response(503, b"{}", [("Store-Era", "0")])
        status, reply, has_events = await self._call(req)
        fault = self.hook(req, has_events)
        self.calls.append((time.monotonic(), req.host, req.path, fault))
        headers = [("Content-Type", "application/json"), ("Store-Era", "0")]
        return Response(status, json.dumps(reply).encode(), headers, fault)

    async def _call(self, req):
        path, query = req.path, req.query
        body = json.loads(req.body) if req.body else {}
        if path == "/api/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {}, False
            return 200, item | {"as_of": self.revision}, False
        if path == "/api/kv-range":
            keys = sorted(
                k
                for k in self.items
                if k.startswith(query["prefix"]) and k > query.get("after", "")
            )
            found = [self.items[k] for k in keys[:PAGE]]
            reply = {"items": found, "has_more": len(keys) > PAGE, "as_of": self.revision}
            return 200, reply, False
        if path == "/api/kv-watch":
            return await self._watch(query)
        if path == "/api/kv-txn":
            return await self._commit(body)
        if path == "/api/kv-lease":
            ttl_s = _ms(body["ttl_time"])
            self.next_lease += 1
            self.leases[self.next_lease] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {"lease": self.next_lease, "ttl_time": body["ttl_time"]}, False
        name, _, lease = path.removeprefix("/api/").partition("/")
        lease = int(lease)
        if name == "kv-lease-end":
            self._end_lease(lease)
            return 200, {}, False
        if lease not in self.leases:
            return 404, {}, False
        ttl_s = self.leases[lease][0]
        self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
        return 200, {"ttl_time": f"{round(ttl_s * 1000)}ms"}, False

    async def _watch(self, query):
        prefix, after = query["prefix"], int(query["after"])
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        event = asyncio.Event()
        self.waiting.add(event)
        try:
            while True:
                event.clear()
                if after < self.compacted or after > self.revision:
                    return 410, {}, False
                events = [
                    item
                    for revision, _, key, item in self.history
                    if revision > after and key.startswith(prefix)
                ]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "as_of": self.revision}, bool(events)
                try:
                    await asyncio.wait_for(event.wait(), left)
                except TimeoutError:
                    pass
        finally:
            self.waiting.discard(event)

    async def _commit(self, body):
        rows = body["precondition"]
        for row in rows:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                found = [self.items[r["key"]] for r in rows if r["key"] in self.items]
                return 412, {"items": found}, False
        if any(p["lease"] and p["lease"] not in self.leases for p in body["set_keys"]):
            return 404, {}, False
        puts = [(p["key"], base64.b64decode(p["value"]), p["lease"]) for p in body["set_keys"]]
        return 200, {"revision": self._apply(puts, body["remove"])}, False
