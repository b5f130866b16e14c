"""Stand-in for the metadata store of the platform."""

from standins.metadata._server import MetadataServer, StoreFault
from standins.metadata._store import (
    CompactedError,
    ConditionFailedError,
    MetadataStore,
    StoreCopy,
    UnknownLeaseError,
)

__all__ = [
    "CompactedError",
    "ConditionFailedError",
    "MetadataServer",
    "MetadataStore",
    "StoreCopy",
    "StoreFault",
    "UnknownLeaseError",
]
