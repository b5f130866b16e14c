"""A fleet of stand-ins and programs, started and ended together."""

import json
import random
import shutil
import subprocess
import sys
import tempfile
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from types import TracebackType

import urllib3

from foxtailshunt.ownership import Address
from standins.fleet._layout import InstanceLayout, Layout, UpstreamLayout
from standins.fleet._process import ManagedProcess, ProcessFailedError
from standins.fleet._proxy import FleetProxy
from standins.fleet._wait import wait_for

PROGRAMS = ("assigner", "dispatcher", "entry")
_COMMAND_TIMEOUT_S = 60.0
_PROBE_TIMEOUT_S = 1.0
_FIRST_NET = 30
_LAST_NET = 250


@dataclass(frozen=True, slots=True)
class FleetOptions:
    """What kind of fleet to start."""

    #: Instances in each availability zone.
    instances_per_zone: int = 3
    #: Whether links run through the fault-injecting proxy.
    proxied: bool = False
    #: Service time of the upstream stand-ins, in milliseconds.
    service_ms: float = 5.0
    #: Second number of the loopback addresses; None draws one.
    net: int | None = None
    #: Further arguments of the platform stand-in.
    platform_arguments: tuple[str, ...] = ()
    #: Further arguments of each upstream stand-in.
    upstream_arguments: tuple[str, ...] = ()
    #: Whether the programs run under the sampling profiler.
    profiled: bool = False


