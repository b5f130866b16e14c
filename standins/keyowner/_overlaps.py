"""Finds keys held by two upstreams at the same time, or under non-increasing fencing tokens."""

from itertools import combinations

from standins.keyowner._upstream import KeyOwner


def find_overlaps(owners: list[KeyOwner]) -> list[str]:
    """Return a description of each key range that two upstreams of a service held wrongly.

    Their periods overlapped, or the later grant did not have a higher fencing token.

    :param owners: upstreams to check.
    """
    found = []
    pairs = (pair for pair in combinations(owners, 2) if pair[0].service == pair[1].service)
    for left, right in pairs:
        for grant_a in left.grants.history:
            for grant_b in right.grants.history:
                first, last = max(grant_a.first, grant_b.first), min(grant_a.last, grant_b.last)
                earlier, later = sorted((grant_a, grant_b), key=lambda held: held.since)
                if first <= last and later.fence <= earlier.fence:
                    found.append(
                        f"{first}..{last} moved from fence {earlier.fence} to {later.fence} "
                        f"between {left.upstream_id} and {right.upstream_id}"
                    )
                since, until = max(grant_a.since, grant_b.since), min(grant_a.until, grant_b.until)
                if first <= last and since < until:
                    found.append(
                        f"{left.upstream_id} (fence {grant_a.fence}) and {right.upstream_id} "
                        f"(fence {grant_b.fence}) held {first}..{last} for {until - since:.3f} s"
                    )
    return found
