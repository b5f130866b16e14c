"""The memory that a node has for bodies, and the transfers that take it."""

from foxtailshunt.memory._account import MemoryAccount, NoMemoryError
from foxtailshunt.memory._limits import DEFAULT_LIMIT_BYTES, MemoryLimits, connection_limit
from foxtailshunt.memory._reservation import Reservation

__all__ = [
    "DEFAULT_LIMIT_BYTES",
    "MemoryAccount",
    "MemoryLimits",
    "NoMemoryError",
    "Reservation",
    "connection_limit",
]
