"""The thread that keeps one long poll open at one assigner."""

import random
import threading
from collections.abc import Callable

from foxtailshunt.ownership import Address
from foxtailshunt.protocol import PeerClient, SyncReply, SyncRequest
from foxtailshunt.protocol.gen import Assigner
from foxtailshunt.timing import Clock

_FIRST_RETRY_S = 0.05
_RETRY_LIMIT_S = 0.5
_MIN_CALL_INTERVAL_S = 0.02
_REPLY_MARGIN_S = 0.25

#: Returns the time to pause before the next call in seconds, 0 for none, None to end the link.
PauseSource = Callable[[], float | None]


class PeerLink:
    """Calls ``sync`` at one assigner again and again, on one connection.

    :param address: the assigner's address.
    :param make_request: builds the next request.
    :param take_reply: called with each reply.
    :param pause: asked before each call.
    :param on_failure: called with the error of each call that failed.
    :param clock: spaces calls.
    """

    def __init__(
        self,
        address: Address,
        make_request: Callable[[], SyncRequest],
        take_reply: Callable[[SyncReply], None],
        pause: PauseSource,
        on_failure: Callable[[Exception], None],
        clock: Clock,
    ) -> None:
        self._address = address
        self._make_request = make_request
        self._take_reply = take_reply
        self._pause = pause
        self._on_failure = on_failure
        self._clock = clock
        self._stopping = threading.Event()
        self._client: PeerClient | None = None
        self._retry_s = _FIRST_RETRY_S
        self._thread = threading.Thread(target=self._run, name="sync-peer", daemon=True)

    def start(self) -> None:
        """Start calling."""
        self._thread.start()

    def stop(self) -> None:
        """End after the call in progress; does not wait for it."""
        self._stopping.set()

    def join(self, timeout_s: float) -> None:
        """Wait for the thread to end.

        :param timeout_s: longest wait in seconds.
        """
        self._thread.join(timeout_s)

    def _run(self) -> None:
        while not self._stopping.is_set():
            pause_s = self._pause()
            if pause_s is None:
                break
            if pause_s > 0:
                self._close()
                self._stopping.wait(pause_s)
            else:
                self._call_once()
        self._close()

    def _call_once(self) -> None:
        began_at = self._clock.now()
        try:
            reply = self._exchange()
            self._take_reply(reply)
        except Exception as exc:
            # A thread that ended would leave the process without this peer for good.
            self._fail(exc)
            return
        self._retry_s = _FIRST_RETRY_S
        elapsed_s = self._clock.now() - began_at
        if elapsed_s < _MIN_CALL_INTERVAL_S:
            self._stopping.wait(_MIN_CALL_INTERVAL_S - elapsed_s)

    def _exchange(self) -> SyncReply:
        if self._client is None:
            client = PeerClient(Assigner, self._address)
            client.open()
            self._client = client
        req = self._make_request()
        return self._client.call("sync", req, req.wait_ms / 1000 + _REPLY_MARGIN_S)

    def _fail(self, exc: Exception) -> None:
        self._on_failure(exc)
        if self._client is not None:
            self._client.reset()
            self._client = None
        self._stopping.wait(self._retry_s * random.uniform(0.5, 1.0))
        self._retry_s = min(2 * self._retry_s, _RETRY_LIMIT_S)

    def _close(self) -> None:
        if self._client is not None:
            self._client.close()
            self._client = None
