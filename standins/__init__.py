"""Stand-ins for the platform and the upstreams, and a fault-injecting proxy."""

from standins._process import StandinProcess

__all__ = ["StandinProcess"]
