"""Stand-in for the metadata store of the platform."""

from standins.metadata._server import MetadataServer, StoreFault
from standins.metadata._store import MetadataStore, StoreCopy

__all__ = ["MetadataServer", "MetadataStore", "StoreCopy", "StoreFault"]
