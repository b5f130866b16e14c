"""Membership between instances: heartbeats, and what spreads with them."""

from foxtailshunt.membership._member_registry import MemberRegistry
from foxtailshunt.membership._peer_state import PeerSnapshot
from foxtailshunt.membership._sync_agent import ASSIGNER_ROLE, SyncAgent
from foxtailshunt.membership._sync_service import AssignerStatus, SyncService
from foxtailshunt.membership._view import CfgRecord, View

__all__ = [
    "ASSIGNER_ROLE",
    "AssignerStatus",
    "CfgRecord",
    "MemberRegistry",
    "PeerSnapshot",
    "SyncAgent",
    "SyncService",
    "View",
]
