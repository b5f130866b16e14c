"""Fakes at the interfaces of ownership: clocks, documents, upstreams and dispatchers.

The random model in :mod:`standins.ownership.model` is made of them.
"""

from standins.ownership._documents import ZONE, config_document, row_of, table_document
from standins.ownership._fake_upstream import FakeClient, FakeUpstream
from standins.ownership._fakes import FakeClock, FakeLoad, fence_of
from standins.ownership._rig import DispatcherRig
from standins.ownership._scripted_assigner import ScriptedAssigner, random_host

__all__ = [
    "ZONE",
    "DispatcherRig",
    "FakeClient",
    "FakeClock",
    "FakeLoad",
    "FakeUpstream",
    "ScriptedAssigner",
    "config_document",
    "fence_of",
    "random_host",
    "row_of",
    "table_document",
]
