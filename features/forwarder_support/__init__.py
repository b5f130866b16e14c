"""A forwarder whose other nodes are unreachable, to see which of them it tries."""

from typing import Any

from foxtailshunt.admission import Call
from foxtailshunt.errors import ResultCode
from foxtailshunt.fleet import Member
from foxtailshunt.relay import Forwarder, Outcome
from foxtailshunt.upstreams import LeavingUpstreams


class RecordingForwarder(Forwarder):
    """Records the nodes to which it would forward requests; each of them is unreachable."""

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.tried: list[Member] = []

    def _forward(self, member: Member, call: Call, caller: object) -> Outcome | None:
        self.tried.append(member)
        return None


class RefusingSender:
    """Stands for the sender of the forwarding node."""

    def __init__(self) -> None:
        self.leaving = LeavingUpstreams()

    def execute(self, call: Call, caller: object) -> Outcome:
        return Outcome(ResultCode.NO_OWNER, "not sent", retry_after_s=1.0)
