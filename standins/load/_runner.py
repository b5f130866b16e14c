"""Runs several load processes concurrently and merges their measurements."""

import json
import subprocess
import sys
import threading
from dataclasses import replace
from pathlib import Path

from standins.load._spec import LoadSpec
from standins.load._summary import StreamSummary

#: Time after the end of the load at which a process that still runs is killed, in seconds.
_END_MARGIN_S = 60


class LoadRun:
    """Load processes that together send at the rates of one specification.

    :param spec: what all processes send in total; rates and workers are divided among them.
    :param processes: number of processes.
    """

    def __init__(self, spec: LoadSpec, processes: int) -> None:
        self._spec = spec
        self._process_count = processes
        self._processes: list[subprocess.Popen[str]] = []
        self._outputs: list[str] = [""] * processes
        self._readers: list[threading.Thread] = []

    def start(self) -> None:
        """Start the load processes."""
        for number in range(self._process_count):
            process = subprocess.Popen(
                [sys.executable, "-m", "standins.load"],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                text=True,
            )
            self._processes.append(process)
            reader = threading.Thread(target=self._run_process, args=(number,))
            self._readers.append(reader)
            reader.start()

    def wait(self) -> dict[str, StreamSummary]:
        """Wait until all processes have exited and return the merged summaries by stream name.

        :raises subprocess.SubprocessError: a process failed.
        """
        for reader in self._readers:
            reader.join()
        merged: dict[str, StreamSummary] = {}
        for process, output in zip(self._processes, self._outputs, strict=True):
            if process.returncode != 0:
                raise subprocess.SubprocessError(
                    f"load process exited with code {process.returncode}"
                )
            for name, value in json.loads(output).items():
                summary = StreamSummary.from_dict(value)
                if name in merged:
                    merged[name].merge(summary)
                else:
                    merged[name] = summary
        return merged

    def outcome_paths(self) -> list[Path]:
        """Return the paths of the outcome files, one for each process."""
        return [
            Path(self._process_spec(number).outcomes_path) for number in range(self._process_count)
        ]

    def _run_process(self, number: int) -> None:
        process = self._processes[number]
        timeout_s = self._spec.duration_s + _END_MARGIN_S
        try:
            output, _ = process.communicate(self._process_spec(number).to_json(), timeout=timeout_s)
            self._outputs[number] = output
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()

    def _process_spec(self, number: int) -> LoadSpec:
        streams = tuple(
            replace(
                stream,
                rate_per_s=stream.rate_per_s / self._process_count,
                workers=max(1, stream.workers // self._process_count),
            )
            for stream in self._spec.streams
        )
        return replace(
            self._spec,
            streams=streams,
            seed=self._spec.seed * 1000 + number,
            outcomes_path=f"{self._spec.outcomes_path}.{number}",
        )
