"""Stand-in for a target that holds keys, as PROTOCOL.md describes it."""

import hashlib
import json
import threading
import time

from wire import Server, is_closed, response_bytes

#: Only these keys are tracked and used; the checks of ownership look at them.
TRACKED = tuple(range(128, 65_536, 256))
KEY_COUNT = 65_536
#: How often a target checks in at the store, in seconds.
CHECK_IN_S = 0.87


class Ledger:
    """What all targets have run and held, for the checks."""

    def __init__(self):
        self.lock = threading.Lock()
        self.runs = []
        self.grants = []
        #: Findings of rule OWNER.
        self.findings = []
        #: Keys that a target took while another one held them, and for how long it did so after.
        self.overlaps = []
        self.lives = []

    def record_run(self, **row):
        """Record that a target began to work on a request."""
        with self.lock:
            self.runs.append(row)


class Life:
    """One lifetime of a target: it starts without keys and knows nothing of before."""

    def __init__(self, target_id, service, zone, address, ledger, sharded=True, slots=2, work_s=0.05):
        self.target_id, self.service, self.zone = target_id, service, zone
        self.sharded, self.slots, self.work_s = sharded, slots, work_s
        self.born = int(time.time() * 1000)
        self.is_up = True
        #: Hosts whose connections to this target are cut; None for all.
        self.cut_from = set()
        self.is_dark = False
        #: Called when a grant has been taken, with its first key and its epoch number.
        self.on_grant = lambda first, fence: None
        #: Changes the bytes of an answer to a request, or returns None to reset the connection.
        self.spoil = lambda life, req, reply: reply
        self._ledger = ledger
        self._lock = threading.Condition()
        self._seen = dict.fromkeys(TRACKED, 0)
        #: Fence and end of the hold by tracked key.
        self.held = {}
        self._working = {}
        self._busy = 0
        ledger.lives.append(self)
        self._server = Server(address, self._serve, self._is_silent)
        self.address = self._server.address

    def _is_silent(self, host):
        return self.is_dark or host in self.cut_from

    def go_dark(self):
        """Answer nothing from now on, neither on open connections nor on new ones."""
        self.is_dark = True
        self._server.become_unreachable()

    def become_unreachable(self):
        """Let new connections hang, as behind a cut; ``cut_from`` silences the open ones."""
        self._server.become_unreachable()

    def become_reachable(self):
        """Accept new connections again."""
        self._server.become_reachable()

    def return_from_dark(self):
        """Answer again, on new connections."""
        self.is_dark = False
        self._server.become_reachable()

    def end(self, with_reset=True):
        """End this lifetime."""
        self.is_up = False
        self._server.close(with_reset)

    def entry(self, state="ready", seq=1):
        """Return the entry of this lifetime in the store."""
        host, port = self.address
        return json.dumps(
            {
                "service": self.service,
                "address": f"{host}:{port}",
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": state,
                "warmup_left": "0ms",
                "seq": seq,
                "born": self.born,
            }
        ).encode()

    def holds(self, key, now):
        """Return whether a key is held."""
        fence, until = self.held.get(key, (0, 0.0))
        return self.is_up and until > now

    def _serve(self, req):
        arrived = time.monotonic()
        if not self.is_up:
            return None
        expected = req.headers.get("expect-instance")
        if expected is not None and expected != self.target_id:
            return response_bytes(421, self._refusal(req) + (("Instance-Id", self.target_id),))
        if req.target == "/api/grant":
            return self._grant(json.loads(req.body), arrived)
        if req.target == "/api/release":
            return self._release(json.loads(req.body))
        return self._run(req)

    def _refusal(self, req):
        return (("Not-Executed", "1"), ("Attempt-Id", req.headers.get("attempt-id", "")))

    def _grant(self, call, arrived):
        first, last, fence = call["from"], call["to"], call["fence"]
        text = call["hold_time"]
        hold_s = float(text[:-2]) / 1000 if text.endswith("ms") else float(text[:-1])
        keys = [key for key in TRACKED if first <= key <= last]
        with self._ledger.lock, self._lock:
            if not self.is_up or not self.sharded:
                return None
            if any(self._seen[key] > fence for key in keys):
                return response_bytes(409)
            now = time.monotonic()
            for key in keys:
                self._seen[key] = fence
                old_fence, until = self.held.get(key, (0, 0.0))
                is_new = old_fence != fence or until <= now
                self.held[key] = (fence, max(until if old_fence == fence else 0.0, arrived + hold_s))
                if is_new:
                    self._check_owner(key, fence, now)
        self.on_grant(first, fence)
        return response_bytes(200)

    def _check_owner(self, key, fence, now):
        self._ledger.grants.append((now, key, self.target_id, self.born, fence))
        for other in self._ledger.lives:
            if other is self or other.service != self.service:
                continue
            if other.holds(key, now):
                self._ledger.overlaps.append(
                    {"key": key, "taker": self.target_id, "fence": fence,
                     "holder": other.target_id, "held_with": other.held[key][0],
                     "for_s": other.held[key][1] - now}
                )
                self._ledger.findings.append(
                    f"key {key}: {self.target_id} takes it with {fence} while {other.target_id}"
                    f" holds it with {other.held[key][0]} for {other.held[key][1] - now:.3f} s more"
                )
            had = other.held.get(key)
            if had is not None and had[0] >= fence:
                what = "another life" if other.target_id == self.target_id else "another target"
                self._ledger.findings.append(
                    f"key {key}: {self.target_id} takes it with {fence}, which {what}"
                    f" {other.target_id} had with {had[0]}"
                )

    def _release(self, call):
        keys = [key for key in TRACKED if call["from"] <= key <= call["to"]]
        with self._lock:
            for key in keys:
                self._seen[key] = max(self._seen[key], call["fence"])
                if key in self.held:
                    self.held[key] = (self.held[key][0], 0.0)
            while any(self._working.get(key) for key in keys):
                self._lock.wait(0.2)
        return response_bytes(200, (("Handover", f"h{call['fence']}"),))

    def _run(self, req):
        attempt = req.headers.get("attempt-id", "")
        if not attempt:
            return response_bytes(400, (("Not-Executed", "1"),))
        key = int(req.headers.get("shard-key", "0"))
        with self._lock:
            if self.sharded and not self.holds(key, time.monotonic()):
                return response_bytes(421, self._refusal(req))
            if self._busy >= self.slots + 4:
                return response_bytes(503, self._refusal(req))
            self._busy += 1
            self._working[key] = self._working.get(key, 0) + 1
        self._ledger.record_run(
            at=time.monotonic(), attempt=attempt, target=self.target_id, born=self.born, key=key,
            method=req.method, path=req.target, body=hashlib.sha256(req.body).hexdigest()[:12],
        )
        try:
            end = time.monotonic() + self.work_s
            while time.monotonic() < end:
                time.sleep(min(0.01, max(0.0, end - time.monotonic())))
                if is_closed(req.sock) or not self.is_up:
                    return None
        finally:
            with self._lock:
                self._busy -= 1
                self._working[key] -= 1
                self._lock.notify_all()
        body = f"{attempt} {self.target_id}".encode()
        headers = (
            ("Attempt-Id", attempt),
            ("Response-Seal", hashlib.sha256(b"seal" + body).hexdigest()[:16]),
            ("Keep-Alive", "timeout=10"),
        )
        return self.spoil(self, req, response_bytes(200, headers, body))


class Target:
    """A target that registers itself and may start again under the same id."""

    def __init__(self, store, ledger, target_id, service, zone, host, **manner):
        self._store, self._ledger, self._manner = store, ledger, manner
        self.target_id, self.service, self.zone = target_id, service, zone
        self._seq = 0
        self.state = "ready"
        self.is_cut_from_store = False
        self.life = Life(target_id, service, zone, (host, 0), ledger, **manner)
        threading.Thread(target=self._check_in, daemon=True).start()
        self.register()

    def register(self):
        """Write the entry to the store."""
        if self.is_cut_from_store or self._store.is_silent or not self.life.is_up or self.life.is_dark:
            return
        self._seq += 1
        self._store.put(f"servers/{self.target_id}", self.life.entry(self.state, self._seq))

    def start_again(self):
        """Start a new lifetime under the same id and address."""
        address = self.life.address
        self.life.end()
        self._seq = 0
        for _ in range(50):
            try:
                self.life = Life(
                    self.target_id, self.service, self.zone, address, self._ledger, **self._manner
                )
                break
            except OSError:
                time.sleep(0.02)
        self.register()

    def _check_in(self):
        while True:
            time.sleep(CHECK_IN_S)
            self.register()