class Fleet:
    """Stand-ins and programs of one configuration, as plain processes.

    :param cfg_path: the configuration file to run.
    :param options: what kind of fleet.
    """

    def __init__(self, cfg_path: Path, options: FleetOptions) -> None:
        net = options.net or random.SystemRandom().randint(_FIRST_NET, _LAST_NET)
        self.options = options
        self.layout = Layout(cfg_path, net, options.instances_per_zone, options.proxied)
        self.directory = Path(tempfile.mkdtemp(prefix="foxtailshunt-"))
        self.processes: dict[str, ManagedProcess] = {}
        self._proxy: FleetProxy | None = None
        self._upstream_starts = 0
        self.http = urllib3.PoolManager(num_pools=200, maxsize=4, retries=False)

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
    def records_dir(self) -> Path:
        """Return the folder of the upstreams' records."""
        return self.directory / "records"

    @property
    def proxy(self) -> FleetProxy:
        """Return the proxies of a proxied fleet."""
        if self._proxy is None:
            raise LookupError("the fleet runs without proxies")
        return self._proxy

    @property
    def platform_text(self) -> str:
        """Return the platform's address as the command line takes it."""
        return _text(self.layout.platform_known)

    @property
    def entries(self) -> list[Address]:
        """Return the callers' address of every entry."""
        return [instance.known_address("entry") for instance in self.layout.instances]

    def start(self) -> None:
        """Start everything, apply the configuration and wait until every slot has an owner."""
        self.start_standins()
        for instance in self.layout.instances:
            self.start_instance(instance)
        self.apply(self.cfg_path)
        self.wait_until_served()

    def start_standins(self) -> None:
        """Write the files, and start the platform and upstream stand-ins and the proxy."""
        self.records_dir.mkdir()
        self.cfg_path.write_text(self.layout.document, encoding="utf-8")
        if self.options.proxied:
            self._proxy = FleetProxy(self.layout)
        self._start_platform()
        for upstream in self.layout.upstreams:
            self.start_upstream(upstream)

    def start_upstream(self, upstream: UpstreamLayout) -> ManagedProcess:
        """Start one upstream stand-in.

        :param upstream: an upstream of the layout.
        """
        self._upstream_starts += 1
        records_path = self.records_dir / records_name(upstream.upstream_id, self._upstream_starts)
        arguments = ["-m", "standins.upstream", "--id", upstream.upstream_id]
        arguments += ["--service", upstream.service]
        arguments += ["--listen", _text(upstream.listen_address), "--slots", str(upstream.slots)]
        arguments += ["--service-ms", str(self.options.service_ms)]
        arguments += ["--records", str(records_path)]
        if not upstream.checks_fences:
            arguments.append("--no-fence-checks")
        arguments += self.options.upstream_arguments
        return self.start_process(upstream.upstream_id, arguments)

    def start_instance(self, instance: InstanceLayout) -> None:
        """Write an instance's settings and start its programs.

        :param instance: an instance of the layout.
        """
        for program in PROGRAMS:
            self.start_program(instance, program)

    def start_program(self, instance: InstanceLayout, program: str) -> ManagedProcess:
        """Start one program of an instance.

        :param instance: an instance of the layout.
        :param program: ``entry``, ``dispatcher`` or ``assigner``.
        """
        path = self.settings_path(instance)
        path.write_text(json.dumps(self.layout.settings_of(instance), indent=1), encoding="utf-8")
        code = f"from foxtailshunt.cli.{program} import main; main()"
        if self.options.profiled:
            code = self._profiled(code, self.profile_path(instance, program))
        return self.start_process(process_name(instance, program), ["-c", code, str(path)])

    def profile_path(self, instance: InstanceLayout, program: str) -> Path:
        """Return the file that takes the profile of a program.

        :param instance: an instance of the layout.
        :param program: ``entry``, ``dispatcher`` or ``assigner``.
        """
        return self.directory / f"{process_name(instance, program)}.profile.json"

    def settings_path(self, instance: InstanceLayout) -> Path:
        """Return the settings file of an instance.

        :param instance: an instance of the layout.
        """
        return self.directory / f"{instance.instance_id}.json"

    def start_process(self, name: str, arguments: list[str]) -> ManagedProcess:
        """Start a process that ends with the fleet.

        :param name: unique in the fleet.
        :param arguments: arguments of the Python interpreter.
        """
        process = ManagedProcess(name, arguments, self.directory)
        process.start()
        self.processes[name] = process
        return process

    def answers(self, url: str, timeout_s: float) -> bool:
        """Return whether anything answers HTTP at an address.

        :param url: where to ask.
        :param timeout_s: longest wait in seconds.
        """
        return _try(lambda: self.http.request("GET", url, timeout=timeout_s).status > 0)

    def records_of(self, upstream_id: str) -> list[Path]:
        """Return the files that an upstream's starts have recorded to.

        :param upstream_id: the upstream.
        """
        return sorted(self.records_dir.glob(f"{upstream_id}.*.jsonl"))

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
        result = self.run_operator("apply", str(path), "--platform", self.platform_text)
        if result.returncode != 0:
            raise ProcessFailedError("apply", result.stdout + result.stderr)

    def dump(self, address: Address) -> dict:
        """Return the state of a process.

        :param address: its operators' address.
        """
        url = f"http://{_text(address)}/dump"
        return self.http.request("GET", url, timeout=5.0).json()

    def wait_until_served(self) -> None:
        """Wait until every entry has an answer for a probe of each upstream's service."""
        for instance in self.layout.instances:
            wait_for(lambda instance=instance: self.entry_ready(instance), instance.instance_id)

    def entry_ready(self, instance: InstanceLayout) -> bool:
        """Return whether an instance's entry knows an owner for every slot.

        :param instance: an instance of the layout.
        """
        address = instance.operator_address("entry")
        return _try(lambda: self._all_slots_routed(address))

    def process(self, instance: InstanceLayout, program: str) -> ManagedProcess:
        """Return a program's process.

        :param instance: an instance of the layout.
        :param program: ``entry``, ``dispatcher`` or ``assigner``.
        """
        return self.processes[process_name(instance, program)]

    def kill_instance(self, instance: InstanceLayout) -> None:
        """End all programs of an instance at once.

        :param instance: an instance of the layout.
        """
        for program in PROGRAMS:
            self.process(instance, program).kill()

    def control(self, address: Address, path: str, document: object) -> None:
        """Change the behaviour of a stand-in.

        :param address: where the stand-in listens.
        :param path: of its control document.
        :param document: the new content.
        :raises ProcessFailedError: the stand-in refused it.
        """
        url = f"http://{_text(address)}{path}"
        response = self.http.request("PUT", url, body=json.dumps(document), timeout=5.0)
        if response.status != 200:
            raise ProcessFailedError(url, response.data.decode())

    def close(self) -> None:
        """End every process that was started and remove the files."""
        for process in self.processes.values():
            process.kill()
        if self._proxy is not None:
            self._proxy.close()
        self.http.clear()
        shutil.rmtree(self.directory, ignore_errors=True)

    def _start_platform(self) -> None:
        arguments = ["-m", "standins.platform", "--listen", _text(self.layout.platform_listen)]
        self.start_process("platform", arguments + list(self.options.platform_arguments))
        self._wait_for_http(self.layout.platform_listen, "platform")

    def _wait_for_http(self, address: Address, name: str) -> None:
        url = f"http://{_text(address)}/v1/catalog/nodes"

        def answers() -> bool:
            if not self.processes[name].running:
                raise ProcessFailedError(name, self.processes[name].log())
            return self.answers(url, _PROBE_TIMEOUT_S)

        wait_for(answers, name)

    @staticmethod
    def _profiled(code: str, path: Path) -> str:
        imports = "from pathlib import Path; from standins.measuring._sampler import Sampler"
        return f"{imports}; Sampler(Path({str(path)!r})).start(); {code}"

    def _all_slots_routed(self, address: Address) -> bool:
        upstreams = self.dump(address)["entry"]["upstreams"]
        routed = sum(upstream["slots"] for upstream in upstreams)
        return routed == sum(self.layout.slot_counts.values())


def records_name(upstream_id: str, start: int) -> str:
    """Return the file name of one start's records; names sort in the order of the starts.

    :param upstream_id: the upstream.
    :param start: counts the starts of upstreams in the fleet.
    """
    return f"{upstream_id}.{start:05d}.jsonl"


def process_name(instance: InstanceLayout, program: str) -> str:
    """Return the name of a program's process in a fleet.

    :param instance: the instance.
    :param program: the program.
    """
    return f"{instance.instance_id}-{program}"


def _try(action: Callable[[], bool]) -> bool:
    try:
        return action()
    except (urllib3.exceptions.HTTPError, OSError, ValueError, KeyError):
        return False


def _text(address: Address) -> str:
    return f"{address[0]}:{address[1]}"
