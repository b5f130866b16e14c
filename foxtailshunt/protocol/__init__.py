"""The peer protocol between nodes: client, connection pool, server and messages.

The messages are the structs of ``foxtailshunt.thrift``. The code in ``gen`` is generated from that
file and committed.
"""

from foxtailshunt.protocol._client import (
    CallerDisconnectedError,
    ClientPool,
    NoReplyMemoryError,
    PeerClient,
)
from foxtailshunt.protocol._limits import MAX_RELAYED_BODY_BYTES
from foxtailshunt.protocol._server import ProtocolServer, current_connection, current_memory
from foxtailshunt.protocol.gen.ttypes import (
    Endpoint,
    ExitNotice,
    ExitNoticeReply,
    FollowReply,
    FollowRequest,
    Header,
    KeyDemand,
    KnownVersions,
    NodeMember,
    OwnedRange,
    RelayReply,
    RelayRequest,
    RouteLatency,
    TableCopy,
    UpstreamPace,
    UpstreamRecord,
)

__all__ = [
    "CallerDisconnectedError",
    "MAX_RELAYED_BODY_BYTES",
    "ClientPool",
    "Endpoint",
    "ExitNotice",
    "ExitNoticeReply",
    "FollowReply",
    "FollowRequest",
    "Header",
    "KeyDemand",
    "KnownVersions",
    "NoReplyMemoryError",
    "NodeMember",
    "OwnedRange",
    "PeerClient",
    "ProtocolServer",
    "RelayReply",
    "RelayRequest",
    "RouteLatency",
    "TableCopy",
    "UpstreamPace",
    "UpstreamRecord",
    "current_connection",
    "current_memory",
]
