"""A node's view of the fleet: upstreams, owners of keys, members and configuration."""

from foxtailshunt.fleet._entry_lapses import (
    DEFAULT_HEARTBEAT_S,
    REGISTRATION_S,
    EntryLapses,
)
from foxtailshunt.fleet._era import MAX_ERA, at_era, era_of, next_token, plain_revision
from foxtailshunt.fleet._fleet_size import FleetSize
from foxtailshunt.fleet._ownership import OwnershipTable
from foxtailshunt.fleet._rendezvous import rank_by_rendezvous
from foxtailshunt.fleet._store_call_spacing import StoreCallSpacing
from foxtailshunt.fleet._table_copy import TableCopy, TablePosition
from foxtailshunt.fleet._types import Address, KeyRange, Member, Upstream
from foxtailshunt.fleet._upstreams_at_return import UpstreamsAtReturn
from foxtailshunt.fleet._view import FleetView
from foxtailshunt.fleet._view_types import UpstreamChanges, UpstreamObserver, Versions

__all__ = [
    "DEFAULT_HEARTBEAT_S",
    "MAX_ERA",
    "REGISTRATION_S",
    "at_era",
    "era_of",
    "next_token",
    "plain_revision",
    "Address",
    "EntryLapses",
    "FleetSize",
    "FleetView",
    "KeyRange",
    "Member",
    "OwnershipTable",
    "StoreCallSpacing",
    "TableCopy",
    "TablePosition",
    "Upstream",
    "UpstreamChanges",
    "UpstreamObserver",
    "UpstreamsAtReturn",
    "Versions",
    "rank_by_rendezvous",
]
