"""Stand-in of a target, by PROTOCOL.md of the users' pages."""

import asyncio
import itertools
import json
import time

from http_io import Response, Server

HEARTBEAT_S = 0.87
KEEP_ALIVE_S = 10
QUEUE = 8
_seal = itertools.count(1)


class Target:
    """One lifetime of a target.

    :param store: where it registers; it checks in every ``HEARTBEAT_S``.
    :param work_s: how long a request takes.
    """

    def __init__(self, store, target_id, service, zone, keyed, slots=2, work_s=0.05, log=None):
        self.store, self.id, self.service, self.zone = store, target_id, service, zone
        self.keyed, self.slots, self.work_s = keyed, slots, work_s
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.log = log or (lambda *a, **k: None)
        self.held = []
        self.seen = []
        self.running = {}
        self.slot = asyncio.Semaphore(slots)
        self.waiting = 0
        self.at_work = 0
        self.server = Server(self._handle)
        self._beat = None
        #: Called with a request; may return an answer of its own.
        self.override = lambda req: None

    async def start(self, host, port=0):
        await self.server.start(host, port)
        await self.register()
        self._beat = asyncio.create_task(self._heartbeat())

    async def register(self):
        self.seq += 1
        host, port = self.server.address
        entry = {
            "service": self.service,
            "address": f"{host}:{port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "warmup_left": "0ms",
            "seq": self.seq,
            "born": self.born,
        }
        await self.store.put(f"servers/{self.id}", json.dumps(entry).encode())

    async def _heartbeat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if not self.store.is_down:
                await self.register()

    async def drain(self):
        """Report that it is draining; returns when the store has accepted that."""
        self.state = "draining"
        await self.register()

    async def leave(self):
        """Remove the entry without reporting draining; it goes on serving."""
        self._beat.cancel()
        await self.store.remove(f"servers/{self.id}")

    async def end(self):
        """End the process: connections are closed."""
        if self._beat is not None:
            self._beat.cancel()
        await self.server.stop()

    def holds(self, key):
        now = time.monotonic()
        return any(f <= key <= t and now < until for f, t, _, until in self.held)

    async def _handle(self, req):
        arrived = time.monotonic()
        answer = self.override(req)
        if answer is not None:
            return answer
        if req.headers.get("expect-instance", self.id) != self.id:
            return Response(421, b"", [("Instance-Id", self.id), ("Not-Executed", "1")])
        if req.path in ("/api/grant", "/api/release") and self.keyed:
            return await self._order(req, arrived)
        if req.path == "/health":
            status = 200 if self.state == "ready" else 503
            return Response(status, b"", [("Instance-Id", self.id)])
        attempt = req.headers.get("attempt-id")
        if attempt is None:
            return Response(400, b"", [("Not-Executed", "1")])
        self.log("reach", target=self.id, id=attempt, host=req.host)
        return await self._request(req, attempt)

    async def _request(self, req, attempt):
        ids = [("Attempt-Id", attempt)]
        key = int(req.headers.get("shard-key", "0"))
        if self.keyed and not self.holds(key):
            return Response(421, b"", [*ids, ("Not-Executed", "1"), ("Instance-Id", self.id)])
        if self.waiting >= QUEUE:
            return Response(503, b"", [*ids, ("Not-Executed", "1")])
        left_s = int(req.headers.get("deadline-ms", "60000")) / 1000
        started = time.monotonic()
        self.waiting += 1
        try:
            await asyncio.wait_for(self.slot.acquire(), left_s)
        except TimeoutError:
            return Response(503, b"", [*ids, ("Not-Executed", "1")])
        finally:
            self.waiting -= 1
        self.running[key] = self.running.get(key, 0) + 1
        self.at_work += 1
        self.log("run", target=self.id, id=attempt, path=req.target)
        try:
            left_s -= time.monotonic() - started
            if left_s < self.work_s:
                await asyncio.sleep(max(0.0, left_s))
                return Response(504, b"", ids)
            await asyncio.sleep(self.work_s)
        finally:
            self.running[key] -= 1
            self.at_work -= 1
            self.slot.release()
        seal = f"{next(_seal):x}.{self.id}"
        body = f"{self.id} {req.method} {req.target} {attempt}\n".encode()
        headers = [*ids, ("Response-Seal", seal), ("Keep-Alive", f"timeout={KEEP_ALIVE_S}")]
        return Response(200, body, headers)

    async def _order(self, req, arrived):
        order = json.loads(req.body)
        first, last, fence = order["from"], order["to"], order["fence"]
        if req.path == "/api/release":
            return await self._release(first, last, fence)
        if any(f <= last and first <= t and seen > fence for f, t, seen in self.seen):
            return Response(409)
        until = arrived + float(order["hold_time"].removesuffix("ms")) / 1000
        self._cut(first, last)
        self.held.append((first, last, fence, until))
        self._see(first, last, fence)
        self.log("grant", target=self.id, first=first, last=last, fence=fence)
        return Response(200)

    async def _release(self, first, last, fence):
        self._cut(first, last)
        self._see(first, last, fence)
        while any(n and first <= key <= last for key, n in self.running.items()):
            await asyncio.sleep(0.002)
        return Response(200, b"", [("Handover", f"{fence:016x}")])

    def _see(self, first, last, fence):
        self.seen = [s for s in self.seen if not (first <= s[0] and s[1] <= last and s[2] <= fence)]
        self.seen.append((first, last, fence))

    def _cut(self, first, last):
        kept = []
        for f, t, fence, until in self.held:
            if t < first or last < f:
                kept.append((f, t, fence, until))
                continue
            if f < first:
                kept.append((f, first - 1, fence, until))
            if last < t:
                kept.append((last + 1, t, fence, until))
        self.held = kept
