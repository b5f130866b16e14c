"""The entry: callers' HTTP, admission and routing."""

from foxtailshunt.entry._caller_connection import CallerHttpRequest
from foxtailshunt.entry._entry import Entry
from foxtailshunt.entry._socket_files import make_file
from foxtailshunt.entry._statuses import CodeStatus, status_of

__all__ = ["CallerHttpRequest", "CodeStatus", "Entry", "make_file", "status_of"]
