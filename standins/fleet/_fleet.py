"""A fleet of stand-ins and nodes that speak the own interface, started and ended together."""

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
_FIRST_NET = 30
_LAST_NET = 250


@dataclass(frozen=True, slots=True)
class FleetOptions:
    """What kind of fleet to start."""

    #: Instances in each availability zone.
    instances_per_zone: int = 3
    #: Whether links run through the fault-injecting proxy.
    proxied: bool = False
    #: Time that a request takes at an upstream, in seconds.
    work_s: float = 0.005
    #: Second number of the loopback addresses; None draws one.
    net: int | None = None


class Fleet:
    """Store, upstreams and nodes of one configuration.

    Nodes are processes; the store and the upstreams are threads of this process.

    :param cfg_path: the configuration file to run.
    :param options: what kind of fleet.
    """

    def __init__(self, cfg_path: Path, options: FleetOptions) -> None:
        net = options.net or random.SystemRandom().randint(_FIRST_NET, _LAST_NET)
        self.options = options
        self.layout = Layout(cfg_path, net, options.instances_per_zone, options.proxied)
        self.directory = Path(tempfile.mkdtemp(prefix="foxtailshunt-"))
        self.store = MetadataStore()
        self.server = MetadataServer(self.store, self.layout.store_listen)
        #: Every upstream that was started, those that ended included.
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
        """Return the configuration file with this fleet's addresses."""
        return self.directory / "configuration.json"

    @property
    def proxy(self) -> FleetProxy:
        """Return the proxies of a proxied fleet."""
        if self._proxy is None:
            raise LookupError("the fleet runs without proxies")
        return self._proxy

    @property
    def store_text(self) -> str:
        """Return the store's address as the command line takes it."""
        return format_address(self.layout.store_advertised)

    @property
    def entries(self) -> list[Address]:
        """Return the callers' address of every node."""
        return [instance.callers for instance in self.layout.instances]

    def start(self) -> None:
        """Start everything, apply the configuration and wait until every key has an owner."""
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

        :param upstream: an upstream of the layout.
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
        """End an upstream as a crash does; its entry lapses.

        :param upstream: an upstream of the layout.
        """
        self.upstreams.pop(upstream.upstream_id).crash()
        self.store.remove(f"servers/{upstream.upstream_id}")

    def start_node(self, instance: InstanceLayout) -> NodeProcess:
        """Start the node of an instance, with its settings written anew.

        :param instance: an instance of the layout.
        """
        node = NodeProcess(self.layout.settings_of(instance), self.directory)
        self.nodes[instance.instance_id] = node
        node.process.start()
        return node

    def node(self, instance: InstanceLayout) -> NodeProcess:
        """Return the node of an instance.

        :param instance: an instance of the layout.
        """
        return self.nodes[instance.instance_id]

    def running_nodes(self) -> list[NodeProcess]:
        """Return the nodes that run and are not paused."""
        return [
            node for node in self.nodes.values() if node.process.running and not node.process.frozen
        ]

    def run_operator(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run the operators' command line.

        :param arguments: its arguments.
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
        """Apply a configuration file with the operators' command line.

        :param path: the file.
        :raises ProcessFailedError: the command failed.
        """
        result = self.run_operator("apply", str(path), "--store", self.store_text)
        if result.returncode != 0:
            raise ProcessFailedError("apply", result.stdout + result.stderr)

    def wait_until_served(self) -> None:
        """Wait until every node is ready and knows an owner of every key."""
        for instance in self.layout.instances:
            self.wait_until_ready(instance)

    def wait_until_ready(self, instance: InstanceLayout) -> None:
        """Wait until a node is ready and knows an owner of every key.

        :param instance: its instance.
        """
        node = self.node(instance)
        wait_for(lambda: node.is_ready() and _owns_all(node.dump(), self), instance.instance_id)

    def overlaps(self) -> list[str]:
        """Return a line for each key that two upstreams held at one time."""
        return find_overlaps(self.owners)

    def runs(self) -> list[str]:
        """Return the id of each request that an upstream ran, once for each run."""
        return [request_id for owner in self.owners for request_id in list(owner.runs.elements())]

    def close(self) -> None:
        """End everything that was started and remove the files."""
        for node in self.nodes.values():
            node.process.kill()
        for owner in self.upstreams.values():
            owner.stop()
        self.server.stop()
        if self._proxy is not None:
            self._proxy.close()
        shutil.rmtree(self.directory, ignore_errors=True)


def _owns_all(dump: dict[str, Any], fleet: Fleet) -> bool:
    keys = sum(item["last"] - item["first"] + 1 for item in dump["ranges"] if not item["moving"])
    return keys == KEY_COUNT * len(fleet.layout.keyed_services)
