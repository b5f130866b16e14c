"""Looks for keys that two upstreams held at one time."""

from itertools import combinations

from standins.keyowner._upstream import KeyOwner


def find_overlaps(owners: list[KeyOwner]) -> list[str]:
    """Return a line for each run of keys that two upstreams held at the same time.

    :param owners: the upstreams.
    """
    found = []
    for left, right in combinations(owners, 2):
        for a in left.grants.history:
            for b in right.grants.history:
                first, last = max(a.first, b.first), min(a.last, b.last)
                since, until = max(a.since, b.since), min(a.until, b.until)
                if first <= last and since < until:
                    found.append(
                        f"{left.upstream_id} (fence {a.fence}) and {right.upstream_id} "
                        f"(fence {b.fence}) held {first}..{last} for {until - since:.3f} s"
                    )
    return found
