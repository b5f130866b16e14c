"""Store, upstreams and nodes of one scenario."""

import json
import shutil
import tempfile
import time
import uuid
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import urllib3

from standins.fleet import NodeProcess
from standins.http import free_port
from standins.keyowner import KeyOwner, find_overlaps
from standins.metadata import MetadataServer, MetadataStore

HOST = "callers.example"
_WAIT_TIMEOUT_S = 30.0
_POLL_INTERVAL_S = 0.02


@dataclass(frozen=True)
class CallerAnswer:
    """A response as a caller receives it."""

    #: HTTP status; 0 if the connection ended without a response.
    status: int
    #: Response body.
    body: str
    #: Response headers by lower-case name.
    headers: dict[str, str]
    #: Id of the request.
    request_id: str


class NodeFleet:
    """Starts store, upstreams and nodes for a scenario, and stops just those."""

    def __init__(self) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="nodes-"))
        self.store = MetadataStore()
        self.server = MetadataServer(self.store)
        self.owners: dict[str, KeyOwner] = {}
        self.nodes: dict[str, NodeProcess] = {}
        self.version = 0

    def add_owner(
        self, upstream_id: str, service: str, zone: str = "zone-a", **options: Any
    ) -> KeyOwner:
        """Start an upstream that registers itself in the store."""
        owner = KeyOwner(upstream_id, service, zone, self.store, **options)
        self.owners[upstream_id] = owner
        return owner

    def add_node(self, name: str, **settings: Any) -> NodeProcess:
        """Start a node process, with additional settings."""
        node = NodeProcess(self._settings(name) | settings, self.folder)
        self.nodes[name] = node
        node.process.start()
        return node

    def _settings(self, name: str) -> dict[str, Any]:
        host, port = self.server.address
        return {
            "instance_id": name,
            "zone": "zone-a",
            "host": "127.0.0.1",
            "callers": f"127.0.0.1:{free_port()}",
            "readiness": f"127.0.0.1:{free_port()}",
            "peer_port": free_port(),
            "operator_port": free_port(),
            "store": f"{host}:{port}",
            "grace": "6s",
            "repeat_ratio": 0.2,
            "repeat_reserve": 60,
        }

    def configure(
        self,
        routes: dict[str, Any],
        services: dict[str, bool],
        service_fields: dict[str, dict[str, Any]] | None = None,
        max_body_bytes: int = 1_000_000,
    ) -> None:
        """Write the next version of the configuration; services by name, true if sharded."""
        self.version += 1
        document = {
            "version": f"r{self.version}",
            "routes": {
                name: {
                    "host": HOST,
                    "prefix": f"/{name}/",
                    "route_type": "unsafe",
                    "timeout": "2000ms",
                    "aim": "500ms",
                    "priority": 0,
                    "max_attempts": 2,
                }
                | route
                for name, route in routes.items()
            },
            "services": {
                name: {"health_path": "/health", "max_conns": 100, "sharded": keyed}
                | (service_fields or {}).get(name, {})
                for name, keyed in services.items()
            },
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": max_body_bytes,
                "header_timeout": "3000ms",
                "idle_timeout": "15000ms",
            },
        }
        self.store.put("op/config", json.dumps(document).encode())

    def wait_until(self, condition: Callable[[], bool], description: str) -> None:
        """Wait until a condition holds; the timeout allows for a machine under load."""
        deadline = time.monotonic() + _WAIT_TIMEOUT_S
        while time.monotonic() < deadline:
            if condition():
                return
            time.sleep(_POLL_INTERVAL_S)
        raise AssertionError(f"timed out after {_WAIT_TIMEOUT_S} s waiting for: {description}")

    def wait_until_serving(self) -> None:
        """Wait until all nodes are ready and all keys of sharded services are held."""
        for node in self.nodes.values():
            self.wait_until(node.is_ready, f"{node.name} is ready")
        services = {owner.service for owner in self.owners.values() if owner.keyed}
        for service in services:
            self.wait_until(
                lambda name=service: self.held_key_count(name) == 65_536, "all keys are held"
            )

    def held_key_count(self, service: str) -> int:
        """Return the number of keys that the upstreams of a service hold in total."""
        owners = [owner for owner in self.owners.values() if owner.service == service]
        return sum(owner.grants.held_count() for owner in owners)

    def leader(self) -> str | None:
        """Return the name of the leader recorded in the store, or None."""
        item = self.store.read("foxtailshunt/leader")
        return json.loads(item.value)["instance_id"] if item else None

    def request(
        self,
        node: str,
        path: str,
        key: int = 0,
        method: str = "GET",
        body: bytes = b"",
        deadline_ms: int = 5000,
    ) -> CallerAnswer:
        """Send a caller's request to a node and return the response."""
        request_id = uuid.uuid4().hex[:16]
        headers = {
            "Host": HOST,
            "Attempt-Id": request_id,
            "Deadline-Ms": str(deadline_ms),
            "Shard-Key": str(key),
        }
        url = f"http://127.0.0.1:{self.nodes[node].callers[1]}{path}"
        try:
            resp = urllib3.request(
                method, url, headers=headers, body=body or None, timeout=15.0, retries=False
            )
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            return CallerAnswer(0, str(exc), {}, request_id)
        response_headers = {name.lower(): value for name, value in resp.headers.items()}
        return CallerAnswer(resp.status, resp.data.decode(), response_headers, request_id)

    def runs(self, request_id: str) -> int:
        """Return how often the upstreams ran a request in total."""
        return sum(owner.runs[request_id] for owner in self.owners.values())

    def overlaps(self) -> list[str]:
        """Return a line for each key that two upstreams held at the same time."""
        return find_overlaps(list(self.owners.values()))

    def print_state(self) -> None:
        """Print the last part of each node's log."""
        for node in self.nodes.values():
            print(f"--- {node.name}\n{node.process.log()[-4000:]}")

    def close(self) -> None:
        """Stop all processes and servers."""
        for node in self.nodes.values():
            if node.process.running:
                if node.process.frozen:
                    node.process.resume()
                node.process.kill()
        for owner in self.owners.values():
            owner.stop()
        self.server.stop()
        shutil.rmtree(self.folder, ignore_errors=True)
