"""How busy the upstreams' slots were, from their records."""

from standins.fleet import Fleet
from standins.records import RunRecord, read_records


def slots_busy(fleet: Fleet, service: str, slots: int, window: tuple[float, float]) -> float:
    """Return the share of a service's slot time that was spent on work.

    :param fleet: the fleet.
    :param service: the service.
    :param slots: slots of all its upstreams together.
    :param window: start and end in seconds of the monotonic clock.
    """
    ids = [u.upstream_id for u in fleet.layout.upstreams if u.service == service]
    paths = [path for upstream_id in ids for path in fleet.records_of(upstream_id)]
    start, end = window
    busy_s = sum(
        max(0.0, min(record.end, end) - max(record.start, start))
        for record in read_records(paths)
        if isinstance(record, RunRecord)
    )
    return busy_s / (slots * (end - start))
