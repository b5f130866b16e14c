"""Routes, services and limits in force, and how a request finds its route."""

from foxtailshunt.routing._route_table import RouteTable
from foxtailshunt.routing._types import FrontLimits, Route, ServiceInfo, WeightedService
from foxtailshunt.routing._weighted_choice import WeightedChoice

__all__ = [
    "FrontLimits",
    "Route",
    "RouteTable",
    "ServiceInfo",
    "WeightedChoice",
    "WeightedService",
]
