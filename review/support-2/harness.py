"""Starts nodes as separate processes and stand-ins of store, upstreams and callers beside them."""

import http.client
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

from standins.keyowner import KeyOwner  # noqa: E402
from standins.metadata import MetadataServer, MetadataStore  # noqa: E402

#: What the disruption is switched with.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
#: Bounds of the site ``kearidge-beacons``, in seconds.
CONTACT_S, CONFIG_S, OUTER_S = 3.0, 2.0, 5.0
KEPT, BROKEN, NOT_RUN = 0, 1, 2


class NotRunError(Exception):
    """The case could not run."""


class Record:
    """Writes what was sent, answered and run to ``record.txt`` of a case."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._began = time.monotonic()

    def write(self, text: str) -> None:
        """Write a line with the time since the start, in seconds."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self._began:8.3f} {text}\n")
            self._file.flush()


class Node:
    """The node of one instance."""

    def __init__(self, fleet: "Fleet", name: str, zone: str, host: str, changes: dict) -> None:
        self.name = name
        self.host = host
        self.callers = (host, fleet.free_port(host))
        self.readiness = (host, fleet.free_port(host))
        self.operator_port = fleet.free_port(host)
        self._fleet = fleet
        settings = {
            "instance_id": name,
            "zone": zone,
            "host": host,
            "callers": f"{host}:{self.callers[1]}",
            "readiness": f"{host}:{self.readiness[1]}",
            "peer_port": fleet.free_port(host),
            "operator_port": self.operator_port,
            "store": "{}:{}".format(*fleet.store_address),
            "grace": "6s",
            "cpu_share": 0.86,
            "cpu_speed": 1,
            "repeat_ratio": 0.2,
            "repeat_reserve": 62,
            "contracts": "base,drain,config,cost,retry,recover,own,platform".split(","),
            "memory_mb": 300,
            "max_fds": 4100,
        } | changes
        self._settings = fleet.folder / f"{name}.json"
        self._settings.write_text(json.dumps(settings))
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process with the run command of the deploy file."""
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env |= {
            "FOXTAILSHUNT_BOOT": str(self._settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "MALLOC_ARENA_MAX": "1",
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with (self._fleet.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "foxtailshunt.cli.node"],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._fleet.record.write(f"node {self.name} started, pid {self.process.pid}")

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)
        self._fleet.record.write(f"node {self.name} gets {signal.Signals(number).name}")

    def is_ready(self) -> bool:
        """Return whether the readiness check answers 200."""
        try:
            return get(self.readiness, "/api/readiness")[0] == 200
        except OSError:
            return False

    def rss_mb(self) -> float:
        """Return the resident memory of the process in MB, 0 if it has ended."""
        assert self.process is not None
        try:
            fields = Path(f"/proc/{self.process.pid}/statm").read_text().split()
        except OSError:
            return 0.0
        return int(fields[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6 if fields else 0.0

    def log(self) -> list[dict]:
        """Return the log lines of the process."""
        lines = (self._fleet.folder / f"{self.name}.log").read_text(errors="replace").splitlines()
        found = []
        for line in lines:
            try:
                found.append(json.loads(line))
            except ValueError:
                continue
        return found


class Gate:
    """A TCP proxy before the store that can be closed; all connections are reset then."""

    def __init__(self, address: tuple[str, int], target: tuple[str, int]) -> None:
        self._address = address
        self._target = target
        self._lock = threading.Lock()
        self._listener: socket.socket | None = None
        self._open: set[socket.socket] = set()

    @property
    def is_open(self) -> bool:
        """Return whether connections are accepted."""
        return self._listener is not None

    def open(self) -> None:
        """Accept connections."""
        listener = socket.create_server(self._address, backlog=256)
        self._listener = listener
        threading.Thread(target=self._accept, args=(listener,), daemon=True).start()

    def close(self) -> None:
        """Refuse new connections and reset the others."""
        listener, self._listener = self._listener, None
        if listener is not None:
            listener.shutdown(socket.SHUT_RDWR)
            listener.close()
        with self._lock:
            found, self._open = self._open, set()
        for sock in found:
            _reset(sock)

    def _accept(self, listener: socket.socket) -> None:
        while self._listener is listener:
            try:
                near = listener.accept()[0]
            except OSError:
                return
            try:
                far = socket.create_connection(self._target, 2)
            except OSError:
                _reset(near)
                continue
            far.settimeout(None)
            with self._lock:
                self._open |= {near, far}
            for source, sink in ((near, far), (far, near)):
                sock_pair = (source, sink)
                threading.Thread(target=self._forward, args=sock_pair, daemon=True).start()

    def _forward(self, source: socket.socket, sink: socket.socket) -> None:
        try:
            while data := source.recv(65_536):
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            _reset(source)
            _reset(sink)


def _reset(sock: socket.socket) -> None:
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    sock.close()


class Fleet:
    """Nodes, the store and upstreams on loopback addresses."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self._temporary = tempfile.TemporaryDirectory(prefix="review-2-")
        self.folder = Path(self._temporary.name)
        self._random = random.Random()
        self._net = self._random.randint(20, 220)
        self._ports: set[tuple[str, int]] = set()
        self.store = MetadataStore()
        self.store_address = (self.host(1), self.free_port(self.host(1)))
        self._server_address = (self.host(1), self.free_port(self.host(1)))
        self.server: MetadataServer | None = None
        self.gate = Gate(self.store_address, self._server_address)
        self.nodes: list[Node] = []
        self.upstreams: list[KeyOwner] = []

    def host(self, number: int) -> str:
        """Return a loopback address."""
        return f"127.{self._net}.0.{number}"

    def free_port(self, host: str) -> int:
        """Return a port that nothing listens on."""
        while True:
            port = self._random.randint(10_000, 30_000)
            if (host, port) in self._ports:
                continue
            with socket.socket() as sock:
                try:
                    sock.bind((host, port))
                except OSError:
                    continue
            self._ports.add((host, port))
            return port

    def start_store(self) -> None:
        """Let the store answer."""
        if self.server is None:
            self.server = MetadataServer(self.store, self._server_address)
        self.gate.open()
        self.record.write(f"the store answers, era {self.store.era}")

    def stop_store(self) -> None:
        """Let the store be away: it resets all connections and refuses new ones."""
        self.gate.close()
        self.record.write("the store is away")

    def add_node(self, zone: str, **changes) -> Node:
        """Add a node; it is not started."""
        number = len(self.nodes) + 10
        node = Node(self, f"edge-{zone}-{number}", zone, self.host(number), changes)
        self.nodes.append(node)
        return node

    def add_upstream(self, service: str, zone: str, keyed: bool, **changes) -> KeyOwner:
        """Add an upstream and register it."""
        number = len(self.upstreams) + 100
        host = self.host(number)
        listen = (host, self.free_port(host))
        upstream = KeyOwner(
            f"i-{number}", service, zone, self.store, keyed=keyed, listen=listen, **changes
        )
        self.upstreams.append(upstream)
        return upstream

    def register(self, name, service, address, zone, sequence) -> None:
        """Write the entry of an upstream that is not a ``KeyOwner``."""
        entry = {
            "service": service,
            "address": f"{address[0]}:{address[1]}",
            "zone": zone,
            "version": "v1",
            "slots": 2,
            "state": "ready",
            "warmup_left": "0ms",
            "seq": sequence,
            "born": 1_700_000_000_000,
        }
        self.store.put(f"servers/{name}", json.dumps(entry).encode())

    def write_config(self, version: int, routes: dict, services: dict, limits: dict | None = None):
        """Write a configuration as the operator; return when the store has confirmed it."""
        document = {
            "version": f"r{version}",
            "routes": routes,
            "services": services,
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 67108864,
                "header_timeout": "3000ms",
                "idle_timeout": "15000ms",
            }
            | (limits or {}),
        }
        self.store.put("op/config", json.dumps(document).encode())
        self.record.write(f"operator: r{version} confirmed, routes {sorted(routes)}")
        return time.monotonic()

    def wait_ready(self, timeout_s: float = 25.0) -> None:
        """Wait until all nodes that were started are ready."""
        end = time.monotonic() + timeout_s
        started = [node for node in self.nodes if node.process is not None]
        while not all(node.is_ready() for node in started):
            if time.monotonic() > end:
                for node in started:
                    for line in node.log()[-5:]:
                        self.record.write(f"{node.name}: {line}")
                raise NotRunError("the nodes did not become ready")
            time.sleep(0.1)
        self.record.write("all nodes are ready")

    def stop(self) -> None:
        """End all processes and stand-ins."""
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
        if not os.environ.get("KEEP_LOGS"):
            self._temporary.cleanup()


