"""Simulated callers: single requests, background requests, trace replay, and audits."""

from standins.traffic._audit import AuditFinding, Fault, audit_outcomes
from standins.traffic._background import BackgroundCallers, BackgroundMix
from standins.traffic._caller import Caller, CallerRequest, CallerResponse, OperationCatalog
from standins.traffic._request_id import new_request_id
from standins.traffic._trace import ReplayResult, TraceLine, count_by_code, read_trace, replay_trace

__all__ = [
    "CallerResponse",
    "AuditFinding",
    "BackgroundCallers",
    "BackgroundMix",
    "Caller",
    "CallerRequest",
    "Fault",
    "OperationCatalog",
    "ReplayResult",
    "TraceLine",
    "audit_outcomes",
    "count_by_code",
    "new_request_id",
    "read_trace",
    "replay_trace",
]
