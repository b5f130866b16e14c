"""Checks that work ran under a grant, and that what must not repeat ran once."""

from collections import defaultdict
from collections.abc import Callable, Iterator

from standins.records._format import Incarnation, RunRecord
from standins.records._holdings import Holding
from standins.records._violations import RanTwice, RunOutsideGrant


def runs_outside_grants(
    holdings: list[Holding], runs: list[RunRecord]
) -> Iterator[RunOutsideGrant]:
    """Yield runs whose key was not held when work began or when it took effect.

    Work that began before a grant was replaced by a smaller one may take effect until the end that
    the replaced grant had.

    :param holdings: what upstreams held.
    :param runs: runs that took effect.
    """
    by_process: dict[Incarnation, list[Holding]] = defaultdict(list)
    for holding in holdings:
        by_process[holding.incarnation].append(holding)
    for run in runs:
        covering = [
            holding for holding in by_process[run.incarnation] if holding.covers(run.slot, run.key)
        ]
        began = any(holding.start <= run.start < holding.end for holding in covering)
        ended = any(holding.start <= run.end < holding.until for holding in covering)
        if not began or not ended:
            yield _run_outside_grant(run)


def repeated_runs(
    runs: list[RunRecord], must_not_repeat: Callable[[str], bool]
) -> Iterator[RanTwice]:
    """Yield requests that took effect more than once though they must not.

    :param runs: runs that took effect.
    :param must_not_repeat: tells by a request's id whether it must not repeat.
    """
    by_request: dict[str, list[RunRecord]] = defaultdict(list)
    for run in runs:
        by_request[run.request_id].append(run)
    for request_id, own_runs in by_request.items():
        if len(own_runs) > 1 and must_not_repeat(request_id):
            ordered = sorted(own_runs, key=lambda run: run.end)
            upstreams = tuple(run.incarnation.upstream for run in ordered)
            yield RanTwice(request_id, upstreams, tuple(run.end for run in ordered))


def _run_outside_grant(run: RunRecord) -> RunOutsideGrant:
    return RunOutsideGrant(
        service=run.incarnation.service,
        upstream=run.incarnation.upstream,
        request_id=run.request_id,
        slot=run.slot,
        start=run.start,
        end=run.end,
    )
