"""Notices callers that close their connection while they wait."""

import select
import socket
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from foxtailshunt.entry._call import Call
from foxtailshunt.entry._entry_metrics import EntryMetrics
from foxtailshunt.errors import PeerUnreachableError
from foxtailshunt.ownership import Address
from foxtailshunt.protocol import CancelRequest, ClientPool
from foxtailshunt.timing import Subscription, TimerService

_INTERVAL_S = 0.05
_CANCEL_TIMEOUT_S = 0.5
_CANCEL_THREADS = 2
_HUNG_UP = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class HangUpWatcher:
    """Looks at the sockets of waiting calls and cancels those whose caller hung up.

    :param pool: connections to dispatchers for cancellations.
    :param metrics: where hang-ups are counted.
    """

    def __init__(self, pool: ClientPool, metrics: EntryMetrics) -> None:
        self._pool = pool
        self._metrics = metrics
        self._lock = threading.Lock()
        self._waiting: dict[int, Call] = {}
        self._executor = ThreadPoolExecutor(_CANCEL_THREADS, thread_name_prefix="cancel")
        self._subscription: Subscription | None = None

    def start(self, timers: TimerService) -> None:
        """Start looking.

        :param timers: calls back at intervals.
        """
        self._subscription = timers.subscribe(_INTERVAL_S, self.look)

    def stop(self) -> None:
        """Stop looking and let cancellations in progress end."""
        if self._subscription is not None:
            self._subscription.cancel()
        self._executor.shutdown()

    def add(self, call: Call, sock: socket.socket) -> Callable[[], None]:
        """Watch a call's socket and return a function that ends the watch.

        :param call: the call.
        :param sock: the caller's connection; it must stay open until the watch has ended.
        """
        number = sock.fileno()
        with self._lock:
            self._waiting[number] = call
        return lambda: self._remove(number)

    def look(self) -> None:
        """Look at every watched socket once."""
        with self._lock:
            waiting = dict(self._waiting)
        if not waiting:
            return
        poll = select.poll()
        for number in waiting:
            poll.register(number, select.POLLRDHUP)
        for number, event in poll.poll(0):
            if event & _HUNG_UP:
                self._take_hang_up(waiting[number])

    def _remove(self, number: int) -> None:
        with self._lock:
            self._waiting.pop(number, None)

    def _take_hang_up(self, call: Call) -> None:
        if call.hung_up:
            return
        call.hung_up = True
        self._metrics.hung_up()
        dispatcher = call.dispatcher
        if dispatcher is not None:
            req = CancelRequest(request_id=call.request_id, upstream_id=call.upstream_id)
            self._executor.submit(self._cancel, dispatcher, req)

    def _cancel(self, dispatcher: Address, req: CancelRequest) -> None:
        try:
            self._pool.call(dispatcher, "cancel", req, _CANCEL_TIMEOUT_S)
        except PeerUnreachableError:
            self._pool.forget(dispatcher)
