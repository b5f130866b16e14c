"""Nodes as real processes beside stand-ins of the platform."""

from features.node_support._fleet import CallerAnswer, NodeFleet

__all__ = ["CallerAnswer", "NodeFleet"]
