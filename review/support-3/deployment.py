"""A small deployment: the project's nodes as processes, and stand-ins for all else."""

import asyncio
import json
import os
import random
import resource
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import uuid
from pathlib import Path

from http_io import ClientConnection
from platform_store import Store

from target import Target

ROOT = Path(__file__).resolve().parents[2]
#: The start command of the deploy file.
RUN = ["python3", "-m", "foxtailshunt.cli.node"]
PORTS = {"front": 8161, "ready": 8167, "peer": 7720, "operator": 9400}
HOST_NAME = "ficu95.example"

LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 67108864,
    "header_timeout": "3000ms",
    "idle_timeout": "15000ms",
}


def route(prefix, service, kind="safe", timeout="1000ms", aim="500ms", priority=1, attempts=2):
    """Return a route of the operator's configuration."""
    return {
        "host": HOST_NAME,
        "prefix": prefix,
        "route_type": kind,
        "timeout": timeout,
        "aim": aim,
        "priority": priority,
        "service": service,
        "max_attempts": attempts,
    }


def service(sharded, max_conns=130):
    """Return a service of the operator's configuration."""
    entry = {"health_path": "/health", "max_conns": max_conns, "protocol": "h1", "tls": False}
    return entry | ({"sharded": True, "warm": "5s", "grants": "call"} if sharded else {})


class Record:
    """What was sent, answered and run, for ``record.txt``."""

    def __init__(self):
        self.started = time.monotonic()
        self.rows = []

    def __call__(self, event, **fields):
        self.rows.append((time.monotonic() - self.started, event, fields))

    def now(self):
        return time.monotonic() - self.started

    def of(self, event):
        return [(at, fields) for at, name, fields in self.rows if name == event]

    def write(self, path, head):
        lines = [*head, ""]
        for at, event, fields in self.rows:
            text = " ".join(f"{k}={v}" for k, v in fields.items())
            lines.append(f"{at:9.3f} {event} {text}")
        Path(path).write_text("\n".join(lines) + "\n", encoding="utf-8")


