"""Metrics, structured logging and the operator port."""

from foxtailshunt.telemetry._early_binding import EarlyBindingServer
from foxtailshunt.telemetry._logs import log_state_change, log_thread_error
from foxtailshunt.telemetry._metrics import Metrics
from foxtailshunt.telemetry._operator_server import OperatorServer
from foxtailshunt.telemetry._request_log import LogWriter, RequestLog, start_node_logging

__all__ = [
    "EarlyBindingServer",
    "LogWriter",
    "Metrics",
    "OperatorServer",
    "RequestLog",
    "log_state_change",
    "log_thread_error",
    "start_node_logging",
]
