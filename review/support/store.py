"""Stand-in for the platform's metadata store, as PROTOCOL.md describes it."""

import base64
import json
import threading
import time
from urllib.parse import parse_qs, urlsplit

from wire import Server, response_bytes


class Store:
    """A linearizable store with revisions, leases and watches.

    ``silent_for`` holds the hosts that get no response; ``is_silent`` is the same for all hosts.
    """

    def __init__(self, address):
        self._changed = threading.Condition()
        self._items = {}
        self._history = []
        self._revision = 100
        self._leases = {}
        self._next_lease = 1
        self.silent_for = set()
        self.is_silent = False
        self.is_busy = False
        #: Called with the call's path and body before it is run; may return a response or sleep.
        self.before = lambda req, body: None
        self._server = Server(address, self._serve, self._is_silent_for)
        self.address = self._server.address
        threading.Thread(target=self._expire, daemon=True).start()

    def _is_silent_for(self, host):
        return self.is_silent or host in self.silent_for

    def put(self, key, value):
        """Write a key, as operators and targets do."""
        self._commit([], [(key, value, 0)], [])

    def remove(self, key):
        """Remove a key."""
        self._commit([], [], [key])

    def get(self, key):
        """Return the value of a key, or None."""
        with self._changed:
            item = self._items.get(key)
            return None if item is None else item["value"]

    def _commit(self, conditions, puts, removes):
        with self._changed:
            for key, revision in conditions:
                item = self._items.get(key)
                if (item["revision"] if item else 0) != revision:
                    return 412, {"items": [self._shown(k) for k, _ in conditions if k in self._items]}
            if any(lease and lease not in self._leases for _, _, lease in puts):
                return 404, {}
            self._revision += 1
            for key, value, lease in puts:
                old = self._items.get(key)
                self._items[key] = {
                    "value": value,
                    "revision": self._revision,
                    "created_rev": old["created_rev"] if old else self._revision,
                    "lease": lease,
                }
                self._history.append((self._revision, key, self._shown(key)))
            for key in removes:
                if self._items.pop(key, None) is not None:
                    row = {"key": key, "revision": self._revision, "tombstone": True}
                    self._history.append((self._revision, key, row))
            self._changed.notify_all()
            return 200, {"revision": self._revision}

    def _shown(self, key):
        item = self._items[key]
        return {"key": key, **item, "value": base64.b64encode(item["value"]).decode()}

    def _expire(self):
        while True:
            time.sleep(0.02)
            with self._changed:
                if self.is_silent or self.is_busy:
                    # Leases pause while the store is down.
                    for lease, (ttl, end) in self._leases.items():
                        self._leases[lease] = (ttl, end + 0.02)
                    continue
                now = time.monotonic()
                for lease in [n for n, (_, end) in self._leases.items() if end < now]:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        if self._leases.pop(lease, None) is not None:
            keys = [key for key, item in self._items.items() if item["lease"] == lease]
            if keys:
                self._commit([], [], keys)

    def _serve(self, req):
        url = urlsplit(req.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        body = json.loads(req.body) if req.body else {}
        if self.is_busy:
            return response_bytes(503, (), b"{}")
        early = self.before(req, body)
        if early is not None:
            return early
        status, reply = self._dispatch(req.method, url.path, query, body)
        return response_bytes(
            status, (("Content-Type", "application/json"),), json.dumps(reply).encode()
        )

    def _dispatch(self, method, path, query, body):
        if path == "/api/kv-key":
            with self._changed:
                if query["key"] not in self._items:
                    return 404, {"as_of": self._revision}
                return 200, self._shown(query["key"]) | {"as_of": self._revision}
        if path == "/api/kv-range":
            with self._changed:
                keys = sorted(
                    key
                    for key in self._items
                    if key.startswith(query.get("prefix", "")) and key > query.get("after", "")
                )
                page = [self._shown(key) for key in keys[:400]]
                return 200, {"items": page, "has_more": len(keys) > 400, "as_of": self._revision}
        if path == "/api/kv-watch":
            after, wait_s = int(query["after"]), int(query["wait_ms"]) / 1000

            def events():
                rows = self._history
                return [row for rev, key, row in rows if rev > after and key.startswith(query["prefix"])]

            with self._changed:
                self._changed.wait_for(events, wait_s)
                return 200, {"events": events(), "as_of": self._revision}
        if path == "/api/kv-txn":
            conditions = [(row["key"], row["revision"]) for row in body["precondition"]]
            puts = [
                (row["key"], base64.b64decode(row["value"]), row["lease"])
                for row in body["set_keys"]
            ]
            return self._commit(conditions, puts, body["remove"])
        with self._changed:
            if path == "/api/kv-lease":
                ttl = body["ttl_time"]
                seconds = float(ttl[:-2]) / 1000 if ttl.endswith("ms") else float(ttl[:-1])
                self._next_lease += 1
                self._leases[self._next_lease] = (seconds, time.monotonic() + seconds)
                return 200, {"lease": self._next_lease, "ttl_time": ttl}
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self._leases:
                return 404, {}
            if path.startswith("/api/kv-keep/"):
                seconds, _ = self._leases[lease]
                self._leases[lease] = (seconds, time.monotonic() + seconds)
                return 200, {"ttl_time": f"{int(seconds * 1000)}ms"}
            self._end_lease(lease)
            return 200, {}
