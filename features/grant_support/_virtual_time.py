"""Runs threads one at a time in virtual time, in an order that depends on nothing else."""

import heapq
import itertools
import threading
import time
from collections.abc import Callable
from contextlib import contextmanager
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any


class ProcessKilledError(BaseException):
    """Ends the threads of a killed process; not an Exception, so that no handler continues."""


def _held_lock() -> Any:
    lock = threading.Lock()
    lock.acquire()
    return lock


@dataclass(eq=False, slots=True)
class Process:
    """A process whose threads can be killed or suspended together."""

    name: str
    is_killed: bool = False
    is_suspended: bool = False
    tasks: list["_Task"] = field(default_factory=list)
    #: Tasks that became due while the process was suspended.
    deferred: list[tuple["_Task", int]] = field(default_factory=list)


@dataclass(eq=False, slots=True)
class _Task:
    process: Process
    #: Released to let the thread go on.
    gate: Any = field(default_factory=_held_lock)
    #: Number of the current wait; a scheduled resumption of an earlier wait has no effect.
    wait: int = 0
    #: Whether it waits for a message on its way, which a suspension of its process does not stop.
    is_remote: bool = False
    is_done: bool = False


class VirtualTime:
    """A scheduler with its own clock. A thread is only interrupted where it waits."""

    def __init__(self) -> None:
        self.now = 0.0
        #: Errors that ended a thread.
        self.errors: list[BaseException] = []
        self._due: list[tuple[float, int, _Task, int]] = []
        self._numbers = itertools.count()
        self._main = _held_lock()
        self._current: _Task | None = None
        self._starting = Process("main")
        #: Threads in virtual time. Others, such as those that an earlier feature has left running,
        #: use the real clock and the real module ``threading``.
        self._threads = {threading.get_ident()}

    @property
    def process(self) -> Process:
        """Return the process of the current thread."""
        return self._current.process if self._current is not None else self._starting

    @contextmanager
    def starting(self, process: Process) -> Any:
        """Let threads that are started meanwhile belong to a process."""
        self._starting = process
        yield
        self._starting = Process("main")

    def spawn(self, target: Callable[..., Any], args: tuple = ()) -> None:
        """Start a thread of the current process."""
        task = _Task(self.process)

        def run() -> None:
            self._threads.add(threading.get_ident())
            task.gate.acquire()
            try:
                if not task.process.is_killed:
                    target(*args)
            except ProcessKilledError:
                pass
            except BaseException as exc:
                self.errors.append(exc)
            task.is_done = True
            task.process.tasks.remove(task)
            self._threads.discard(threading.get_ident())
            self._main.release()

        task.process.tasks.append(task)
        threading.Thread(target=run, daemon=True).start()
        self._schedule(0.0, task)

    @contextmanager
    def remote(self) -> Any:
        """Let the current thread go on while its process is suspended, as messages do."""
        task = self._current
        task.is_remote = True
        try:
            yield
        finally:
            task.is_remote = False
        if task.process.is_suspended:
            self.sleep(0.0)

    def sleep(self, seconds: float | None) -> None:
        """Wait in the current thread; without a limit until it is woken."""
        task = self._current
        assert task is not None, "only threads of the scheduler can wait"
        task.wait += 1
        if seconds is not None:
            self._schedule(seconds, task)
        self._main.release()
        task.gate.acquire()
        if task.process.is_killed:
            raise ProcessKilledError

    def advance(self, seconds: float) -> None:
        """Run all threads for some time."""
        end = self.now + seconds
        while self._due and self._due[0][0] <= end:
            at, _, task, wait = heapq.heappop(self._due)
            if wait != task.wait or task.is_done:
                continue
            self.now = max(self.now, at)
            if task.process.is_suspended and not task.is_remote:
                task.process.deferred.append((task, wait))
            else:
                self._resume(task)
        self.now = end

    def kill(self, process: Process) -> None:
        """End all threads of a process."""
        process.is_killed = True
        for task in list(process.tasks):
            self._resume(task)

    def continue_process(self, process: Process) -> None:
        """End the suspension of a process."""
        process.is_suspended = False
        for task, wait in process.deferred:
            if wait == task.wait:
                self._schedule(0.0, task)
        process.deferred.clear()

    def time_module(self) -> SimpleNamespace:
        """Return a replacement of the module ``time``."""
        return SimpleNamespace(
            monotonic=lambda: self.now if self.is_virtual() else time.monotonic(),
            sleep=lambda seconds: (
                self.sleep(seconds) if self.is_virtual() else time.sleep(seconds)
            ),
        )

    def is_virtual(self) -> bool:
        """Return whether the current thread runs in virtual time."""
        return threading.get_ident() in self._threads

    def threading_module(self) -> SimpleNamespace:
        """Return a replacement of the module ``threading``."""
        scheduler = self

        class Waiters:
            def __init__(self) -> None:
                self._is_set = False
                self._tasks: list[_Task] = []

            def __enter__(self) -> None: ...

            def __exit__(self, *_exc: object) -> None: ...

            def is_set(self) -> bool:
                return self._is_set

            def set(self) -> None:
                self._is_set = True
                self.notify_all()

            def clear(self) -> None:
                self._is_set = False

            def notify_all(self) -> None:
                tasks, self._tasks = self._tasks, []
                for task in tasks:
                    scheduler._schedule(0.0, task)

            def wait(self, timeout: float | None = None) -> bool:
                return self.wait_for(self.is_set, timeout)

            def wait_for(self, is_met: Callable[[], Any], timeout: float | None = None) -> Any:
                end = scheduler.now + (float("inf") if timeout is None else timeout)
                while not (result := is_met()) and scheduler.now < end:
                    task = scheduler._current
                    self._tasks.append(task)
                    scheduler.sleep(None if timeout is None else end - scheduler.now)
                    if task in self._tasks:
                        self._tasks.remove(task)
                return result

        class Thread:
            def __init__(
                self, target: Callable, args: tuple = (), name: str = "", daemon: bool = False
            ) -> None:
                self._target, self._args = target, args

            def start(self) -> None:
                scheduler.spawn(self._target, self._args)

        def choose(virtual: Callable[..., Any], real: Callable[..., Any]) -> Callable[..., Any]:
            return lambda *args, **kwargs: (virtual if self.is_virtual() else real)(*args, **kwargs)

        return SimpleNamespace(
            Thread=choose(Thread, threading.Thread),
            Event=choose(Waiters, threading.Event),
            Condition=choose(Waiters, threading.Condition),
            Lock=threading.Lock,
            RLock=threading.RLock,
        )

    def _schedule(self, seconds: float, task: _Task) -> None:
        heapq.heappush(self._due, (self.now + seconds, next(self._numbers), task, task.wait))

    def _resume(self, task: _Task) -> None:
        self._current = task
        task.gate.release()
        self._main.acquire()
        self._current = None
