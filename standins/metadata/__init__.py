"""A stand-in for the metadata store of the users' platform."""

from standins.metadata._server import MetadataServer, StoreFault
from standins.metadata._store import MetadataStore

__all__ = ["MetadataServer", "MetadataStore", "StoreFault"]
