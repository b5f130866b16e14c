"""Measurements of the nodes on this machine."""
