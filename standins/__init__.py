"""Stand-ins for the store, the upstreams and the callers, and a fault-injecting proxy."""

from standins._process import StandinProcess

__all__ = ["StandinProcess"]
