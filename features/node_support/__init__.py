"""Fixture for node processes with stand-ins for the store and the upstreams."""

from features.node_support._fleet import CallerAnswer, NodeFleet

__all__ = ["CallerAnswer", "NodeFleet"]
