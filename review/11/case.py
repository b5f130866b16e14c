"""A target with many ranges of keys leaves while it leaves some orders unanswered."""

import asyncio
import json
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support-3"))

from deployment import Deployment, route, run_case, service  # noqa: E402
from http_io import Response  # noqa: E402

ZONES = {"wanaka": 1, "twizel": 1, "fox-glacier": 1}
ROUTES = {
    "r-lookup": route("/lookup/", "desk"),
    "r-issue": route("/issue/", "counter", "unsafe", "1200ms", "250ms", 0),
}
SERVICES = {"desk": service(True), "counter": service(False)}
#: Targets of the service divided by key, and how many leave at a time: a share of 0.1.
TARGETS, LEAVING, LEAVES = 29, 3, 7
DRAIN_S = 2.0
#: Orders are carried out so long after their arrival if they get no answer.
LATE_S = 6.0
#: The impairment begins so long before the first order goes unanswered.
BEFORE_S = 1.0
#: How long orders to one target may go unanswered, and how long it serves after it has drained.
IMPAIRED_S, SERVES_ON_S = 5.5, 8.0
#: Ranges whose releases go unanswered.
HELD_BACK = 2
OVERLAP_S = 0.5


class Impairment:
    """Leaves a share of the orders to a target unanswered, and carries them out late.

    From half a second before the target drains, every second renewal goes unanswered, up to the
    last few of a round, and so do the releases of these last ranges.
    """

    def __init__(self, target, record):
        self.target, self.record = target, record
        self.until = 0.0
        self.round = []
        self.last = None
        self.answered = self.unanswered = 0
        self.is_odd = self.is_losing = False

    def see(self, req):
        """Return no answer for some orders, and None for all others."""
        if req.path not in ("/api/grant", "/api/release"):
            return None
        order = json.loads(req.body)
        first, is_grant = order["from"], req.path == "/api/grant"
        now = time.monotonic()
        if now > self.until:
            if is_grant:
                # The order of the ranges in a round of renewals.
                if first in self.round:
                    self.round = self.round[self.round.index(first) + 1 :]
                self.round.append(first)
            return None
        held_back = self.round[-HELD_BACK:]
        if not self.is_losing:
            is_lost = False
        elif is_grant:
            self.is_odd = not self.is_odd
            is_lost = self.is_odd and first not in held_back
        else:
            is_lost = first in held_back
        kind = "grant" if is_grant else "release"
        if not is_lost:
            self.answered += 1
            self.record("order", kind=kind, first=first, fence=order["fence"], answered=True)
            return None
        self.unanswered += 1
        self.record("order", kind=kind, first=first, fence=order["fence"], answered=False)
        asyncio.create_task(self._carry_out(req, order, now))
        return Response(0, b"", [], "lose")

    async def _carry_out(self, req, order, arrived):
        await asyncio.sleep(LATE_S)
        if req.path == "/api/release":
            await self.target._release(order["from"], order["to"], order["fence"])
        # The time of a grant counts from its arrival, and is over by now.


async def case(made, trouble):
    deployment = Deployment(ZONES)
    made.append(deployment)
    record = deployment.record
    await deployment.start()
    await deployment.configure(ROUTES, SERVICES)
    zones = list(ZONES)
    desk = []
    for number in range(TARGETS):
        target = await deployment.add_target(f"i-{number:02d}", "desk", zones[number % 3], True)
        target.log = lambda *a, **k: None
        desk.append(target)
    for number, zone in enumerate(zones):
        await deployment.add_target(f"i-counter{number}", "counter", zone, False)
    deployment.start_nodes()
    await deployment.wait_ready()
    await asyncio.sleep(2.0)
    watched = desk[0]
    up = set(desk)
    overlaps, longest = {}, {}

    async def sample():
        """Note how long two targets that are up hold the same keys."""
        while True:
            now = time.monotonic()
            held = [
                (first, last, fence, target)
                for target in up
                for first, last, fence, until in target.held
                if until > now
            ]
            held.sort(key=lambda item: item[0])
            current = {}
            for index, left in enumerate(held):
                for right in held[index + 1 :]:
                    if right[0] > left[1]:
                        break
                    if right[3] is not left[3]:
                        key = (right[0], min(left[1], right[1]), left[3].id, right[3].id)
                        current[key] = overlaps.get(key, now)
                        if key not in overlaps:
                            record(
                                "overlap",
                                first=key[0],
                                last=key[1],
                                targets=key[2:],
                                fences=(left[2], right[2]),
                            )
                        longest[key] = max(longest.get(key, 0.0), now - current[key])
            for key in overlaps.keys() - current.keys():
                record(
                    "apart",
                    first=key[0],
                    last=key[1],
                    targets=key[2:],
                    lasted=f"{longest[key]:.3f}",
                )
            overlaps.clear()
            overlaps.update(current)
            await asyncio.sleep(0.01)

    sampling = asyncio.create_task(sample())

    async def leave(target):
        await target.drain()
        record("draining", target=target.id)
        await asyncio.sleep(DRAIN_S + 0.5)
        up.discard(target)
        await target.leave()
        await target.end()

    # Planned work: targets leave, three at a time. The last one to leave has got their keys.
    leaving = []
    others = desk[1:]
    for turn in range(LEAVES):
        for target in others[turn * LEAVING : (turn + 1) * LEAVING]:
            leaving.append(asyncio.create_task(leave(target)))
        await asyncio.sleep(1.6)
    await asyncio.gather(*leaving)
    await asyncio.sleep(2.5)
    impairment = Impairment(watched, record)
    watched.override = impairment.see
    await asyncio.sleep(2.0)
    ranges = len(impairment.round)
    record("ranges", target=watched.id, count=ranges)
    if trouble:
        impairment.until = time.monotonic() + IMPAIRED_S
        record("impaired", target=watched.id)
    await asyncio.sleep(BEFORE_S)
    impairment.is_losing = True
    await asyncio.sleep(0.5)
    await watched.drain()
    record("draining", target=watched.id)
    await asyncio.sleep(SERVES_ON_S)
    sampling.cancel()
    up.discard(watched)
    await watched.leave()
    await watched.end()
    total = impairment.answered + impairment.unanswered
    summary = [
        f"{watched.id} had {ranges} ranges; orders to it in {IMPAIRED_S} s: {total}, unanswered: "
        f"{impairment.unanswered}, a share of {impairment.unanswered / max(1, total):.2f}",
        f"longest time in which two targets held the same keys: "
        f"{max(longest.values(), default=0.0):.3f} s",
    ]
    breaches = [
        f"OWNER: {key[2]} and {key[3]} both held keys {key[0]} to {key[1]} for {length:.3f} s"
        for key, length in longest.items()
        if length > OVERLAP_S
    ]
    return breaches, summary


if __name__ == "__main__":
    run_case(FOLDER, case)
