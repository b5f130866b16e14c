"""The timer service: one thread that calls its subscribers at their intervals."""

import heapq
import itertools
import threading
from collections.abc import Callable
from dataclasses import dataclass, field

from foxtailshunt.timing._clock import Clock


@dataclass
class Subscription:
    """One subscriber of a :class:`TimerService`."""

    #: Called at each interval, on the timer thread; it must not block.
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

    After a pause of the process each subscriber is called once, not once for each interval missed.

    :param clock: the clock that intervals are counted on.
    :param on_error: called with an exception that a subscriber raised.
    """

    def __init__(self, clock: Clock, on_error: Callable[[Exception], None]) -> None:
        self._clock = clock
        self._on_error = on_error
        self._wakeup = threading.Condition()
        self._sequence = itertools.count()
        self._due: list[tuple[float, int, Subscription]] = []
        self._stopping = False
        self._thread = threading.Thread(target=self._run, name="timer", daemon=True)

    def start(self) -> None:
        """Start the timer thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the timer thread and wait until the current call has ended."""
        with self._wakeup:
            self._stopping = True
            self._wakeup.notify()
        self._thread.join()

    def subscribe(self, interval_s: float, callback: Callable[[], None]) -> Subscription:
        """Call ``callback`` every ``interval_s`` seconds until the subscription is cancelled.

        :param interval_s: seconds between calls; the first call comes after one interval.
        :param callback: called on the timer thread; it must not block.
        :returns: the subscription.
        """
        subscription = Subscription(callback, interval_s)
        with self._wakeup:
            self._push(subscription)
            self._wakeup.notify()
        return subscription

    def _push(self, subscription: Subscription) -> None:
        due = self._clock.now() + subscription.interval_s
        heapq.heappush(self._due, (due, next(self._sequence), subscription))

    def _run(self) -> None:
        while True:
            subscription = self._next_due()
            if subscription is None:
                return
            self._call(subscription)

    def _next_due(self) -> Subscription | None:
        with self._wakeup:
            while not self._stopping:
                delay = self._due[0][0] - self._clock.now() if self._due else None
                if delay is not None and delay <= 0:
                    return heapq.heappop(self._due)[2]
                self._wakeup.wait(delay)
        return None

    def _call(self, subscription: Subscription) -> None:
        if subscription.cancelled.is_set():
            return
        try:
            subscription.callback()
        except Exception as exc:
            self._on_error(exc)
        with self._wakeup:
            self._push(subscription)
