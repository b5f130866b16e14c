"""Measurements of nodes that run on this machine."""
