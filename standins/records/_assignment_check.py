"""Checks that accepted assignments survive."""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from standins.records._holdings import Holding
from standins.records._violations import AssignmentLost


@dataclass(frozen=True, slots=True)
class AcceptedAssignment:
    """Someone was told that a slot or key is assigned to an upstream."""

    #: The service.
    service: str
    #: The slot; None if a key was assigned.
    slot: int | None
    #: The key; None if a slot was assigned.
    key: str | None
    #: The upstream.
    upstream: str
    #: When it was accepted, in seconds of the machine's ``CLOCK_MONOTONIC``.
    at: float

    def is_held_by(self, holding: Holding) -> bool:
        """Return whether a holding has what was assigned, whichever upstream it is of.

        :param holding: the holding.
        """
        if holding.incarnation.service != self.service:
            return False
        return self.slot in holding.slots if self.key is None else self.key in holding.pins


@dataclass(frozen=True, slots=True)
class _Window:
    previous: AcceptedAssignment | None
    accepted: AcceptedAssignment
    following: AcceptedAssignment | None

    def contains(self, at: float) -> bool:
        return self.accepted.at <= at and (self.following is None or at < self.following.at)


def lost_assignments(
    holdings: list[Holding], accepted: Iterable[AcceptedAssignment]
) -> Iterator[AssignmentLost]:
    """Yield assignments after which another upstream began to hold what was assigned.

    Until the next assignment of the same slot or key is accepted, just these may begin to hold it:
    the upstream assigned; the one before it, as long as the hand-over has not been completed; the
    next one, since its assignment may have been observed late.

    :param holdings: what upstreams held.
    :param accepted: the assignments that were accepted, in any order.
    """
    for assignments in _by_subject(accepted).values():
        padded = [None, *assignments, None]
        for previous, current, following in zip(padded, padded[1:], padded[2:], strict=False):
            yield from _lost_in(_Window(previous, current, following), holdings)


def _by_subject(
    accepted: Iterable[AcceptedAssignment],
) -> dict[tuple[str, int | None, str | None], list[AcceptedAssignment]]:
    subjects = defaultdict(list)
    for assignment in sorted(accepted, key=lambda assignment: assignment.at):
        subjects[assignment.service, assignment.slot, assignment.key].append(assignment)
    return subjects


def _lost_in(window: _Window, holdings: list[Holding]) -> Iterator[AssignmentLost]:
    accepted = window.accepted
    allowed = {accepted.upstream}
    if window.previous is not None:
        allowed.add(window.previous.upstream)
    if window.following is not None:
        allowed.add(window.following.upstream)
    begun = [
        holding
        for holding in holdings
        if accepted.is_held_by(holding) and window.contains(holding.start)
    ]
    for holding in sorted(begun, key=lambda holding: holding.start):
        upstream = holding.incarnation.upstream
        if upstream not in allowed:
            yield _lost(accepted, holding)
        if upstream == accepted.upstream and window.previous is not None:
            allowed.discard(window.previous.upstream)
            allowed.add(upstream)


def _lost(accepted: AcceptedAssignment, holding: Holding) -> AssignmentLost:
    return AssignmentLost(
        service=accepted.service,
        slot=accepted.slot,
        key=accepted.key,
        assigned_to=accepted.upstream,
        accepted_at=accepted.at,
        held_by=holding.incarnation.upstream,
        at=holding.start,
    )
