"""A target leaves by the removal of its entry just after one call of the leader was reset."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support-3"))

from deployment import Deployment, route, run_case, service  # noqa: E402

DRAIN_S = 2.0
#: The target serves on for ``drain`` after the store has accepted its leaving, and a little longer.
SERVES_ON_S = DRAIN_S + 0.35
WORK_S = 0.2
ZONES = {"wanaka": 1, "twizel": 1, "fox-glacier": 1}
ROUTES = {
    "r-hold": route("/hold/", "desk", "unsafe", "1200ms", "1200ms", 2),
    "r-issue": route("/issue/", "counter", "unsafe", "1200ms", "250ms", 0),
}
SERVICES = {"desk": service(True), "counter": service(False)}


async def case(made, trouble):
    deployment = Deployment(ZONES)
    made.append(deployment)
    record = deployment.record
    await deployment.start()
    await deployment.configure(ROUTES, SERVICES)
    for number, zone in enumerate([*ZONES, *ZONES]):
        await deployment.add_target(f"i-desk{number}", "desk", zone, True, work_s=WORK_S)
        await asyncio.sleep(0.14)
    for number, zone in enumerate(ZONES):
        await deployment.add_target(f"i-counter{number}", "counter", zone, False)
        await asyncio.sleep(0.14)
    deployment.start_nodes()
    await deployment.wait_ready()
    await asyncio.sleep(6.0)
    leader = deployment.leader()
    leader_host, leader_zone = deployment.hosts[leader]
    record("leader", node=leader)
    leaving = next(t for t in deployment.targets.values() if t.keyed and t.zone != leader_zone)
    node = next(name for name, (_, zone) in deployment.hosts.items() if zone == leaving.zone)
    keys = [key for first, last, _, _ in leaving.held for key in range(first, last + 1, 97)]
    record("leaving", target=leaving.id, zone=leaving.zone, node=node, keys=len(keys))

    is_load_on = True
    answers = []

    async def load():
        tasks = set()
        number = 0
        while is_load_on:
            key = keys[number % len(keys)]
            task = asyncio.create_task(
                deployment.ask(node, "POST", f"/hold/{number}", key=key, body=b"hold")
            )
            tasks.add(task)
            number += 1
            await asyncio.sleep(0.15)
        answers.extend(await asyncio.gather(*tasks))

    loading = asyncio.create_task(load())
    await asyncio.sleep(1.5)
    resets = []

    def reset(req, has_events):
        is_list = req.path in ("/api/kv-watch", "/api/kv-range")
        if is_list and req.host == leader_host and req.query["prefix"] == "servers/":
            if not resets:
                resets.append(record.now())
                record("reset", node=leader, path=req.path)
                return "reset"
        return ""

    if trouble:
        deployment.store.hook = reset
        while not resets:
            await asyncio.sleep(0.01)
    else:
        await asyncio.sleep(0.3)
    await leaving.leave()
    left = record.now()
    record("left", target=leaving.id)
    await asyncio.sleep(SERVES_ON_S)
    record("ended", target=leaving.id)
    await leaving.end()
    await asyncio.sleep(2.0)
    is_load_on = False
    await loading

    reached = [(at, f) for at, f in record.of("reach") if f["target"] == leaving.id]
    refused = {a["id"] for a in answers if a["status"] == 421}
    late = [
        (at, f)
        for at, f in reached
        if at > left + DRAIN_S and f["host"] != leader_host and f["id"] not in refused
    ]
    lost = [a for a in answers if a["id"] in {f["id"] for _, f in late} and a["status"] != 200]
    summary = [
        f"leader: {leader}; {leaving.id} left at {left:.3f}; resets at "
        f"{', '.join(f'{at:.3f}' for at in resets) or 'none'}",
        f"requests that reached {leaving.id}: {len(reached)}, of these more than {DRAIN_S:.1f} s "
        f"after the removal of its entry: {len(late)}, the last one "
        f"{max((at for at, _ in reached), default=left) - left:.2f} s after it",
        f"of these late ones, unsafe requests that got no success since the target ended at work: "
        f"{len(lost)} {[a['status'] for a in lost]}",
    ]
    breaches = [
        f"DRAIN: {f['id']} reached {leaving.id} from {f['host']} {at - left:.2f} s after the store "
        "had confirmed that its entry is gone"
        for at, f in late
    ]
    return breaches, summary


if __name__ == "__main__":
    run_case(FOLDER, case)
