"""The memory that a node has for bodies, and the transfers that take it."""

from foxtailshunt.memory._account import MemoryAccount, NoMemoryError
from foxtailshunt.memory._limits import (
    CONNECTION_BYTES,
    DEFAULT_LIMIT_BYTES,
    ConnectionLimits,
    MemoryLimits,
)
from foxtailshunt.memory._reservation import Reservation

__all__ = [
    "CONNECTION_BYTES",
    "ConnectionLimits",
    "DEFAULT_LIMIT_BYTES",
    "MemoryAccount",
    "MemoryLimits",
    "NoMemoryError",
    "Reservation",
]
