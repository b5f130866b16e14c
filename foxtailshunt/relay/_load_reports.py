"""Passes the load that upstreams report in their responses to the latency estimates."""

import threading

from foxtailshunt.errors import DocumentError
from foxtailshunt.fleet import Upstream
from foxtailshunt.platform import UpstreamResponse
from foxtailshunt.telemetry import log_state_change
from foxtailshunt.upstreams import LatencyEstimator

#: Maximum number of upstreams whose malformed reports are remembered, so that they are logged once.
MAX_REMEMBERED = 4096


class LoadReports:
    """Records load reports and logs malformed ones; safe to use from any thread.

    :param latencies: latency estimates by route and upstream.
    """

    def __init__(self, latencies: LatencyEstimator) -> None:
        self._latencies = latencies
        self._lock = threading.Lock()
        #: Runs of upstreams that have sent a malformed report.
        self._malformed: set[object] = set()

    def record(self, upstream: Upstream, response: UpstreamResponse) -> None:
        """Record the load report of a response, if it has one.

        :param upstream: the upstream that responded.
        :param response: its response.
        """
        try:
            report = response.load_report
        except DocumentError as exc:
            self._log_malformed(upstream, exc)
            return
        if report is not None:
            self._latencies.record_load(upstream.upstream_id, report)

    def _log_malformed(self, upstream: Upstream, exc: DocumentError) -> None:
        with self._lock:
            if upstream.incarnation in self._malformed or len(self._malformed) >= MAX_REMEMBERED:
                return
            self._malformed.add(upstream.incarnation)
        log_state_change(
            "upstream.load_report_malformed", upstream=upstream.upstream_id, error=exc.message
        )
