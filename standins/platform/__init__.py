"""Stand-in of the platform: its key-value service and its list of instances, in memory.

The HTTP shape is that of docs/INTERFACES.md. Faults are set at ``/standin/faults``, the list of
instances at ``/standin/instances``, and counts of calls are read at ``/standin/counts``.
"""

from standins.platform._faults import Faults, Outage
from standins.platform._handler import PlatformHandler
from standins.platform._instances import InstanceList
from standins.platform._limits import RateLimit
from standins.platform._store import KvEntry, KvStore

__all__ = [
    "Faults",
    "InstanceList",
    "KvEntry",
    "KvStore",
    "Outage",
    "PlatformHandler",
    "RateLimit",
]
