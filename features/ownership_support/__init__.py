"""Fakes that steps of ownership share: clocks, documents, upstreams and dispatchers."""

from features.ownership_support._documents import ZONE, config_document, row_of, table_document
from features.ownership_support._fake_upstream import FakeClient, FakeUpstream
from features.ownership_support._fakes import FakeClock, FakeLoad, fence_of
from features.ownership_support._rig import DispatcherRig
from features.ownership_support._scripted_assigner import ScriptedAssigner, random_host

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
