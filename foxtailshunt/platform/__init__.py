"""Adapter to the platform that the users run: its header names, document formats and API calls.

The platform's names are used only in this package. The package converts and transports data; it
contains no routing or placement decisions.
"""

from foxtailshunt.platform._configuration import decode_configuration
from foxtailshunt.platform._description import describe_configuration
from foxtailshunt.platform._durations import Seconds
from foxtailshunt.platform._evacuations import decode_evacuation
from foxtailshunt.platform._features import Feature, features_of
from foxtailshunt.platform._grants import (
    GrantOutcome,
    KeyGrantClient,
    KeyGrantError,
    UpstreamReplacedError,
)
from foxtailshunt.platform._requests import PlatformCallerInterface, upstream_request_headers
from foxtailshunt.platform._responses import (
    AttemptResult,
    UpstreamResponse,
    classify_response,
    states_leaving,
)
from foxtailshunt.platform._store import StoreClient
from foxtailshunt.platform._store_errors import (
    ConflictError,
    HistoryLostError,
    LeaseEndedError,
    NoResponseError,
    StoreEraChangedError,
    StoreError,
)
from foxtailshunt.platform._store_messages import StoreChange, StoreItem
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
    "AttemptResult",
    "ConflictError",
    "Feature",
    "GrantOutcome",
    "HistoryLostError",
    "KeyGrantClient",
    "KeyGrantError",
    "LeaseEndedError",
    "NoResponseError",
    "PlatformCallerInterface",
    "Seconds",
    "StoreChange",
    "StoreClient",
    "StoreEraChangedError",
    "StoreError",
    "StoreItem",
    "UpstreamReplacedError",
    "UpstreamResponse",
    "classify_response",
    "decode_configuration",
    "decode_evacuation",
    "decode_upstream",
    "describe_configuration",
    "features_of",
    "states_leaving",
    "upstream_request_headers",
]
