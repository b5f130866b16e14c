"""Starts a stand-in as a process of its own and ends it."""

import subprocess
import sys
from collections.abc import Sequence

_STOP_TIMEOUT_S = 20


class StandinProcess:
    """A running stand-in.

    :param module: its module, such as ``standins.proxy``.
    :param arguments: its command line; ``--listen 127.0.0.1:0`` takes a free port.
    :raises RuntimeError: it ended before it was ready.
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
        """Send a signal.

        :param number: the signal.
        """
        self._process.send_signal(number)

    def wait(self) -> int:
        """Wait until the process has ended and return its exit code.

        :raises subprocess.TimeoutExpired: it did not end within 20 s.
        """
        return self._process.wait(_STOP_TIMEOUT_S)

    def stop(self) -> int:
        """Ask the process to stop, wait until it has, and return its exit code."""
        self._process.terminate()
        return self._end()

    def kill(self) -> None:
        """End the process at once."""
        self._process.kill()
        self._end()

    def _end(self) -> int:
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
            raise RuntimeError(f"{module} did not start")
        host, _, port = line.split()[1].rpartition(":")
        return host, int(port)
