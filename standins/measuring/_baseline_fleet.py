"""A fleet whose entries are the baseline's."""

from pathlib import Path
from types import TracebackType

from standins.fleet import Fleet, FleetOptions, InstanceLayout, wait_for

_PROBE_TIMEOUT_S = 1.0


class BaselineFleet:
    """Upstream stand-ins with baseline entries in front of them.

    :param cfg_path: the configuration file.
    :param options: what kind of fleet.
    """

    def __init__(self, cfg_path: Path, options: FleetOptions) -> None:
        self.fleet = Fleet(cfg_path, options)

    def __enter__(self) -> "BaselineFleet":
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.fleet.close()

    def start(self) -> None:
        """Start everything and wait until every entry answers."""
        self.fleet.start_standins()
        for instance in self.fleet.layout.instances:
            self._start_entry(instance)
        for instance in self.fleet.layout.instances:
            wait_for(lambda instance=instance: self._answers(instance), instance.instance_id)

    def _start_entry(self, instance: InstanceLayout) -> None:
        host, port = instance.known_address("entry")
        arguments = ["-m", "standins.baseline", "--listen", f"{host}:{port}"]
        arguments += ["--entries", str(len(self.fleet.layout.instances))]
        arguments.append(str(self.fleet.cfg_path))
        self.fleet.start_process(f"{instance.instance_id}-baseline", arguments)

    def _answers(self, instance: InstanceLayout) -> bool:
        host, port = instance.known_address("entry")
        url = f"http://{host}:{port}/"
        return self.fleet.answers(url, _PROBE_TIMEOUT_S)
