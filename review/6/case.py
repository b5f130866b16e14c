"""The operator changes the configuration while the store returns from an older copy."""

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support-2"))

from harness import (  # noqa: E402
    BROKEN,
    CONFIG_S,
    CONTACT_S,
    KEPT,
    OUTER_S,
    TROUBLE,
    Fleet,
    NotRunError,
    get,
    route,
    run,
    service,
)

HOST = "desk.example"
#: Age of the copy and absence of the store, in seconds.
COPY_AGE_S, AWAY_S = 3.0, 1.0
#: How often the operator repeats a write that the store has not confirmed, in seconds.
OPERATOR_RETRY_S = 0.02
#: How long requests are sent after the change, in seconds.
OBSERVED_S = 30.0


def case(fleet: Fleet) -> int:
    # There were drills before this start; the header Store-Era says 1.
    fleet.store.era = 1
    services = {"hire-desk": service(keyed=True)}
    first = {"r-a": route(HOST, "/aa/", "hire-desk")}
    second = first | {"r-b": route(HOST, "/bb/", "hire-desk")}
    third = second | {"r-c": route(HOST, "/cc/", "hire-desk")}
    fleet.write_config(5, first, services)
    fleet.start_store()
    for zone in ("wanaka", "twizel", "fox-glacier"):
        for _ in range(2):
            fleet.add_upstream("hire-desk", zone, keyed=True)
        fleet.add_node(zone).start()
    fleet.wait_ready()
    time.sleep(2)

    # An ordinary change, which comes into force.
    confirmed_at = fleet.write_config(7, second, services)
    time.sleep(CONFIG_S + 0.5)
    if any(status == 404 for status in ask_all(fleet, "/bb/x", confirmed_at)):
        raise NotRunError("r7 did not come into force")

    copy = fleet.store.take_copy()
    fleet.record.write("the copy is taken")
    time.sleep(COPY_AGE_S)
    if TROUBLE:
        fleet.stop_store()
        time.sleep(AWAY_S)
        fleet.store.return_from(copy)
        fleet.start_store()
    while not fleet.gate.is_open:
        time.sleep(OPERATOR_RETRY_S)
    time.sleep(OPERATOR_RETRY_S)
    confirmed_at = fleet.write_config(9, third, services)

    # By then every machine is in touch, and the longest bound for r9 is over.
    judged_from = confirmed_at + CONTACT_S + CONFIG_S + OUTER_S
    refused = judged = 0
    while time.monotonic() < confirmed_at + OBSERVED_S:
        sent_at = time.monotonic()
        statuses = ask_all(fleet, "/cc/x", confirmed_at)
        if sent_at >= judged_from:
            judged += len(statuses)
            refused += statuses.count(404)
        time.sleep(1.0)
    fleet.record.write(f"judged {judged} requests on the route of r9, 404 for {refused}")
    return BROKEN if refused else KEPT


def ask_all(fleet: Fleet, path: str, confirmed_at: float) -> list[int]:
    """Send a request to each node; return the statuses."""
    statuses = []
    for node in fleet.nodes:
        number = ask_all.count = ask_all.count + 1
        headers = {
            "Host": HOST,
            "Attempt-Id": f"{number:016x}",
            "Deadline-Ms": "2000",
            "Shard-Key": str(number * 977 % 65536),
        }
        after_s = time.monotonic() - confirmed_at
        status = get(node.callers, path, headers)[0]
        runs = sum(item.runs[f"{number:016x}"] for item in fleet.upstreams)
        fleet.record.write(
            f"request {number:016x} GET {path} to {node.name}, {after_s:.2f} s after the"
            f" confirmation: {status}, run {runs} times"
        )
        statuses.append(status)
    return statuses


ask_all.count = 0
run(FOLDER, case)
