"""The baseline that the product is measured against.

Each entry sends directly to the upstreams with its share of their slots, first come first served.
It keeps no ranks, no grants and no request ids; it exists for measurements only.
"""

from standins.baseline._entry import BaselineEntry

__all__ = ["BaselineEntry"]
