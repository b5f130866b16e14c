"""Frame of a case: exit codes, the record, and the switch for the disruption."""

import json
import os
import sys
import time
import traceback
from pathlib import Path

#: Whether the disruption takes place.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w", encoding="utf-8")
        self._began = time.monotonic()

    def at(self, moment):
        """Return a moment in seconds since the begin of the case."""
        return round(moment - self._began, 3)

    def event(self, what, **fields):
        """Write an event of the case."""
        self.row(self.at(time.monotonic()), what, **fields)

    def row(self, moment, what, **fields):
        """Write a line."""
        text = " ".join(f"{name}={json.dumps(value)}" for name, value in fields.items())
        self._file.write(f"{moment:9.3f} {what} {text}\n")
        self._file.flush()

    def traffic(self, outcomes, runs):
        """Write all requests with their answers, and all runs."""
        for row in sorted(outcomes, key=lambda item: item["at"]):
            self.row(
                self.at(row["at"]), "request", attempt=row["attempt"], kind=row["kind"],
                node=row["node"], key=row.get("key"), status=row["status"],
                error=row.get("error"), ended=self.at(row["done"]),
            )
        for run in sorted(runs, key=lambda item: item["at"]):
            self.row(
                self.at(run["at"]), "run", attempt=run["attempt"], target=run["target"],
                key=run["key"],
            )


def run_case(folder, play):
    """Play a case and exit: 1 if the rule was broken, 0 if it held, 2 if it couldn't run.

    :param play: gets the record; returns the lines that describe how the rule was broken.
    """
    record = Record(folder)
    record.event("begin", trouble=TROUBLE)
    try:
        found = play(record)
    except BaseException:
        record.event("not run", error=traceback.format_exc())
        traceback.print_exc()
        sys.stderr.flush()
        os._exit(2)
    for line in found:
        record.event("BROKEN", detail=line)
    record.event("end", broken=len(found))
    try:
        print("\n".join([*found, f"broken: {len(found)}"]), flush=True)
    except OSError:
        # The reader of the output has gone; the exit code and the record say the same.
        pass
    os._exit(1 if found else 0)
