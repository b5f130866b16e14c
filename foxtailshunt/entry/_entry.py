"""The parts of an entry put together."""

import threading
from typing import Any

from foxtailshunt.config import Configuration
from foxtailshunt.entry._admission import RankLimiter
from foxtailshunt.entry._call_handler import CallHandler
from foxtailshunt.entry._caller_server import CallerServer
from foxtailshunt.entry._entry_metrics import EntryMetrics
from foxtailshunt.entry._forwarder import Forwarder
from foxtailshunt.entry._hang_up_watcher import HangUpWatcher
from foxtailshunt.entry._routing_table import RoutingTable
from foxtailshunt.membership import View
from foxtailshunt.ownership import Address
from foxtailshunt.protocol import ClientPool
from foxtailshunt.protocol.gen import Dispatcher
from foxtailshunt.telemetry import Metrics
from foxtailshunt.timing import Clock, TimerService

#: Time between the announcement of a stop and the end of idle connections, in seconds; the
#: platform's balancer notices ``/health`` in it.
ANNOUNCE_S = 1.0

_MAX_IDLE_CONNECTIONS = 128
_MAX_IDLE_CANCEL_CONNECTIONS = 1


class Entry:
    """Serves callers by a view's configuration and tables.

    :param address: host and port for callers.
    :param view: configuration and tables.
    :param clock: the clock.
    :param timers: calls back at intervals.
    :param metrics: the metrics of the process.
    :raises FoxtailshuntError: with ``ADDRESS_IN_USE`` if the address cannot be bound.
    """

    def __init__(
        self, address: Address, view: View, clock: Clock, timers: TimerService, metrics: Metrics
    ) -> None:
        entry_metrics = EntryMetrics(metrics)
        self._view = view
        self._timers = timers
        self._cfg_lock = threading.Lock()
        self._cfg: Configuration | None = None
        self._routes = RoutingTable(view)
        self._limiter = RankLimiter()
        self._pool = ClientPool(Dispatcher, _MAX_IDLE_CONNECTIONS)
        self._cancel_pool = ClientPool(Dispatcher, _MAX_IDLE_CANCEL_CONNECTIONS)
        self._watcher = HangUpWatcher(self._cancel_pool, entry_metrics)
        forwarder = Forwarder(view, self._routes, self._pool, clock, entry_metrics)
        self._handler = CallHandler(forwarder, self._limiter, self._watcher, clock, entry_metrics)
        self._server = CallerServer(address, self._handler, entry_metrics)

    @property
    def address(self) -> Address:
        """Return the address that callers are served on."""
        return self._server.address

    @property
    def is_healthy(self) -> bool:
        """Return whether callers shall send requests here."""
        return self._view.cfg is not None and not self._server.is_draining

    @property
    def is_stopping(self) -> bool:
        """Return whether the entry is leaving."""
        return self._server.is_draining

    def start(self) -> None:
        """Start serving."""
        self._server.listen()
        self._take_config()
        self._view.subscribe(self._take_config)
        self._watcher.start(self._timers)
        self._server.start_serving()

    def wait_for_requests(self, timeout_s: float) -> None:
        """Set the time in which a caller must have sent a whole request.

        :param timeout_s: the time in seconds.
        """
        self._server.request_read_timeout_s = timeout_s

    def announce_stop(self) -> None:
        """Turn unhealthy; answers close their connections from now on."""
        self._server.is_draining = True

    def stop(self) -> None:
        """Announce the stop, let requests in progress end, then stop."""
        self.announce_stop()
        self._server.drain(ANNOUNCE_S)
        self._watcher.stop()
        self._server.stop_serving()
        self._pool.close()
        self._cancel_pool.close()

    def dump(self) -> dict[str, Any]:
        """Return the state of the entry as a JSON document."""
        return {
            "stopping": self.is_stopping,
            "connections": self._server.open_connections,
            "in_use": {rank.value: count for rank, count in self._limiter.in_use().items()},
            "upstreams": [
                {
                    "upstream": route.upstream_id,
                    "zone": route.zone,
                    "slots": len(route.row.slots),
                    "dispatchers": [instance for instance, _ in route.dispatchers],
                }
                for route in self._routes.all_routes()
            ],
        }

    def _take_config(self) -> None:
        with self._cfg_lock:
            cfg = self._view.cfg
            if cfg is None or cfg is self._cfg:
                return
            self._cfg = cfg
            self._handler.take_config(cfg)
            self._server.take_limits(cfg.entry)
