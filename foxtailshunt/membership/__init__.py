"""Membership between instances: heartbeats, and what spreads with them."""

from foxtailshunt.membership._view import View

__all__ = ["View"]
