"""Client of the platform: its key-value service and its list of instances.

This package is the only code that knows the platform's protocol.
"""

from foxtailshunt.kvstore._ambiguous_write import write_with_token
from foxtailshunt.kvstore._backoff import Backoff
from foxtailshunt.kvstore._http_platform import HttpPlatform
from foxtailshunt.kvstore._interface import InstanceState, InstanceStatus, Platform, StoreRecord

__all__ = [
    "Backoff",
    "HttpPlatform",
    "InstanceState",
    "InstanceStatus",
    "Platform",
    "StoreRecord",
    "write_with_token",
]
