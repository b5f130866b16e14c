"""The store's answer to the leader's watch is lost when the operator moves a route."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support-3"))

from deployment import Deployment, route, run_case, service  # noqa: E402

CONFIG_S = 2.0
CONTACT_S = 3.0
ZONES = {"wanaka": 1, "twizel": 1, "fox-glacier": 1}
ROUTES = {
    "r-lookup": route("/lookup/", "desk"),
    "r-issue": route("/issue/", "counter", "unsafe", "1200ms", "250ms", 0),
}
SERVICES = {"desk": service(True), "counter": service(False), "counter-2": service(False)}


async def case(made, trouble):
    deployment = Deployment(ZONES)
    made.append(deployment)
    record = deployment.record
    await deployment.start()
    await deployment.configure(ROUTES, SERVICES)
    for number, zone in enumerate([*ZONES, *ZONES]):
        await deployment.add_target(f"i-desk{number}", "desk", zone, True)
    for number, zone in enumerate(ZONES):
        await deployment.add_target(f"i-counter{number}", "counter", zone, False)
        await deployment.add_target(f"i-second{number}", "counter-2", zone, False)
    deployment.start_nodes()
    await deployment.wait_ready()
    await asyncio.sleep(8.0)
    leader = deployment.leader()
    host = deployment.hosts[leader][0]
    record("leader", node=leader)

    # Answers to one of the three machines are lost while the operator makes its second change.
    lost = []

    def lose(req, has_events):
        if req.path == "/api/kv-watch" and has_events and req.host == host:
            if req.query["prefix"].startswith("op/"):
                lost.append(record.now())
                record("lost", node=leader, path=req.path, prefix=req.query["prefix"])
                return "lose"
        return ""

    first = ROUTES | {"r-first": route("/first/", "counter")}
    await deployment.configure(first, SERVICES)
    await asyncio.sleep(0.5)
    if trouble:
        deployment.store.hook = lose
    # The second version moves the route of the unsafe requests, and adds one.
    second = first | {
        "r-issue": ROUTES["r-issue"] | {"service": "counter-2"},
        "r-second": route("/second/", "counter"),
    }
    confirmed = await deployment.configure(second, SERVICES)
    await asyncio.sleep(0.5)
    deployment.store.hook = lambda req, events: ""
    ended = record.now()
    record("calm")

    asked, issued = [], []

    async def probe(name):
        asked.append(await deployment.ask(name, "GET", "/second/1"))

    async def issue(name):
        issued.append(await deployment.ask(name, "POST", "/issue/1", 1200, body=b"beacon"))

    tasks = []
    while record.now() < confirmed + 12.0:
        for name in deployment.nodes:
            tasks.append(asyncio.create_task(probe(name)))
            tasks.append(asyncio.create_task(issue(name)))
        await asyncio.sleep(0.1)
    await asyncio.gather(*tasks)

    bound = max(confirmed + CONFIG_S, ended + CONTACT_S)
    refused = [a for a in asked if a["sent"] > bound and a["status"] == 404]
    ran = {f["id"]: f["target"] for _, f in record.of("run")}
    old = [a for a in issued if a["sent"] > bound and ran.get(a["id"], "").startswith("i-counter")]
    last = max((a["sent"] for a in [*refused, *old]), default=confirmed)
    summary = [
        f"answers lost: {len(lost)}; leader: {leader}",
        f"version confirmed at {confirmed:.3f}, last answer lost before {ended:.3f}, "
        f"bound {bound:.3f}",
        f"requests sent after the bound: {sum(a['sent'] > bound for a in [*asked, *issued])}, "
        f"of these refused with 404: {len(refused)}, run by the old service: {len(old)}, "
        f"the last one sent "
        f"{last - confirmed:.2f} s after the confirmation",
    ]
    if trouble and not lost:
        raise RuntimeError("no answer was lost")
    breaches = [
        f"CONFIG: {a['node']}: {a['id']}, sent {a['sent'] - confirmed:.2f} s after the "
        f"confirmation, was run by {ran[a['id']]} of the old service"
        for a in old
    ]
    breaches += [
        f"CONFIG: {a['node']} refused {a['id']} with 404, sent {a['sent'] - confirmed:.2f} s after "
        "the confirmation"
        for a in refused
    ]
    return breaches, summary


if __name__ == "__main__":
    run_case(FOLDER, case)
