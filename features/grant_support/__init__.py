"""A model check of grants: random faults against the real classes in virtual time."""

from features.grant_support._machine import check_grants

__all__ = ["check_grants"]
