"""Runs a stand-in in a child process."""

import subprocess
import sys
from collections.abc import Sequence

_STOP_TIMEOUT_S = 20


class StandinProcess:
    """A stand-in that runs in a child process.

    :param module: module to run, such as ``standins.proxy``.
    :param arguments: command-line arguments; ``--listen 127.0.0.1:0`` binds a free port.
    :raises RuntimeError: the process exited before it was ready.
    """

    def __init__(self, module: str, arguments: Sequence[str]) -> None:
        command = [sys.executable, "-m", module, *arguments]
        self._process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        self.address = self._wait_until_ready(module)

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._process.pid

    def send_signal(self, number: int) -> None:
        """Send a signal to the process.

        :param number: signal number.
        """
        self._process.send_signal(number)

    def wait(self) -> int:
        """Wait for the process to exit and return its exit code.

        :raises subprocess.TimeoutExpired: it did not exit within 20 s.
        """
        return self._process.wait(_STOP_TIMEOUT_S)

    def stop(self) -> int:
        """Send SIGTERM, wait for the process to exit and return its exit code.

        The process is killed if it does not exit within 20 s.
        """
        self._process.terminate()
        return self._wait_or_kill()

    def kill(self) -> None:
        """Kill the process with SIGKILL."""
        self._process.kill()
        self._wait_or_kill()

    def _wait_or_kill(self) -> int:
        try:
            return self.wait()
        except subprocess.TimeoutExpired:
            self._process.kill()
            return self._process.wait()
        finally:
            self._process.stdout.close()

    def _wait_until_ready(self, module: str) -> tuple[str, int]:
        line = self._process.stdout.readline()
        if not line.startswith("listening "):
            self.kill()
            raise RuntimeError(f"{module} exited before it was ready")
        host, _, port = line.split()[1].rpartition(":")
        return host, int(port)
