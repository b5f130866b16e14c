"""A seeded random model of ownership over the real classes, in virtual time."""

from standins.ownership.model._fleet import ModelFleet
from standins.ownership.model._rules import RULES, Rules

__all__ = ["RULES", "ModelFleet", "Rules"]
