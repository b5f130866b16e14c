"""Starts nodes with the command of the deploy file, and stand-ins around them."""

import hashlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path
from urllib.request import urlopen

from store import Store
from targets import TRACKED, Ledger, Target
from wire import ClientConnection, Closed, new_attempt_id

# The platform starts processes with the default actions of signals, also where this script was
# started with SIGHUP ignored; children inherit what is set here.
signal.signal(signal.SIGHUP, signal.SIG_DFL)

ROOT = Path(__file__).resolve().parents[2]
NET = random.SystemRandom().randint(20, 250)


def free_ports(host, count):
    """Return free ports of a loopback address, below the ephemeral ones."""
    found = []
    while len(found) < count:
        port = random.randint(11_000, 31_000)
        with socket.socket() as sock:
            try:
                sock.bind((host, port))
            except OSError:
                continue
        if port not in found:
            found.append(port)
    return found


class Node:
    """A node process on a loopback address of its own."""

    def __init__(self, fleet, name, zone, host):
        self.fleet, self.name, self.zone, self.host = fleet, name, zone, host
        self.front, self.ready, self.peer, self.operator = free_ports(host, 4)
        self.process = None
        #: Whether the platform's entry sends new connections to the node.
        self.in_rotation = True
        self._settings = fleet.folder / f"{name}.json"
        self.log = fleet.folder / f"{name}.log"

    def write_settings(self):
        """Write the settings file, with the fields of deploy/node.json."""
        document = {
            "instance_id": self.name,
            "zone": self.zone,
            "host": self.host,
            "callers": f"{self.host}:{self.front}",
            "readiness": f"{self.host}:{self.ready}",
            "peer_port": self.peer,
            "operator_port": self.operator,
            "store": "%s:%d" % self.fleet.store.address,
            "grace": "6s",
            "cpu_share": 0.86,
            "cpu_speed": 1,
            "repeat_ratio": 0.2,
            "repeat_reserve": 56,
        }
        self._settings.write_text(json.dumps(document))

    def start(self):
        """Start the process."""
        self.write_settings()
        roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        command = roles["node"]["run"].split()
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env |= {
            "FOXTAILSHUNT_BOOT": str(self._settings),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            # The bench sets this variable too (DEPLOY.md, "How these days are played").
            "MALLOC_ARENA_MAX": "1",
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )

    def signal(self, number):
        """Send a signal to the process."""
        if self.process.poll() is None:
            os.kill(self.process.pid, number)

    def stop(self):
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def dump(self):
        """Return the node's view, or None."""
        try:
            with urlopen(f"http://{self.host}:{self.operator}/dump", timeout=1) as reply:
                return json.load(reply)
        except (OSError, ValueError):
            return None

    def resident_mb(self):
        """Return the resident memory of the process, in MB; 0 if it has ended."""
        try:
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    def is_ready(self):
        """Return whether the node says that it is ready."""
        try:
            with urlopen(f"http://{self.host}:{self.ready}/api/readiness", timeout=1) as reply:
                return reply.status == 200
        except OSError:
            return False

    def events(self, name):
        """Return the log lines of an event."""
        rows = []
        for line in self.log.read_text(errors="replace").splitlines():
            if f'"{name}"' in line:
                try:
                    rows.append(json.loads(line))
                except ValueError:
                    continue
        return rows


