"""HTTP servers for callers' requests and for readiness checks."""

from foxtailshunt.front._front_server import FrontServer
from foxtailshunt.front._readiness_server import ReadinessServer
from foxtailshunt.front._request_handler import RequestHandler

__all__ = ["FrontServer", "ReadinessServer", "RequestHandler"]