def get(address, path: str, headers: dict | None = None, timeout_s: float = 3.0):
    """Send a GET request on a new connection; return the status, the headers and the body."""
    return ask(address, "GET", path, headers, b"", timeout_s)


def ask(address, method, path, headers=None, body=b"", timeout_s=3.0):
    """Send a request on a new connection; return the status, the headers and the body."""
    conn = http.client.HTTPConnection(*address, timeout=timeout_s)
    try:
        conn.request(method, path, body or None, headers or {})
        response = conn.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    finally:
        conn.close()


def route(host: str, prefix: str, service: str, kind: str = "safe", **changes) -> dict:
    """Return a route of a configuration."""
    return {
        "host": host,
        "prefix": prefix,
        "route_type": kind,
        "timeout": "2000ms",
        "aim": "500ms",
        "priority": 1,
        "service": service,
        "max_attempts": 2,
    } | changes


def service(keyed: bool) -> dict:
    """Return a service of a configuration."""
    found = {"health_path": "/health", "max_conns": 130, "protocol": "h1", "tls": False}
    return found | ({"sharded": True, "warm": "5s", "grants": "call"} if keyed else {})


def run(folder: Path, case) -> None:
    """Run a case and exit with its result; end all processes also if this one gets SIGTERM."""

    def stop(number: int, frame: object) -> None:
        for each in (signal.SIGTERM, signal.SIGINT):
            signal.signal(each, signal.SIG_IGN)
        raise NotRunError(f"ended by {signal.Signals(number).name}")

    fleet = Fleet(folder)
    try:
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, stop)
        result = case(fleet)
    except NotRunError as exc:
        fleet.record.write(f"could not run: {exc}")
        result = NOT_RUN
    except Exception as exc:
        fleet.record.write(f"could not run: {type(exc).__name__}: {exc}")
        result = NOT_RUN
    finally:
        fleet.stop()
    words = {KEPT: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}
    fleet.record.write(f"result {result}: {words[result]}")
    print(f"result {result}: {words[result]}", flush=True)
    os._exit(result)
