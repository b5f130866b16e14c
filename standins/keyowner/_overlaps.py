"""Looks for keys held by two upstreams at one time, or under fencing tokens that do not rise."""

from itertools import combinations

from standins.keyowner._upstream import KeyOwner


def find_overlaps(owners: list[KeyOwner]) -> list[str]:
    """Return a line for each run of keys that two upstreams of a service held wrongly.

    :param owners: the upstreams.
    """
    found = []
    pairs = (pair for pair in combinations(owners, 2) if pair[0].service == pair[1].service)
    for left, right in pairs:
        for a in left.grants.history:
            for b in right.grants.history:
                first, last = max(a.first, b.first), min(a.last, b.last)
                earlier, later = sorted((a, b), key=lambda held: held.since)
                if first <= last and later.fence <= earlier.fence:
                    found.append(
                        f"{first}..{last} went from fence {earlier.fence} to {later.fence} "
                        f"between {left.upstream_id} and {right.upstream_id}"
                    )
                since, until = max(a.since, b.since), min(a.until, b.until)
                if first <= last and since < until:
                    found.append(
                        f"{left.upstream_id} (fence {a.fence}) and {right.upstream_id} "
                        f"(fence {b.fence}) held {first}..{last} for {until - since:.3f} s"
                    )
    return found
