"""Support of the features that run whole fleets."""

from features.fleet_support._subject import FleetSubject

__all__ = ["FleetSubject"]