class Deployment:
    """Store, targets and nodes; each machine has a loopback address of its own.

    :param zones: number of nodes by zone.
    :param max_fds: descriptors of a node.
    """

    def __init__(self, zones, max_fds=4100, memory_mb=300, cpu_share=0.86, drain_bound="2000ms"):
        self.record = Record()
        self.zones, self.max_fds = zones, max_fds
        self.memory_mb, self.cpu_share = memory_mb, cpu_share
        self.net = self._free_net()
        self.store = Store()
        self.targets = {}
        self.nodes = {}
        self.hosts = {}
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.version = 0
        self.config = None
        self._next_host = 10

    @staticmethod
    def _free_net():
        while True:
            net = random.SystemRandom().randint(30, 250)
            try:
                for port in (8169, *PORTS.values()):
                    with socket.socket() as probe:
                        probe.bind((f"127.{net}.0.1", port))
                return net
            except OSError:
                continue

    @property
    def store_address(self):
        return f"127.{self.net}.0.1", 8169

    async def start(self):
        await self.store.start(*self.store_address)

    async def add_target(self, target_id, service_name, zone, keyed, **options):
        target = Target(
            self.store, target_id, service_name, zone, keyed, log=self.record, **options
        )
        self._next_host += 1
        await target.start(
            f"127.{self.net}.{100 + self._next_host // 200}.{1 + self._next_host % 200}"
        )
        self.targets[target_id] = target
        return target

    async def configure(self, routes, services):
        """Write a configuration; return when the store has confirmed it."""
        self.version += random.SystemRandom().randint(1, 4)
        self.config = {
            "version": f"r{self.version}",
            "routes": routes,
            "services": services,
            "limits": LIMITS,
        }
        await self.store.put("op/config", json.dumps(self.config).encode())
        at = self.record.now()
        self.record("config", version=f"r{self.version}", routes=",".join(routes))
        return at

    def start_nodes(self):
        for index, (zone, count) in enumerate(self.zones.items(), start=1):
            for number in range(count):
                name = f"edge-{zone}-{number + 1}"
                self.hosts[name] = (f"127.{self.net}.{index}.{10 + number}", zone)
                self.start_node(name)

    def start_node(self, name):
        host, zone = self.hosts[name]
        settings = {
            "instance_id": name,
            "zone": zone,
            "host": host,
            "callers": f"{host}:{PORTS['front']}",
            "readiness": f"{host}:{PORTS['ready']}",
            "peer_port": PORTS["peer"],
            "operator_port": PORTS["operator"],
            "store": "%s:%d" % self.store_address,
            "grace": "6s",
            "cpu_share": self.cpu_share,
            "cpu_speed": 1,
            "repeat_ratio": 0.2,
            "repeat_reserve": 62,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "own", "platform"],
            "memory_mb": self.memory_mb,
            "max_fds": self.max_fds,
            "region": "southern-alps",
            "zone_regions": {zone: "southern-alps" for zone in self.zones},
        }
        path = self.folder / f"{name}.conf"
        path.write_text(json.dumps(settings), encoding="utf-8")
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env |= {"FOXTAILSHUNT_BOOT": str(path), "PYTHONPATH": str(ROOT / "target" / "deps")}
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        out = open(self.folder / f"{name}.log", "ab")
        self.nodes[name] = subprocess.Popen(
            RUN,
            cwd=ROOT,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=out,
            stderr=out,
            preexec_fn=lambda: resource.setrlimit(
                resource.RLIMIT_NOFILE, (self.max_fds, self.max_fds)
            ),
        )
        out.close()
        self.record("start", node=name, pid=self.nodes[name].pid)

    def signal(self, name, number):
        self.record("signal", node=name, signal=signal.Signals(number).name)
        self.nodes[name].send_signal(number)

    def front(self, name):
        return self.hosts[name][0], PORTS["front"]

    async def is_ready(self, name):
        conn = ClientConnection()
        try:
            await conn.open((self.hosts[name][0], PORTS["ready"]), timeout_s=0.5)
            await conn.send("GET", "/api/readiness", [("Host", "x")])
            status, _, _ = await asyncio.wait_for(conn.receive(), 0.5)
            return status == 200
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        finally:
            conn.close()

    async def wait_ready(self, timeout_s=40.0):
        """Wait until all nodes say that they are ready, and every key is granted."""
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            ready = [await self.is_ready(name) for name in self.nodes]
            if all(ready) and self._all_granted():
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the nodes did not become ready")

    def _all_granted(self):
        for name in {t.service for t in self.targets.values() if t.keyed}:
            count = 0
            for t in self.targets.values():
                if t.service == name:
                    now = time.monotonic()
                    count += sum(
                        last - first + 1 for first, last, _, until in t.held if until > now
                    )
            if count < 65536:
                return False
        return True

    def leader(self):
        """Return the machine that last wrote to the store under a condition."""
        for at, host, path, _ in reversed(self.store.calls):
            if path == "/api/kv-txn":
                return next(name for name, (ip, _) in self.hosts.items() if ip == host)
        raise RuntimeError("no machine has written to the store")

    async def ask(
        self, name, method, target, deadline_ms=2000, key=None, body=b"", conn=None, quiet=False
    ):
        """Send one request as a client does; return its id and the status, 0 for none."""
        attempt = uuid.uuid4().hex[:16]
        headers = [("Host", HOST_NAME), ("Attempt-Id", attempt), ("Deadline-Ms", str(deadline_ms))]
        if key is not None:
            headers.append(("Shard-Key", str(key)))
        own = conn is None
        conn = conn or ClientConnection()
        sent = self.record.now()
        status, answer, data = 0, {}, b""
        try:
            if own:
                await conn.open(self.front(name))
            if not quiet:
                self.record("send", node=name, id=attempt, target=target, key=key)
            sent = self.record.now()
            await conn.send(method, target, headers, body)
            status, answer, data = await asyncio.wait_for(conn.receive(), deadline_ms / 1000 + 1.0)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError) as exc:
            answer = {"error": type(exc).__name__}
        finally:
            if own:
                conn.close()
        if not quiet:
            self.record(
                "answer",
                id=attempt,
                status=status,
                **{
                    k: v
                    for k, v in answer.items()
                    if k in ("error", "retry-after", "x-result-code")
                },
            )
        return {
            "id": attempt,
            "status": status,
            "sent": sent,
            "done": self.record.now(),
            "headers": answer,
            "body": data,
            "node": name,
        }

    async def close(self):
        for process in self.nodes.values():
            if process.poll() is None:
                process.kill()
        for process in self.nodes.values():
            process.wait()
        for target in self.targets.values():
            await target.end()
        await self.store.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder, case, limit_s=110.0):
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 if it could not run.

    :param case: coroutine function from a deployment factory and whether there is trouble to a list
        of breaches and a summary; it gets ``made``, a list to which it adds its deployment.
    """
    import sys
    import traceback

    trouble = os.environ.get("TROUBLE", "1") != "0"
    made = []
    code, head = 2, []

    def stop(*_):
        # So that the processes end also if this one is asked to.
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
        sys.exit(2)

    signal.signal(signal.SIGTERM, stop)

    async def guarded():
        try:
            return await asyncio.wait_for(case(made, trouble), limit_s)
        finally:
            for deployment in made:
                deployment.logs = {
                    p.name: p.read_text(errors="replace") for p in deployment.folder.glob("*.log")
                }
                await deployment.close()

    try:
        breaches, summary = asyncio.run(guarded())
        code = 1 if breaches else 0
        head = [f"trouble: {int(trouble)}", f"exit: {code}", *summary, *breaches[:40]]
    except BaseException as exc:
        head = ["exit: 2", *traceback.format_exception(exc)]
    finally:
        for deployment in made:
            for process in deployment.nodes.values():
                if process.poll() is None:
                    process.kill()
                    process.wait()
    print("\n".join(head))
    for deployment in made:
        deployment.record.write(Path(folder) / "record.txt", head)
        if os.environ.get("KEEP_LOGS"):
            for name, text in getattr(deployment, "logs", {}).items():
                (Path(os.environ["KEEP_LOGS"]) / name).write_text(text)
    sys.exit(code)
