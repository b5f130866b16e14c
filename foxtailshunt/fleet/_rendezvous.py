"""Rendezvous hashing: ranks members for a subject in an order on which all nodes agree."""

from collections.abc import Iterable

import xxhash

from foxtailshunt.fleet._types import Member


def rank_by_rendezvous(subject: str, members: Iterable[Member]) -> list[Member]:
    """Rank members for a subject, the preferred member first.

    If a member joins or leaves, the preferred member changes for few subjects only.

    :param subject: for example the id of an upstream.
    :param members: the members to rank.
    """
    return sorted(members, key=lambda member: _score(subject, member), reverse=True)


def _score(subject: str, member: Member) -> int:
    return xxhash.xxh3_64_intdigest(f"{subject}\0{member.instance_id}".encode())
