"""The dispatcher's Thrift service."""

from foxtailshunt.dispatch import DispatchService
from foxtailshunt.errors import ResultCode
from foxtailshunt.ownership.authority import Witness
from foxtailshunt.protocol import (
    AssentReply,
    AssentRequest,
    CancelReply,
    CancelRequest,
    ExecuteReply,
    ExecuteRequest,
    MemoryReply,
    MemoryRequest,
    RefuseReply,
    RefuseRequest,
)


class DispatcherHandler:
    """Answers entries, other dispatchers and the assigner.

    :param dispatch: runs requests.
    :param witness: assents and refuses.
    :param boot_id: this process's boot id.
    """

    def __init__(self, dispatch: DispatchService, witness: Witness, boot_id: str) -> None:
        self._dispatch = dispatch
        self._witness = witness
        self._boot_id = boot_id

    def execute(self, req: ExecuteRequest) -> ExecuteReply:
        """Run a request.

        :param req: the request of an entry.
        """
        return self._dispatch.execute(req)

    def cancel(self, req: CancelRequest) -> CancelReply:
        """Give up a request.

        :param req: the cancellation of an entry.
        """
        return self._dispatch.cancel(req)

    def assent(self, req: AssentRequest) -> AssentReply:
        """Assent to a dispatcher.

        :param req: the request of a dispatcher.
        """
        return self._witness.assent(req)

    def refuse(self, req: RefuseRequest) -> RefuseReply:
        """Refuse lower fences from now on.

        :param req: the request of the assigner.
        """
        return self._witness.refuse(req)

    def export_memory(self, req: MemoryRequest) -> MemoryReply:
        """Hand request memory over.

        :param req: the request of the dispatcher that sends now.
        """
        if req.holder_boot_id != self._boot_id:
            return MemoryReply(int(ResultCode.WRONG_BOOT_ID), None, {}, {}, [])
        return self._dispatch.memory_transfer.export(req)
