"""A node's view of the fleet: upstreams, owners of keys, members and configuration."""

from foxtailshunt.fleet._fleet_size import FleetSize
from foxtailshunt.fleet._ownership import OwnershipTable
from foxtailshunt.fleet._rendezvous import rank_by_rendezvous
from foxtailshunt.fleet._store_call_spacing import StoreCallSpacing
from foxtailshunt.fleet._types import Address, KeyRange, Member, Upstream
from foxtailshunt.fleet._view import FleetView
from foxtailshunt.fleet._view_types import UpstreamChanges, UpstreamObserver, Versions

__all__ = [
    "Address",
    "FleetSize",
    "FleetView",
    "KeyRange",
    "Member",
    "OwnershipTable",
    "StoreCallSpacing",
    "Upstream",
    "UpstreamChanges",
    "UpstreamObserver",
    "Versions",
    "rank_by_rendezvous",
]
