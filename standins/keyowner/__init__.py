"""Stand-in for an upstream that owns keys under fencing tokens."""

from standins.keyowner._key_grants import KeyGrants
from standins.keyowner._overlaps import find_overlaps
from standins.keyowner._upstream import KeyOwner, Manner

__all__ = ["KeyGrants", "KeyOwner", "Manner", "find_overlaps"]
