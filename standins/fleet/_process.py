"""A child process of a test fleet."""

import os
import signal
import subprocess
import sys
from pathlib import Path

_ROOT = Path(__file__).resolve().parent.parent.parent


class ProcessFailedError(Exception):
    """A process of the fleet failed or did not exit in time.

    :param name: name of the process.
    :param detail: output of the process, or the reason of the failure.
    """

    def __init__(self, name: str, detail: str) -> None:
        super().__init__(f"{name} failed:\n{detail}")


class ManagedProcess:
    """A child process that runs the Python interpreter; signals are sent to its process id.

    :param name: name of the process and its log file; unique in the fleet.
    :param arguments: arguments of the Python interpreter.
    :param log_dir: directory of the log file, which receives standard output and error.
    """

    def __init__(self, name: str, arguments: list[str], log_dir: Path) -> None:
        self.name = name
        self._arguments = arguments
        self._log_path = log_dir / f"{name}.log"
        self._process: subprocess.Popen[bytes] | None = None
        self._frozen = False

    @property
    def pid(self) -> int:
        """Return the process id of the running process."""
        assert self._process is not None
        return self._process.pid

    @property
    def running(self) -> bool:
        """Return whether the process is running."""
        return self._process is not None and self._process.poll() is None

    @property
    def frozen(self) -> bool:
        """Return whether the process is paused."""
        return self._frozen

    @property
    def exit_code(self) -> int | None:
        """Return the exit code, or None while the process is running."""
        return self._process.poll() if self._process else None

    def start(self) -> None:
        """Start the process."""
        with self._log_path.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, *self._arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                cwd=_ROOT,
                # As on the platform; further arenas keep freed memory.
                env=os.environ | {"MALLOC_ARENA_MAX": "1"},
            )
        self._frozen = False

    def kill(self) -> None:
        """Kill the process with SIGKILL and wait for it to exit."""
        if self.running:
            self._process.kill()
        self._reap()

    def terminate(self) -> None:
        """Send SIGTERM to the process without waiting for it to exit."""
        if self.running:
            self._process.terminate()

    def freeze(self) -> None:
        """Pause the process with SIGSTOP."""
        os.kill(self.pid, signal.SIGSTOP)
        self._frozen = True

    def resume(self) -> None:
        """Resume a paused process with SIGCONT."""
        os.kill(self.pid, signal.SIGCONT)
        self._frozen = False

    def wait(self, timeout_s: float) -> int:
        """Wait for the process to exit.

        :param timeout_s: timeout in seconds.
        :returns: the exit code.
        :raises ProcessFailedError: the process is still running.
        """
        try:
            return self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            raise ProcessFailedError(self.name, f"still running after {timeout_s} s")

    def log(self) -> str:
        """Return the content of the log file."""
        if not self._log_path.exists():
            return ""
        return self._log_path.read_text(encoding="utf-8", errors="replace")

    def _reap(self) -> None:
        if self._process is not None:
            self._process.wait()
