"""A planned stop cuts requests that wait in the queue of another node."""

import signal
import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support"))

from case import TROUBLE, run_case  # noqa: E402
from fleet import Clients, Fleet, route  # noqa: E402

GRACE_S = 6.0
LOSS_SLACK_S = 0.2
DEADLINE_MS = 12_000
ROUTE_TIMEOUT_S = 12.0
#: A target is at work for this long; eight targets with two slots serve 13 requests a second.
WORK_S = 1.2
#: Users and machines by zone, as in the site file. Each user waits for about 9 seconds.
USERS = {"z1": 30, "z2": 32, "z3": 30, "z4": 30}
MACHINES = (3, 3, 1, 1)
SETTLE_S = 13.0


def play(record):
    fleet = Fleet(zones=tuple(USERS), nodes_per_zone=MACHINES)
    try:
        return _play(record, fleet)
    finally:
        fleet.close()


def _play(record, fleet):
    fleet.add_targets("desk", 21, work_s=0.1)
    fleet.add_targets("fee", 8, sharded=False, work_s=WORK_S)
    fleet.configure(
        3,
        {
            "look": route("h.example", "/look/", "safe", "desk"),
            "fee": route("h.example", "/fee/", "unsafe", "fee", timeout=f"{ROUTE_TIMEOUT_S:.0f}s"),
        },
        {"desk": {"sharded": True, "max_conns": 64}, "fee": {"max_conns": 64}},
    )
    fleet.start()
    fleet.wait(fleet.keys_are_held, 15, "all keys are held")
    fleet.start_entry()
    clients = [
        Clients(
            fleet,
            [("unsafe", "PUT", "h.example", "/fee/", False)],
            count=count,
            deadline_ms=DEADLINE_MS,
            seed=number,
            zone=zone,
        )
        for number, (zone, count) in enumerate(USERS.items())
    ]
    for group in clients:
        group.start()
    time.sleep(SETTLE_S)

    dumps = {node: node.dump() for node in fleet.nodes}
    record.event("waiting and running", **{node.name: _load(dumps[node]) for node in dumps})
    # The node that sends for the service holds the queue; another one is stopped.
    alone = [node for node in fleet.nodes if node.zone in ("z3", "z4")]
    node = next(item for item in alone if _load(dumps[item]) == [0, 0])
    term_at = time.monotonic()
    if TROUBLE:
        node.signal(signal.SIGTERM)
        record.event("SIGTERM", node=node.name)
    while time.monotonic() < term_at + GRACE_S and node.process.poll() is None:
        time.sleep(0.01)
    if node.process.poll() is not None:
        record.event("the process has ended", code=node.process.poll())
    elif TROUBLE:
        record.event("SIGKILL", node=node.name)
        node.process.kill()
    time.sleep(1.5)
    for group in clients:
        group.stop()
    outcomes = [row for group in clients for row in group.outcomes]
    record.traffic(outcomes, fleet.ledger.runs)
    ends = Counter(
        str(row["status"] or row["error"])
        for row in outcomes
        if row["node"] == node.name and row["at"] < term_at < row["done"]
    )
    record.event("how the requests ended that the node had at SIGTERM", ends=dict(ends))
    return _lost(outcomes, fleet.ledger.runs, node, term_at)


def _load(dump):
    return [dump["waiting"], dump["running"]]


def _lost(outcomes, runs, node, term_at):
    """Return the requests that rule LOST counts."""
    ran = {run["attempt"] for run in runs}
    found = []
    for row in outcomes:
        if row["node"] != node.name or row["status"] is not None:
            continue
        sent, ended = row["at"], row["done"]
        if not term_at <= ended <= term_at + GRACE_S + 1.0 or ended - sent <= LOSS_SLACK_S:
            continue
        if ended - sent >= min(DEADLINE_MS / 1000, ROUTE_TIMEOUT_S):
            continue
        if row["attempt"] in ran:
            # Its target was still at work in the last sixth of the grace period.
            continue
        found.append(
            f"LOST: {row['attempt']} ({row['kind']}), sent {term_at - sent:.3f} s before SIGTERM,"
            f" was never passed on, and its connection ended without an answer ({row['error']})"
            f" {ended - sent:.3f} s after it was sent"
        )
    return found


if __name__ == "__main__":
    run_case(FOLDER, play)
