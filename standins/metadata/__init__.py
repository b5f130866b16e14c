"""Stand-in for the metadata store of the platform."""

from standins.metadata._server import MetadataServer, StoreFault
from standins.metadata._store import (
    CompactedError,
    ConditionFailedError,
    MetadataStore,
    UnknownLeaseError,
)

__all__ = [
    "CompactedError",
    "ConditionFailedError",
    "MetadataServer",
    "MetadataStore",
    "StoreFault",
    "UnknownLeaseError",
]
