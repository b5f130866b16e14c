"""Decides which upstream owns which keys, and gives the keys to their owners."""

from foxtailshunt.assigning._assigner import Assigner
from foxtailshunt.assigning._demand_book import DemandTracker
from foxtailshunt.assigning._earlier_leaders import PreviousLeaders
from foxtailshunt.assigning._key_holder import GrantRenewer
from foxtailshunt.assigning._leadership import Leadership
from foxtailshunt.assigning._member_registry import MemberRegistry
from foxtailshunt.assigning._pace_reports import CapacityEstimator
from foxtailshunt.assigning._placement import Candidate, Move, plan_moves, split_evenly
from foxtailshunt.assigning._table_record import (
    TABLE_KEY,
    LeaderProcess,
    TableRecord,
    decode_table,
    encode_table,
)
from foxtailshunt.assigning._upstream_reader import UpstreamReader

__all__ = [
    "TABLE_KEY",
    "Assigner",
    "CapacityEstimator",
    "DemandTracker",
    "PreviousLeaders",
    "GrantRenewer",
    "LeaderProcess",
    "Leadership",
    "MemberRegistry",
    "Move",
    "Candidate",
    "TableRecord",
    "UpstreamReader",
    "split_evenly",
    "decode_table",
    "encode_table",
    "plan_moves",
]
