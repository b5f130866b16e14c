"""Rendezvous hashing: an order of members for a subject that all nodes agree on."""

from collections.abc import Iterable

import xxhash

from foxtailshunt.fleet._types import Member


def rank_by_rendezvous(subject: str, members: Iterable[Member]) -> list[Member]:
    """Return members in their order for a subject, the first choice first.

    A member that comes or goes changes the first choice of few subjects.

    :param subject: for example the id of an upstream.
    :param members: the members to rank.
    """
    return sorted(members, key=lambda member: _score(subject, member), reverse=True)


def _score(subject: str, member: Member) -> int:
    return xxhash.xxh3_64_intdigest(f"{subject}\0{member.instance_id}".encode())
