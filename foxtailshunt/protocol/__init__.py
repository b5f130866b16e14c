"""The inner protocol between entries, dispatchers and assigners.

Messages are the structs of ``foxtailshunt.thrift``; the code in ``gen`` is generated from it and
committed.
"""

from foxtailshunt.protocol._client import (
    ClientPool,
    MismatchedReplyError,
    Patience,
    PeerClient,
    SilentPeerError,
    is_quiet,
)
from foxtailshunt.protocol._server import ProtocolServer
from foxtailshunt.protocol.gen.ttypes import (
    AssentItem,
    AssentReply,
    AssentRequest,
    CancelReply,
    CancelRequest,
    DepartedSlots,
    ExecuteReply,
    ExecuteRequest,
    Header,
    Member,
    MemoryReply,
    MemoryRequest,
    RefuseReply,
    RefuseRequest,
    RememberedRequest,
    SyncReply,
    SyncRequest,
    UpstreamReport,
    ZoneVersion,
)
from foxtailshunt.protocol.gen.ttypes import Fence as FenceMessage

__all__ = [
    "AssentItem",
    "AssentReply",
    "AssentRequest",
    "CancelReply",
    "CancelRequest",
    "ClientPool",
    "DepartedSlots",
    "ExecuteReply",
    "ExecuteRequest",
    "FenceMessage",
    "Header",
    "Member",
    "MemoryReply",
    "MemoryRequest",
    "MismatchedReplyError",
    "Patience",
    "PeerClient",
    "ProtocolServer",
    "RefuseReply",
    "RefuseRequest",
    "RememberedRequest",
    "SilentPeerError",
    "SyncReply",
    "SyncRequest",
    "UpstreamReport",
    "ZoneVersion",
    "is_quiet",
]
