"""Route tables, which map requests to routes, services and keys."""

from foxtailshunt.routing._host_routes import HostRoute, HostRoutes
from foxtailshunt.routing._keys import KEY_COUNT, key_number
from foxtailshunt.routing._operation_routes import Operation, OperationRoutes
from foxtailshunt.routing._regions import Regions
from foxtailshunt.routing._route_table import RouteFinder, RouteTable
from foxtailshunt.routing._types import (
    FrontLimits,
    RankFloor,
    RequestLine,
    Route,
    RouteMatch,
    ServiceInfo,
    WeightedService,
)
from foxtailshunt.routing._weighted_choice import WeightedChoice

__all__ = [
    "KEY_COUNT",
    "FrontLimits",
    "HostRoute",
    "HostRoutes",
    "Operation",
    "OperationRoutes",
    "RankFloor",
    "Regions",
    "RequestLine",
    "Route",
    "RouteFinder",
    "RouteMatch",
    "RouteTable",
    "ServiceInfo",
    "WeightedChoice",
    "WeightedService",
    "key_number",
]
