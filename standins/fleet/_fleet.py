"""Test fleet of a store, upstreams and nodes that serve the ``own`` interface."""

import random
import shutil
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path
from types import TracebackType
from typing import Any

from foxtailshunt.network import Address, format_address
from foxtailshunt.routing import KEY_COUNT
from standins.fleet._layout import InstanceLayout, Layout, UpstreamLayout
from standins.fleet._node import NodeProcess
from standins.fleet._process import ProcessFailedError
from standins.fleet._proxy import FleetProxy
from standins.fleet._wait import wait_for
from standins.keyowner import KeyOwner, find_overlaps
from standins.metadata import MetadataServer, MetadataStore

_COMMAND_TIMEOUT_S = 60.0
_MIN_NET = 30
_MAX_NET = 250


@dataclass(frozen=True, slots=True)
class FleetOptions:
    """Options of a fleet."""

    #: Number of instances in each availability zone.
    instances_per_zone: int = 3
    #: Whether connections go through the fault-injecting proxy.
    proxied: bool = False
    #: Service time of a request at an upstream, in seconds.
    work_s: float = 0.005
    #: Second octet of the loopback addresses; None to choose a random one.
    net: int | None = None


class Fleet:
    """The store, upstreams and nodes of one configuration.

    Nodes are child processes; the store and the upstreams run on threads of this process.

    :param cfg_path: configuration file.
    :param options: options of the fleet.
    """

    def __init__(self, cfg_path: Path, options: FleetOptions) -> None:
        net = options.net or random.SystemRandom().randint(_MIN_NET, _MAX_NET)
        self.options = options
        self.layout = Layout(cfg_path, net, options.instances_per_zone, options.proxied)
        self.directory = Path(tempfile.mkdtemp(prefix="foxtailshunt-"))
        self.store = MetadataStore()
        self.server = MetadataServer(self.store, self.layout.store_listen)
        #: All upstreams that were started, including those that have ended.
        self.owners: list[KeyOwner] = []
        self.upstreams: dict[str, KeyOwner] = {}
        self.nodes: dict[str, NodeProcess] = {}
        self._proxy: FleetProxy | None = None

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.close()

    @property
    def cfg_path(self) -> Path:
        """Return the path of the configuration file with the addresses of this fleet."""
        return self.directory / "configuration.json"

    @property
    def proxy(self) -> FleetProxy:
        """Return the proxies of the fleet.

        :raises LookupError: the fleet runs without proxies.
        """
        if self._proxy is None:
            raise LookupError("the fleet runs without proxies")
        return self._proxy

    @property
    def store_text(self) -> str:
        """Return the address of the store in the format of the ``--store`` option."""
        return format_address(self.layout.store_advertised)

    @property
    def entries(self) -> list[Address]:
        """Return the address of every node that callers connect to."""
        return [instance.callers for instance in self.layout.instances]

    def start(self) -> None:
        """Start all parts, apply the configuration and wait until every key has an owner."""
        self.cfg_path.write_text(self.layout.document, encoding="utf-8")
        if self.options.proxied:
            self._proxy = FleetProxy(self.layout)
        for upstream in self.layout.upstreams:
            self.start_upstream(upstream)
        for instance in self.layout.instances:
            self.start_node(instance)
        self.apply(self.cfg_path)
        self.wait_until_served()

    def start_upstream(self, upstream: UpstreamLayout) -> KeyOwner:
        """Start one upstream.

        :param upstream: upstream of the layout.
        """
        owner = KeyOwner(
            upstream.upstream_id,
            upstream.service,
            upstream.zone,
            self.store,
            keyed=upstream.keyed,
            work_s=self.options.work_s,
            listen=upstream.listen_address,
            known=upstream.advertised_address,
        )
        self.owners.append(owner)
        self.upstreams[upstream.upstream_id] = owner
        return owner

    def crash_upstream(self, upstream: UpstreamLayout) -> None:
        """Crash an upstream and remove its record from the store, as if the record had expired.

        :param upstream: upstream of the layout.
        """
        self.upstreams.pop(upstream.upstream_id).crash()
        self.store.remove(f"servers/{upstream.upstream_id}")

    def start_node(self, instance: InstanceLayout) -> NodeProcess:
        """Start the node of an instance with a newly written settings file.

        :param instance: instance of the layout.
        """
        node = NodeProcess(self.layout.settings_of(instance), self.directory)
        self.nodes[instance.instance_id] = node
        node.process.start()
        return node

    def node(self, instance: InstanceLayout) -> NodeProcess:
        """Return the node of an instance.

        :param instance: instance of the layout.
        """
        return self.nodes[instance.instance_id]

    def running_nodes(self) -> list[NodeProcess]:
        """Return the nodes that are running and not paused."""
        return [
            node for node in self.nodes.values() if node.process.running and not node.process.frozen
        ]

    def run_operator(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run the operator command.

        :param arguments: command-line arguments.
        """
        code = "from foxtailshunt.cli.operator import main; main()"
        return subprocess.run(
            [sys.executable, "-c", code, *arguments],
            capture_output=True,
            text=True,
            timeout=_COMMAND_TIMEOUT_S,
            check=False,
        )

    def apply(self, path: Path) -> None:
        """Apply a configuration file with the operator command.

        :param path: configuration file.
        :raises ProcessFailedError: the command failed.
        """
        result = self.run_operator("apply", str(path), "--store", self.store_text)
        if result.returncode != 0:
            raise ProcessFailedError("apply", result.stdout + result.stderr)

    def wait_until_served(self) -> None:
        """Wait until every node is ready and knows the owner of every key."""
        for instance in self.layout.instances:
            self.wait_until_ready(instance)

    def wait_until_ready(self, instance: InstanceLayout) -> None:
        """Wait until a node is ready and knows the owner of every key.

        :param instance: instance of the node.
        """
        node = self.node(instance)
        wait_for(
            lambda: node.is_ready() and _has_owner_of_every_key(node.dump(), self),
            instance.instance_id,
        )

    def overlaps(self) -> list[str]:
        """Return a description of each key range that two upstreams held wrongly.

        See :func:`standins.keyowner.find_overlaps`.
        """
        return find_overlaps(self.owners)

    def runs(self) -> list[str]:
        """Return the ids of the requests that upstreams executed, once for each execution."""
        return [request_id for owner in self.owners for request_id in list(owner.runs.elements())]

    def close(self) -> None:
        """Stop all parts and remove the files of the fleet."""
        for node in self.nodes.values():
            node.process.kill()
        for owner in self.upstreams.values():
            owner.stop()
        self.server.stop()
        if self._proxy is not None:
            self._proxy.close()
        shutil.rmtree(self.directory, ignore_errors=True)


def _has_owner_of_every_key(dump: dict[str, Any], fleet: Fleet) -> bool:
    keys = sum(item["last"] - item["first"] + 1 for item in dump["ranges"] if not item["moving"])
    return keys == KEY_COUNT * len(fleet.layout.keyed_services)
