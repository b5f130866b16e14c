"""How callers name their requests and how they are answered."""

from foxtailshunt.callers._interface import CallerInterface
from foxtailshunt.callers._own import OwnCallers
from foxtailshunt.callers._statuses import CodeStatus, status_of
from foxtailshunt.callers._types import CallFacts, Failure, Headers, Reply

__all__ = [
    "CallFacts",
    "CallerInterface",
    "CodeStatus",
    "Failure",
    "Headers",
    "OwnCallers",
    "Reply",
    "status_of",
]
