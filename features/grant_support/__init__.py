"""A model check of grants: random faults against the real classes in virtual time."""

from features.grant_support._fleet import NODES, GrantFleet
from features.grant_support._machine import check_grants
from features.grant_support._network import STORE

__all__ = ["NODES", "STORE", "GrantFleet", "check_grants"]
