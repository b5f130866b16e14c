"""Reading of callers' request headers and formatting of the replies to callers."""

from foxtailshunt.callers._interface import CallerInterface
from foxtailshunt.callers._own_interface import OwnCallerInterface
from foxtailshunt.callers._statuses import CodeStatus, status_of
from foxtailshunt.callers._types import Failure, Headers, Reply, RequestInfo

__all__ = [
    "RequestInfo",
    "CallerInterface",
    "CodeStatus",
    "Failure",
    "Headers",
    "OwnCallerInterface",
    "Reply",
    "status_of",
]
