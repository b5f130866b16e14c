"""The operator and the configurations of nodes in virtual time."""

import json
from types import SimpleNamespace

from features.front_support import make_document
from features.grant_support._network import Network, NetworkStoreClient, UpstreamRun
from features.grant_support._virtual_time import Process, VirtualTime
from foxtailshunt.config import CONFIG_KEY, config_record_from_json
from foxtailshunt.errors import FoxtailshuntError
from foxtailshunt.fleet import FleetView
from foxtailshunt.node import ConfigurationApplier, ConfigurationFormat
from foxtailshunt.operator import ConfigApplier
from foxtailshunt.routing import FrontLimits, HostRoutes, RouteTable, ServiceInfo

#: Delay before the operator repeats a command that failed, in seconds.
_RETRY_S = 0.02
_SERVICE = UpstreamRun.service
_EVACUATION_PREFIX = f"{CONFIG_KEY}/evacuate/"


def make_routes(version: int = 0, era: int = 0) -> RouteTable:
    """Return a version of the configuration; all have the same service."""
    services = {_SERVICE: ServiceInfo(_SERVICE, True, 64)}
    return RouteTable(version, HostRoutes(()), services, FrontLimits(), era=era)


def _decode(value: bytes) -> RouteTable:
    record = config_record_from_json(value)
    return make_routes(record.version, record.era)


def _decode_evacuation(key: str, value: bytes) -> str | None:
    return key.removeprefix(_EVACUATION_PREFIX) if key.startswith(_EVACUATION_PREFIX) else None


class Operator:
    """Applies one file after the other with the operator's command; never cut off from the store.

    :param time: the virtual time.
    :param network: the network.
    """

    def __init__(self, time: VirtualTime, network: Network) -> None:
        self._time, self._network = time, network
        self._store = NetworkStoreClient(network)
        self._applier = ConfigApplier(self._store, SimpleNamespace(now=lambda: time.now))
        self._is_applying = False
        self.process = Process("operator")
        #: Number of the last file.
        self.number = 0
        #: Number of the last file that was accepted, and the era of its write.
        self.accepted = 0, 0

    def apply(self) -> None:
        """Apply the next file, and repeat the command until it succeeds."""
        with self._time.starting(self.process):
            self._time.spawn(self._apply)

    def evacuate(self, zone: str, is_evacuated: bool) -> None:
        """Ask for the evacuation of a zone, or take that back."""
        key, store = _EVACUATION_PREFIX + zone, self._network.store
        store.commit({}, [(key, b"{}", 0)] if is_evacuated else [], [] if is_evacuated else [key])

    def _apply(self) -> None:
        while self._is_applying:
            self._time.sleep(_RETRY_S)
        self._is_applying = True
        self.number += 1
        document = make_document()
        document["services"][0]["connections"] = self.number
        while True:
            try:
                self._applier.apply(json.dumps(document), None)
                break
            except FoxtailshuntError:
                self._time.sleep(_RETRY_S)
        self.accepted = self.number, self._store.era
        self._is_applying = False


class RecordingApplier(ConfigurationApplier):
    """Records the numbers of the operator's files that come into force at a node.

    :param view: the node's view.
    """

    def __init__(self, view: FleetView) -> None:
        super().__init__(
            ConfigurationFormat(CONFIG_KEY, CONFIG_KEY, _decode, _decode_evacuation), view
        )
        view.update_routes(make_routes(), b"")
        self._recorded = view
        self.numbers = [0]

    def apply(self, document: bytes, source: str) -> None:
        super().apply(document, source)
        in_force = self._recorded.document
        if in_force:
            record = config_record_from_json(in_force)
            self.numbers.append(json.loads(record.document)["services"][0]["connections"])
