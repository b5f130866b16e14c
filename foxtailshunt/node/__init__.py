"""The node program, which runs on each instance of a platform with its own discovery."""

from foxtailshunt.node._configuration_watch import (
    ConfigurationApplier,
    ConfigurationFormat,
    ConfigurationWatch,
)
from foxtailshunt.node._evacuations import EvacuationEntries
from foxtailshunt.node._follow_reply import apply_reply, build_reply
from foxtailshunt.node._follower import DemandCollector, Follower
from foxtailshunt.node._messages import (
    from_pace_message,
    from_upstreams_message,
    to_pace_message,
    to_upstreams_message,
)
from foxtailshunt.node._peer_service import PeerService
from foxtailshunt.node._program import NodeProgram
from foxtailshunt.node._reply_pacer import ReplyPacer
from foxtailshunt.node._settings import NodeSettings, load_node_settings
from foxtailshunt.node._table_copies import reply_with_copy

__all__ = [
    "reply_with_copy",
    "ConfigurationApplier",
    "ConfigurationFormat",
    "ConfigurationWatch",
    "DemandCollector",
    "EvacuationEntries",
    "Follower",
    "NodeProgram",
    "NodeSettings",
    "PeerService",
    "ReplyPacer",
    "apply_reply",
    "build_reply",
    "from_pace_message",
    "from_upstreams_message",
    "load_node_settings",
    "to_pace_message",
    "to_upstreams_message",
]
