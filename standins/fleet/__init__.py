"""Starts whole fleets of stand-ins and programs as plain processes on loopback."""

from standins.fleet._fleet import PROGRAMS, Fleet, FleetOptions, records_name
from standins.fleet._layout import InstanceLayout, Layout, UpstreamLayout
from standins.fleet._process import ManagedProcess, ProcessFailedError
from standins.fleet._wait import wait_for

__all__ = [
    "PROGRAMS",
    "Fleet",
    "FleetOptions",
    "InstanceLayout",
    "Layout",
    "ManagedProcess",
    "ProcessFailedError",
    "UpstreamLayout",
    "records_name",
    "wait_for",
]