class Fleet:
    """Nodes, targets and the store of a small deployment."""

    def __init__(self, zones=("z1", "z2", "z3"), nodes_per_zone=1):
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._temporary.name)
        self.ledger = Ledger()
        self.store = Store((f"127.{NET}.0.1", 0))
        counts = nodes_per_zone if isinstance(nodes_per_zone, tuple) else [nodes_per_zone] * len(zones)
        self.nodes = [
            Node(self, f"edge-{zone}-{n + 1}", zone, f"127.{NET}.{1 + i}.{10 + n}")
            for i, zone in enumerate(zones)
            for n in range(counts[i])
        ]
        self.targets = []
        self.zones = zones
        self.started = time.monotonic()

    def add_targets(self, service, count, prefix="i", **manner):
        """Add targets of a service, spread over the zones."""
        for n in range(count):
            zone = n % len(self.zones)
            host = f"127.{NET}.{1 + zone}.{100 + len(self.targets)}"
            self.targets.append(
                Target(self.store, self.ledger, f"{prefix}-{service}-{n}", service,
                       self.zones[zone], host, **manner)
            )

    def start_entry(self):
        """Ask each node once a second whether it is ready, as the platform's entry does."""
        threading.Thread(target=self._ask_nodes, daemon=True).start()

    def in_rotation(self, zone):
        """Return the nodes to which the entry sends the clients of a zone.

        These are the zone's nodes in rotation; all of its nodes if fewer than half are; and nodes
        of other zones if none is.
        """
        nodes = [node for node in self.nodes if zone in (None, node.zone)]
        rotated = [node for node in nodes if node.in_rotation]
        if rotated:
            return rotated if 2 * len(rotated) >= len(nodes) else nodes
        return [node for node in self.nodes if node.in_rotation] or nodes

    def _ask_nodes(self):
        misses = dict.fromkeys(self.nodes, 0)
        while True:
            for node in self.nodes:
                misses[node] = 0 if node.is_ready() else misses[node] + 1
                node.in_rotation = misses[node] < 2
            time.sleep(1.0)

    def watch_memory(self, limit_mb, on_kill, restart_s=1.0):
        """Kill each node that exceeds its memory and start it again, as the platform does."""
        self.peak_mb = dict.fromkeys((node.name for node in self.nodes), 0.0)
        self.is_watching = True

        def watch():
            while self.is_watching:
                for node in self.nodes:
                    used = node.resident_mb()
                    self.peak_mb[node.name] = max(self.peak_mb[node.name], used)
                    if used > limit_mb:
                        on_kill(node, used)
                        node.process.kill()
                        node.process.wait()
                        threading.Thread(target=start_again, args=(node,), daemon=True).start()
                time.sleep(0.01)

        def start_again(node):
            time.sleep(restart_s)
            if self.is_watching:
                node.start()

        self._watcher = threading.Thread(target=watch, daemon=True)
        self._watcher.start()

    def stop_watching_memory(self):
        """End the watch, with no further start."""
        self.is_watching = False
        self._watcher.join()
        time.sleep(1.2)

    def configure(self, version, routes, services, idle_timeout="10s"):
        """Write a configuration, as the operator does."""
        document = {
            "version": f"r{version}",
            "routes": routes,
            "services": services,
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 67108864,
                "header_timeout": "3s",
                "idle_timeout": idle_timeout,
            },
        }
        self.store.put("op/config", json.dumps(document).encode())

    def start(self):
        """Start all nodes and wait until they are ready."""
        for node in self.nodes:
            node.start()
        self.wait(lambda: all(node.is_ready() for node in self.nodes), 25, "nodes are ready")

    def leader(self):
        """Return the node that leads, or None."""
        for node in self.nodes:
            if node.process is None or node.process.poll() is not None:
                continue
            dump = node.dump()
            if dump and dump["leads"]:
                return node
        return None

    def wait(self, condition, timeout_s, what):
        """Wait for a condition; raise TimeoutError if it isn't met in time."""
        end = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > end:
                raise TimeoutError(what)
            time.sleep(0.05)

    def wait_at_most(self, condition, timeout_s):
        """Wait for a condition; return whether it was met in time."""
        end = time.monotonic() + timeout_s
        while not condition() and time.monotonic() < end:
            time.sleep(0.002)
        return condition()

    def keys_are_held(self):
        """Return whether every tracked key is held by a target."""
        now = time.monotonic()
        held = set()
        for life in list(self.ledger.lives):
            held |= {key for key in list(life.held) if life.holds(key, now)}
        return len(held) == len(TRACKED)

    def close(self):
        """End all processes."""
        for node in self.nodes:
            node.stop()
        for target in self.targets:
            target.life.end()
        self._temporary.cleanup()


def route(host, prefix, kind, service, timeout="1500ms", priority=1, max_attempts=2):
    """Return a route of a configuration."""
    return {
        "host": host, "prefix": prefix, "route_type": kind, "timeout": timeout, "aim": "500ms",
        "priority": priority, "service": service, "max_attempts": max_attempts,
    }


