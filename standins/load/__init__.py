"""Generates load at given rates from separate processes and records latency histograms."""

from standins.load._outcomes import Outcome, read_outcomes
from standins.load._runner import LoadRun
from standins.load._spec import LoadSpec, StreamSpec
from standins.load._summary import StreamSummary

__all__ = ["LoadRun", "LoadSpec", "Outcome", "StreamSpec", "StreamSummary", "read_outcomes"]
