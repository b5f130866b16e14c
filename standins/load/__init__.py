"""Load of callers at stated rates, in processes of its own, with latency histograms."""

from standins.load._outcomes import Outcome, read_outcomes
from standins.load._runner import LoadRun
from standins.load._spec import LoadSpec, StreamSpec
from standins.load._summary import StreamSummary

__all__ = ["LoadRun", "LoadSpec", "Outcome", "StreamSpec", "StreamSummary", "read_outcomes"]
