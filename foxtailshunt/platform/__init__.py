"""Adapter to the users' platform: its names, formats and calls.

Nothing outside this package knows the platform's names, and nothing inside it decides anything.
"""

from foxtailshunt.platform._answers import AttemptResult, UpstreamResponse, classify_response
from foxtailshunt.platform._configuration import decode_configuration
from foxtailshunt.platform._durations import Seconds
from foxtailshunt.platform._grants import (
    GrantOutcome,
    KeyGrantClient,
    KeyGrantError,
    UpstreamReplacedError,
)
from foxtailshunt.platform._requests import PlatformCallerInterface, upstream_request_headers
from foxtailshunt.platform._store import (
    ConflictError,
    HistoryLostError,
    LeaseEndedError,
    StoreChange,
    StoreClient,
    StoreError,
    StoreItem,
)
from foxtailshunt.platform._upstreams import (
    CONFIGURATION_KEY,
    OPERATOR_PREFIX,
    UPSTREAM_PREFIX,
    decode_upstream,
)

__all__ = [
    "CONFIGURATION_KEY",
    "OPERATOR_PREFIX",
    "UPSTREAM_PREFIX",
    "ConflictError",
    "GrantOutcome",
    "HistoryLostError",
    "KeyGrantClient",
    "LeaseEndedError",
    "KeyGrantError",
    "PlatformCallerInterface",
    "Seconds",
    "StoreChange",
    "StoreClient",
    "StoreError",
    "StoreItem",
    "UpstreamResponse",
    "UpstreamReplacedError",
    "AttemptResult",
    "decode_configuration",
    "decode_upstream",
    "classify_response",
    "upstream_request_headers",
]
