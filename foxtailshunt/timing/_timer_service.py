"""Timer service that calls its subscribers at fixed intervals on one thread."""

import heapq
import itertools
import threading
from collections.abc import Callable
from dataclasses import dataclass, field

from foxtailshunt.timing._clock import Clock


@dataclass
class Subscription:
    """A subscription to a :class:`TimerService`."""

    #: Called on the timer thread at each interval; must not block.
    callback: Callable[[], None]
    #: Time between two calls, in seconds.
    interval_s: float
    #: Set by :meth:`cancel`.
    cancelled: threading.Event = field(default_factory=threading.Event)

    def cancel(self) -> None:
        """Stop further calls."""
        self.cancelled.set()


class TimerService:
    """Calls subscribers at fixed intervals.

    After a pause of the process each subscriber is called once, not once per missed interval.

    :param clock: clock that measures the intervals.
    :param on_error: called with each exception raised by a subscriber.
    """

    def __init__(self, clock: Clock, on_error: Callable[[Exception], None]) -> None:
        self._clock = clock
        self._on_error = on_error
        self._wakeup = threading.Condition()
        self._sequence = itertools.count()
        self._queue: list[tuple[float, int, Subscription]] = []
        self._stopping = False
        self._thread = threading.Thread(target=self._run, name="timer", daemon=True)

    def start(self) -> None:
        """Start the timer thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the timer thread and wait for the current call to end."""
        with self._wakeup:
            self._stopping = True
            self._wakeup.notify()
        self._thread.join()

    def subscribe(self, interval_s: float, callback: Callable[[], None]) -> Subscription:
        """Call ``callback`` every ``interval_s`` seconds until the subscription is cancelled.

        :param interval_s: time between calls in seconds; the first call follows one interval later.
        :param callback: called on the timer thread; must not block.
        :returns: the subscription, which can be cancelled.
        """
        subscription = Subscription(callback, interval_s)
        with self._wakeup:
            self._schedule(subscription)
            self._wakeup.notify()
        return subscription

    def _schedule(self, subscription: Subscription) -> None:
        due_at = self._clock.now() + subscription.interval_s
        heapq.heappush(self._queue, (due_at, next(self._sequence), subscription))

    def _run(self) -> None:
        while True:
            subscription = self._wait_for_due()
            if subscription is None:
                return
            self._call(subscription)

    def _wait_for_due(self) -> Subscription | None:
        with self._wakeup:
            while not self._stopping:
                delay_s = self._queue[0][0] - self._clock.now() if self._queue else None
                if delay_s is not None and delay_s <= 0:
                    return heapq.heappop(self._queue)[2]
                self._wakeup.wait(delay_s)
        return None

    def _call(self, subscription: Subscription) -> None:
        if subscription.cancelled.is_set():
            return
        try:
            subscription.callback()
        except Exception as exc:
            self._on_error(exc)
        with self._wakeup:
            self._schedule(subscription)
