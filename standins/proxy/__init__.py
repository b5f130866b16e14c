"""A TCP proxy that injects faults, for many links in one process.

A proxy stands on one link, from one end to another, so that each pair can be cut by itself. To the
caller a connection is made as soon as the proxy has accepted it; a target that refuses is seen as a
reset after that. Set :class:`Refuse` on the links to a process that is down to have callers see a
refused connection.
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
