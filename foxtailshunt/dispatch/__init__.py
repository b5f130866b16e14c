"""Service by rank at the dispatcher: queues, limits, retries and the memory of request ids."""

from foxtailshunt.dispatch._attempt_runner import ClientSource
from foxtailshunt.dispatch._memory_transfer import MemoryTransfer
from foxtailshunt.dispatch._service import DispatchService

__all__ = ["ClientSource", "DispatchService", "MemoryTransfer"]
