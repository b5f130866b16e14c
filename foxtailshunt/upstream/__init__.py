"""Client of upstreams: grants, work, health and cancellation.

This package is the only code that knows the upstreams' protocol.
"""

from foxtailshunt.upstream._directory import UpstreamDirectory
from foxtailshunt.upstream._http_upstream import HttpUpstream
from foxtailshunt.upstream._interface import (
    CancelOutcome,
    ClockReading,
    Grant,
    GrantReply,
    UpstreamClient,
    UpstreamConnectionError,
    WorkOutcome,
    WorkReply,
    WorkRequest,
)

__all__ = [
    "CancelOutcome",
    "ClockReading",
    "Grant",
    "GrantReply",
    "HttpUpstream",
    "UpstreamClient",
    "UpstreamConnectionError",
    "UpstreamDirectory",
    "WorkOutcome",
    "WorkReply",
    "WorkRequest",
]
