"""A seeded random model of ownership over the real classes, in virtual time."""

from features.ownership_support.model._fleet import ModelFleet
from features.ownership_support.model._rules import RULES, Rules

__all__ = ["RULES", "ModelFleet", "Rules"]
