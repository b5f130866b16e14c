"""A node that runs in a child process."""

import json
from pathlib import Path
from typing import Any

import urllib3

from standins.fleet._process import ManagedProcess

_READY_TIMEOUT_S = 1.0
_DUMP_TIMEOUT_S = 5.0


class NodeProcess:
    """A node process and its settings file.

    :param settings: content of the settings file.
    :param folder: directory of the settings file and the log.
    """

    def __init__(self, settings: dict[str, Any], folder: Path) -> None:
        self.name: str = settings["instance_id"]
        self.callers = _parse_address(settings["callers"])
        self.operator = (settings["host"], settings["operator_port"])
        self.settings_path = folder / f"{self.name}.json"
        self.settings_path.write_text(json.dumps(settings, indent=1), encoding="utf-8")
        self._readiness = settings["readiness"]
        arguments = ["-m", "foxtailshunt.cli.node", "--settings", str(self.settings_path)]
        self.process = ManagedProcess(self.name, arguments, folder)

    def is_ready(self) -> bool:
        """Return whether the readiness check succeeds, so that a load balancer would route here."""
        url = f"http://{self._readiness}/api/readiness"
        try:
            resp = urllib3.request("GET", url, timeout=_READY_TIMEOUT_S, retries=False)
        except (urllib3.exceptions.HTTPError, OSError):
            return False
        return resp.status == 200

    def dump(self) -> dict[str, Any]:
        """Return the state dump of the node."""
        return self._get_from_operator_endpoint("/dump").json()

    def metrics(self) -> str:
        """Return the metrics of the node as text."""
        return self._get_from_operator_endpoint("/metrics").data.decode()

    def _get_from_operator_endpoint(self, path: str) -> urllib3.BaseHTTPResponse:
        url = f"http://{self.operator[0]}:{self.operator[1]}{path}"
        return urllib3.request("GET", url, timeout=_DUMP_TIMEOUT_S, retries=False)


def _parse_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)
