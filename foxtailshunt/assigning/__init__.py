"""Decides which upstream owns which keys, and gives the keys to their owners."""

from foxtailshunt.assigning._assigner import Assigner
from foxtailshunt.assigning._demand_book import DemandBook
from foxtailshunt.assigning._earlier_leaders import EarlierLeaders
from foxtailshunt.assigning._key_holder import KeyHolder
from foxtailshunt.assigning._leadership import Leadership
from foxtailshunt.assigning._member_registry import MemberRegistry
from foxtailshunt.assigning._pace_reports import CapacityBook
from foxtailshunt.assigning._placement import Move, Seat, cut_evenly, plan_moves
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
    "CapacityBook",
    "DemandBook",
    "EarlierLeaders",
    "KeyHolder",
    "LeaderProcess",
    "Leadership",
    "MemberRegistry",
    "Move",
    "Seat",
    "TableRecord",
    "UpstreamReader",
    "cut_evenly",
    "decode_table",
    "encode_table",
    "plan_moves",
]
