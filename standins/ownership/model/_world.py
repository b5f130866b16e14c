"""Virtual time: tasks run one at a time, on threads of their own, in an order that a seed gives."""

import heapq
import itertools
import random
import threading
from collections.abc import Callable

_LATE_SHARE = 0.02
_MAX_LATE_S = 2.0
_LOSS_SHARE = 0.01
_DELAY_S = 0.002


class TaskStopped(BaseException):
    """Ends a task because the run is over."""


class Process:
    """A process that may be paused or dead; its tasks run only while it is neither.

    :param name: its name on the network.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.paused_until = 0.0
        self.is_dead = False


def _held_lock() -> threading.Lock:
    lock = threading.Lock()
    lock.acquire()
    return lock


class _Task:
    def __init__(self, world: "World", process: Process, body: Callable[[], None]) -> None:
        self.process = process
        self.token: object = None
        self._world = world
        self._body = body
        self._turn = _held_lock()
        self._is_done = False
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def resume(self) -> None:
        if self._is_done:
            return
        self._turn.release()
        self._world.main_turn.acquire()

    def resume_if(self, token: object) -> None:
        if self.token is token:
            self.token = None
            self.resume()

    def wait(self) -> None:
        self._world.main_turn.release()
        self._turn.acquire()
        if self._world.is_stopping:
            raise TaskStopped

    def _run(self) -> None:
        self._turn.acquire()
        self._world.local.task = self
        try:
            if not self._world.is_stopping:
                self._body()
        except TaskStopped:
            pass
        except Exception as exc:
            self._world.errors.append(exc)
        self._is_done = True
        self._world.main_turn.release()


class World:
    """The event queue and the network between processes.

    :param seed: decides everything that is random.
    """

    def __init__(self, seed: int) -> None:
        self.time = 0.0
        self.rng = random.Random(seed)
        self.main_turn = _held_lock()
        self.local = threading.local()
        self.is_stopping = False
        self.errors: list[Exception] = []
        #: What was found wrong.
        self.faults: list[str] = []
        self.cuts: set[frozenset[str]] = set()
        self._queue: list[tuple[float, int, Callable[[], None], Process | None]] = []
        self._sequence = itertools.count()
        self._tasks: list[_Task] = []

    def run(self, until: float) -> None:
        """Run until a time or until something was found wrong, then end all tasks."""
        while self._queue and not self.faults and not self.errors:
            at, _, action, process = heapq.heappop(self._queue)
            if at > until:
                break
            self.time = at
            if process is None or self._may_run(process, action):
                action()
        self.is_stopping = True
        for task in self._tasks:
            task.resume()
        if self.errors:
            raise self.errors[0]

    def after(
        self, delay_s: float, action: Callable[[], None], process: Process | None = None
    ) -> None:
        """Do something later, as part of a process if one is given."""
        entry = (self.time + delay_s, next(self._sequence), action, process)
        heapq.heappush(self._queue, entry)

    def spawn(self, process: Process, body: Callable[[], None]) -> None:
        """Start a task of a process."""
        task = _Task(self, process, body)
        self._tasks.append(task)
        self.after(0.0, task.resume, process)

    def sleep(self, delay_s: float) -> None:
        """Let the current task sleep."""
        task = self._task()
        self.after(delay_s, task.resume, task.process)
        task.wait()

    def pause(self, delay_s: float) -> None:
        """Pause the whole process of the current task.

        The task goes on first, so that no other waits for a lock that it holds.
        """
        task = self._task()
        task.process.paused_until = self.time + delay_s
        self.after(delay_s, lambda: None if task.process.is_dead else task.resume())
        task.wait()

    def in_task_of(self, process: Process) -> bool:
        """Return whether a task of a process runs now."""
        task = getattr(self.local, "task", None)
        return task is not None and task.process is process

    def call(
        self, target: Process, handle: Callable[[], object], timeout_s: float
    ) -> object | None:
        """Let another process handle a message; None if no answer came in time.

        The message may be lost, or arrive late, after the timeout too.
        """
        task = self._task()
        token = task.token = object()
        answers: list[object] = []

        def answer() -> None:
            answers.append(reply)
            task.resume_if(token)

        def deliver() -> None:
            nonlocal reply
            reply = handle()
            self._transmit(target, task.process, answer)

        reply: object = None
        self._transmit(task.process, target, deliver)
        self.after(timeout_s, lambda: task.resume_if(token), task.process)
        task.wait()
        return answers[0] if answers else None

    def send(self, sender: Process, target: Process, handle: Callable[[], None]) -> None:
        """Let another process handle a message that is not answered."""
        self._transmit(sender, target, handle)

    def _transmit(self, sender: Process, target: Process, handle: Callable[[], None]) -> None:
        is_cut = frozenset((sender.name, target.name)) in self.cuts
        if is_cut or self.rng.random() < _LOSS_SHARE:
            return
        delay_s = self.rng.expovariate(1 / _DELAY_S)
        if self.rng.random() < _LATE_SHARE:
            delay_s += self.rng.uniform(0, _MAX_LATE_S)
        self.after(delay_s, handle, target)

    def _may_run(self, process: Process, action: Callable[[], None]) -> bool:
        if process.is_dead:
            return False
        if process.paused_until > self.time:
            self.after(process.paused_until - self.time, action, process)
            return False
        return True

    def _task(self) -> _Task:
        return self.local.task


class ModelClock:
    """A process's clock: its own rate, and now and then a pause right after a reading.

    :param world: true time.
    :param process: the process that reads it.
    :param rate: seconds of this clock in one true second.
    :param pause_share: share of readings that a pause follows.
    """

    def __init__(self, world: World, process: Process, rate: float, pause_share: float) -> None:
        self._world = world
        self._process = process
        self._rate = rate
        self._pause_share = pause_share
        self._offset_s = world.rng.uniform(10, 1000)

    def now(self) -> float:
        value = self._offset_s + self._world.time * self._rate
        if self._pause_share and self._world.in_task_of(self._process):
            rng = self._world.rng
            if rng.random() < self._pause_share:
                self._world.pause(rng.expovariate(1.0))
        return value

    def wall_time(self) -> float:
        return self.now()
