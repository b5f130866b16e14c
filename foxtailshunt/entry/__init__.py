"""The entry: callers' HTTP, admission and routing."""

from foxtailshunt.entry._entry import Entry
from foxtailshunt.entry._statuses import CodeStatus, status_of

__all__ = ["CodeStatus", "Entry", "status_of"]
