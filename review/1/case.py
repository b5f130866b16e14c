"""Two targets hold the same keys after one has started again under its id and is then cut off."""

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support"))

import targets as stand_in  # noqa: E402
from case import TROUBLE, run_case  # noqa: E402
from fleet import Clients, Fleet, route  # noqa: E402
from targets import TRACKED  # noqa: E402

#: Rule OWNER: two targets hold the same keys for longer than this.
OVERLAP_S = 0.5
ROUNDS = 4
#: Targets that are cut at a time, of 21.
CUT = 3
#: How long the cut from all machines lasts.
CUT_S = 5.0
#: Check-in interval of the site.
CHECK_IN_S = 1.5
#: An entry is removed after three check-in intervals of silence, the first of which may have begun
#: up to one interval before the cut.
MAX_STORE_CUT_S = 2 * CHECK_IN_S


def play(record):
    fleet = Fleet(zones=("z1", "z2", "z3"), nodes_per_zone=3)
    try:
        return _play(record, fleet)
    finally:
        fleet.close()


def _play(record, fleet):
    stand_in.CHECK_IN_S = CHECK_IN_S
    fleet.add_targets("desk", 21, work_s=0.05)
    fleet.configure(
        3,
        {
            "look": route("h.example", "/look/", "safe", "desk"),
            "swap": route("h.example", "/swap/", "unsafe", "desk"),
        },
        {"desk": {"sharded": True, "max_conns": 64}},
    )
    fleet.start()
    fleet.wait(fleet.keys_are_held, 15, "all keys are held")
    fleet.start_entry()
    clients = Clients(
        fleet,
        [
            ("safe", "GET", "h.example", "/look/", True),
            ("unsafe", "POST", "h.example", "/swap/", True),
        ],
        count=40,
    )
    clients.start()
    # Grants of earlier leaders have expired by then.
    time.sleep(14.0)
    for number in range(ROUNDS):
        _round(record, fleet, fleet.targets[number * CUT : (number + 1) * CUT], number)
    clients.stop()
    record.traffic(clients.outcomes, fleet.ledger.runs)
    for row in fleet.ledger.grants:
        moment, key, target, born, fence = row
        record.row(record.at(moment), "taken", key=key, target=target, born=born, fence=fence)
    for node in fleet.nodes:
        for row in node.events("keys.moved"):
            if row["basis"] != "released":
                names = ("first", "last", "giver", "owner", "fence", "basis")
                record.event("move by " + node.name, **{name: row[name] for name in names})
    return _overlaps(fleet)


def _round(record, fleet, targets, number):
    if not TROUBLE:
        time.sleep(CUT_S + 3.0)
        return
    record.event("cut from the store", round=number, targets=[t.target_id for t in targets])
    began = time.monotonic()
    for target in targets:
        target.is_cut_from_store = True
    time.sleep(0.2)
    for target in targets:
        target.start_again()
    record.event("started again under their ids", born=[t.life.born for t in targets])
    fleet.wait(lambda: all(_holds_keys(t.life) for t in targets), 6, "the targets hold keys again")
    record.event("they hold keys again", after_s=round(time.monotonic() - began, 2))
    time.sleep(0.6)
    hosts = {node.host for node in fleet.nodes}
    for target in targets:
        target.life.cut_from |= hosts
        target.life.become_unreachable()
    store_cut_s = time.monotonic() - began
    for target in targets:
        target.is_cut_from_store = False
        target.register()
    record.event("cut from all machines; the path to the store has healed", store_cut_s=store_cut_s)
    if store_cut_s > MAX_STORE_CUT_S:
        raise TimeoutError("the store would have removed the entries")
    time.sleep(CUT_S)
    for target in targets:
        target.life.become_reachable()
        target.life.cut_from.clear()
    record.event("the cut has healed")
    time.sleep(3.0)


def _holds_keys(life):
    now = time.monotonic()
    return any(life.holds(key, now) for key in TRACKED)


def _overlaps(fleet):
    """Return the times at which two targets held a key for too long, one line for two targets."""
    found = {}
    for row in fleet.ledger.overlaps:
        if row["for_s"] > OVERLAP_S:
            found.setdefault((row["taker"], row["holder"]), []).append(row)
    return [
        f"OWNER: {taker} and {holder}, both up, held {len(rows)} of the tracked keys at the same"
        f" time for up to {max(row['for_s'] for row in rows):.3f} s ({taker} took them with"
        f" {rows[0]['fence']}, {holder} had them with {rows[0]['held_with']})"
        for (taker, holder), rows in found.items()
    ]


if __name__ == "__main__":
    run_case(FOLDER, play)
