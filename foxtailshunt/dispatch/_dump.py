"""The state of dispatch for operators."""

from dataclasses import asdict, dataclass

from foxtailshunt.config import Rank
from foxtailshunt.dispatch._in_progress import InProgress
from foxtailshunt.dispatch._request_memory import RequestMemory
from foxtailshunt.dispatch._upstream_state import UpstreamState


@dataclass(frozen=True, slots=True)
class UpstreamDump:
    """What operators see of one upstream."""

    #: Requests that may be at the upstream.
    in_flight: int
    #: Most requests allowed there now.
    limit: int
    #: Requests that wait, by rank.
    queued: dict[str, int]
    #: Slot-seconds of work a second.
    load: float
    #: Retries allowed now.
    retry_tokens: float


@dataclass(frozen=True, slots=True)
class DispatchDump:
    """What operators see of a dispatcher's requests."""

    #: Execute calls in progress.
    calls: int
    #: True once new calls are refused.
    stopping: bool
    #: Remembered request ids.
    memory_requests: int
    #: Counted size of the request memory, in bytes.
    memory_bytes: int
    #: By upstream id.
    upstreams: dict[str, UpstreamDump]


def dump_dispatch(
    states: tuple[UpstreamState, ...], memory: RequestMemory, in_progress: InProgress
) -> dict[str, object]:
    """Return the state as a document for JSON.

    :param states: the upstreams' states.
    :param memory: the request memory.
    :param in_progress: the calls in progress.
    """
    dump = DispatchDump(
        calls=in_progress.count,
        stopping=in_progress.is_stopping,
        memory_requests=memory.count,
        memory_bytes=memory.size_bytes,
        upstreams={state.upstream_id: _dump_upstream(state) for state in states},
    )
    return asdict(dump)


def _dump_upstream(state: UpstreamState) -> UpstreamDump:
    queued = {rank.value: state.queue.queued(rank) for rank in Rank}
    return UpstreamDump(
        in_flight=state.queue.in_flight(),
        limit=state.limit.value(state.now()),
        queued=queued,
        load=round(state.load().load, 3),
        retry_tokens=round(state.budget.tokens, 2),
    )
