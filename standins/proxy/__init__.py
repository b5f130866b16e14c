"""A TCP proxy that injects faults into many links from one process.

Each proxy serves one link between a caller and a target, so that each pair can be disconnected
separately. A caller is connected as soon as the proxy has accepted the connection; if the target
then refuses it, the caller's connection is reset. Set :class:`Refuse` on the links to a stopped
process so that its callers get a refused connection.
"""

from standins.proxy._faults import (
    Cut,
    Delay,
    Direction,
    Fault,
    Pass,
    Refuse,
    Scope,
    Silence,
    Truncate,
    fault_from_dict,
)
from standins.proxy._link_set import LinkSet
from standins.proxy._proxy import FaultProxy
from standins.proxy._shared_proxy import SharedProxy

__all__ = [
    "Cut",
    "Delay",
    "Direction",
    "Fault",
    "FaultProxy",
    "LinkSet",
    "Pass",
    "Refuse",
    "Scope",
    "SharedProxy",
    "Silence",
    "Truncate",
    "fault_from_dict",
]
