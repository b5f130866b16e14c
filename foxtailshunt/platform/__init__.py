"""Adapter to the users' platform: its names, formats and calls.

Nothing outside this package knows the platform's names, and nothing inside it decides anything.
"""

from foxtailshunt.platform._answers import UpstreamAnswer, Verdict, judge_answer
from foxtailshunt.platform._configuration import decode_configuration
from foxtailshunt.platform._durations import Seconds
from foxtailshunt.platform._grants import (
    GrantOutcome,
    KeyOrders,
    OrderError,
    UpstreamReplacedError,
)
from foxtailshunt.platform._requests import PlatformCallers, upstream_head
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
    "KeyOrders",
    "LeaseEndedError",
    "OrderError",
    "PlatformCallers",
    "Seconds",
    "StoreChange",
    "StoreClient",
    "StoreError",
    "StoreItem",
    "UpstreamAnswer",
    "UpstreamReplacedError",
    "Verdict",
    "decode_configuration",
    "decode_upstream",
    "judge_answer",
    "upstream_head",
]
