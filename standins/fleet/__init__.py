"""Test fleets: a store, upstreams and nodes on loopback addresses."""

from standins.fleet._fleet import Fleet, FleetOptions
from standins.fleet._layout import InstanceLayout, Layout, UpstreamLayout
from standins.fleet._node import NodeProcess
from standins.fleet._process import ManagedProcess, ProcessFailedError
from standins.fleet._wait import wait_for

__all__ = [
    "Fleet",
    "FleetOptions",
    "InstanceLayout",
    "Layout",
    "ManagedProcess",
    "NodeProcess",
    "ProcessFailedError",
    "UpstreamLayout",
    "wait_for",
]
