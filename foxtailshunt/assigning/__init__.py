"""Assigns key ranges to upstreams: leader election, placement, grants and moves."""

from foxtailshunt.assigning._assigner import Assigner
from foxtailshunt.assigning._capacity_estimator import CapacityEstimator
from foxtailshunt.assigning._demand_tracker import DemandTracker
from foxtailshunt.assigning._grant_hold import GrantHold
from foxtailshunt.assigning._grant_renewer import GrantRenewer
from foxtailshunt.assigning._leader_record import Leader
from foxtailshunt.assigning._leadership import LEADER_KEY, LastTerm, Leadership, election_delay_s
from foxtailshunt.assigning._mean_work import MeanWork
from foxtailshunt.assigning._member_registry import MemberRegistry
from foxtailshunt.assigning._owned_ranges import OwnedRanges
from foxtailshunt.assigning._placement import Candidate, Move, plan_moves, split_evenly
from foxtailshunt.assigning._previous_grants import PreviousGrants
from foxtailshunt.assigning._previous_leaders import PreviousLeaders
from foxtailshunt.assigning._store_watch import StoreWatch
from foxtailshunt.assigning._table_record import (
    TABLE_KEY,
    LeaderProcess,
    TableRecord,
    decode_table,
    encode_table,
)
from foxtailshunt.assigning._table_recovery import (
    CopyStatements,
    FetchCopy,
    TableRecovery,
    find_own_copy,
)
from foxtailshunt.assigning._token_requests import TokenRequests
from foxtailshunt.assigning._upstream_publisher import UpstreamPublisher
from foxtailshunt.assigning._upstream_reader import UpstreamReader

__all__ = [
    "LEADER_KEY",
    "TABLE_KEY",
    "Assigner",
    "CapacityEstimator",
    "DemandTracker",
    "PreviousGrants",
    "PreviousLeaders",
    "GrantHold",
    "GrantRenewer",
    "Leader",
    "LeaderProcess",
    "LastTerm",
    "Leadership",
    "MeanWork",
    "MemberRegistry",
    "Move",
    "OwnedRanges",
    "Candidate",
    "StoreWatch",
    "TableRecord",
    "TableRecovery",
    "CopyStatements",
    "FetchCopy",
    "TokenRequests",
    "UpstreamPublisher",
    "UpstreamReader",
    "split_evenly",
    "decode_table",
    "election_delay_s",
    "encode_table",
    "find_own_copy",
    "plan_moves",
]