class Clients:
    """Clients that send requests on kept connections, as PROTOCOL.md says."""

    def __init__(
        self, fleet, specs, count, pause_s=0.05, deadline_ms=2500, seed=1, body_bytes=None,
        bytes_per_s=None, one_chunk=False, zone=None,
    ):
        self._fleet, self._specs, self._pause_s, self._deadline_ms = fleet, specs, pause_s, deadline_ms
        #: A body that all requests have; None for a new short one each.
        self._body = None if body_bytes is None else random.Random(seed).randbytes(body_bytes)
        self._one_chunk = one_chunk
        #: Zone of the clients; None for clients of all zones.
        self._zone = zone
        #: How fast a client sends; None for as fast as the connection takes it.
        self._bytes_per_s = bytes_per_s
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self.outcomes = []
        rng = random.Random(seed)
        self._threads = [
            threading.Thread(target=self._run, args=(random.Random(rng.random()),), daemon=True)
            for _ in range(count)
        ]

    def start(self):
        """Start to send."""
        for thread in self._threads:
            thread.start()

    def stop(self):
        """Stop sending and wait for the requests in progress."""
        self._stopping.set()
        for thread in self._threads:
            thread.join(6)

    def _run(self, rng):
        node, conn = None, None
        self._stopping.wait(rng.uniform(0, 2 * self._pause_s))
        while not self._stopping.is_set():
            name, method, host, path, sharded = rng.choice(self._specs)
            if node is None or conn is None:
                node = rng.choice(self._fleet.in_rotation(self._zone))
            body = b""
            if method != "GET":
                body = self._body or rng.randbytes(rng.randint(10, 3000))
            row = {"attempt": new_attempt_id(), "kind": name, "method": method, "node": node.name,
                   "path": path + f"{rng.randint(0, 9999)}", "at": time.monotonic(), "status": None,
                   "body": hashlib.sha256(body).hexdigest()[:12], "reused": conn is not None}
            headers = {"Host": host, "Attempt-Id": row["attempt"], "Deadline-Ms": str(self._deadline_ms)}
            if sharded:
                row["key"] = rng.choice(TRACKED)
                headers["Shard-Key"] = str(row["key"])
            try:
                if conn is None:
                    conn = ClientConnection((node.host, node.front), self._deadline_ms / 1000 + 1)
                status, got, data = conn.exchange(
                    method, row["path"], headers, body, self._bytes_per_s, self._one_chunk
                )
                row |= {"status": status, "seal": got.get("response-seal"), "data": data,
                        "echo": got.get("attempt-id")}
                if got.get("connection", "").lower() == "close":
                    conn.close()
                    conn = None
            except (OSError, Closed, ValueError, IndexError) as exc:
                row["error"] = f"{type(exc).__name__}: {exc}"
                if conn is not None:
                    conn.close()
                conn = None
            row["done"] = time.monotonic()
            with self._lock:
                self.outcomes.append(row)
            self._stopping.wait(rng.uniform(0, 2 * self._pause_s))
            if rng.random() < 0.05 and conn is not None:
                conn.close()
                conn = None


def audit(outcomes, runs):
    """Return the broken rules that clients and targets have seen."""
    found = []
    by_attempt = {}
    for run in runs:
        by_attempt.setdefault(run["attempt"], []).append(run)
    known = {row["attempt"]: row for row in outcomes}
    for attempt, ran in by_attempt.items():
        row = known.get(attempt)
        if row is None:
            continue
        if row["kind"] == "unsafe" and len(ran) > 1:
            found.append(f"TWICE {attempt} ran {len(ran)} times, the client got {row['status']}")
        if row["kind"] == "unsafe" and row["status"] in (408, 421, 429, 503):
            found.append(f"REFUSED {attempt} ran, and the client got {row['status']}")
        for run in ran:
            if (run["method"], run["path"], run["body"]) != (row["method"], row["path"], row["body"]):
                found.append(f"UNASKED {attempt} was changed: {run} {row}")
    for row in outcomes:
        if row["status"] is not None and 200 <= row["status"] < 300:
            data = row["data"]
            seal = hashlib.sha256(b"seal" + data).hexdigest()[:16]
            if row["seal"] != seal or not data.startswith(row["attempt"].encode() + b" "):
                found.append(f"MIXED {row['attempt']} got {data[:60]!r} with seal {row['seal']}")
    return found
