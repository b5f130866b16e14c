"""Asks witnesses to refuse old fences until those that hold them can renew nothing."""

import threading
from typing import Protocol

from foxtailshunt.assigner._witness_choice import WitnessSet, blocking_quorum
from foxtailshunt.errors import PeerUnreachableError, ResultCode
from foxtailshunt.ownership import Address, ProcessRef
from foxtailshunt.protocol import ClientPool, RefuseReply, RefuseRequest
from foxtailshunt.protocol.gen import Dispatcher
from foxtailshunt.timing import Clock

_TIMEOUT_S = 0.25
_RETRY_INTERVAL_S = 0.1


class RefuseClient(Protocol):
    """Sends refusals to witnesses."""

    def refuse(self, address: Address, req: RefuseRequest) -> RefuseReply:
        """Send one request.

        :param address: the witness's address.
        :param req: the request.
        :raises PeerUnreachableError: no answer came.
        """
        ...


class PooledRefuseClient:
    """Implements :class:`RefuseClient` on the inner protocol."""

    def __init__(self) -> None:
        self._pool = ClientPool(Dispatcher, max_idle=1)

    def refuse(self, address: Address, req: RefuseRequest) -> RefuseReply:
        """Send one request.

        :param address: the witness's address.
        :param req: the request.
        :raises PeerUnreachableError: no answer came.
        """
        return self._pool.call(address, "refuse", req, _TIMEOUT_S)


class RefusalRound:
    """One round: a thread asks each witness until it answers.

    A witness counts as refusing once it says so, or once another incarnation answers in its place.
    Its round has succeeded when each witness set lost its majority a settling time ago.

    :param sets: the witness sets; all must be blocked.
    :param refs: the witnesses' processes by boot id.
    :param req: the request; the witness's boot id is filled in.
    :param settle_s: time from the last refusal needed until what it stops has surely ended, in
        seconds.
    :param client: sends the requests.
    :param clock: the clock that the settling time runs on.
    """

    def __init__(
        self,
        sets: tuple[WitnessSet, ...],
        refs: dict[str, ProcessRef],
        req: RefuseRequest,
        settle_s: float,
        client: RefuseClient,
        clock: Clock,
    ) -> None:
        self._sets = sets
        self._refs = refs
        self._req = req
        self._settle_s = settle_s
        self._client = client
        self._clock = clock
        self._lock = threading.Lock()
        self._refused: set[str] = set()
        self._blocked_at: float | None = None
        self._ended = threading.Event()

    def start(self) -> None:
        """Start asking."""
        for boot_id in sorted({boot_id for members in self._sets for boot_id in members}):
            if boot_id in self._refs:
                threading.Thread(
                    target=self._ask, args=(boot_id,), name=f"refuse-{boot_id}", daemon=True
                ).start()

    def stop(self) -> None:
        """Stop asking."""
        self._ended.set()

    def succeeded(self) -> bool:
        """Return whether what the refusals stop has surely ended."""
        with self._lock:
            blocked_at = self._blocked_at
        return blocked_at is not None and self._clock.now() - blocked_at >= self._settle_s

    def describe(self) -> str:
        """Return how far the round is."""
        with self._lock:
            parts = []
            for members in self._sets:
                refused = len(self._refused & set(members))
                parts.append(f"{refused} of {blocking_quorum(len(members))} refusals")
            settling = ", settling" if self._blocked_at is not None else ""
        return " and ".join(parts) + settling

    def _ask(self, boot_id: str) -> None:
        req = RefuseRequest(
            zone=self._req.zone,
            witness_boot_id=boot_id,
            table_fence=self._req.table_fence,
            floors=self._req.floors,
        )
        while not self._ended.is_set():
            if self._is_refused(boot_id, req):
                self._note(boot_id)
                return
            self._ended.wait(_RETRY_INTERVAL_S)

    def _is_refused(self, boot_id: str, req: RefuseRequest) -> bool:
        try:
            reply = self._client.refuse(self._refs[boot_id].address, req)
        except PeerUnreachableError:
            return False
        if reply.witness_boot_id != boot_id:
            return True
        return reply.code == ResultCode.ACCEPTED

    def _note(self, boot_id: str) -> None:
        with self._lock:
            self._refused.add(boot_id)
            if self._blocked_at is None and all(map(self._is_blocked, self._sets)):
                self._blocked_at = self._clock.now()

    def _is_blocked(self, members: WitnessSet) -> bool:
        return len(self._refused & set(members)) >= blocking_quorum(len(members))
