"""What the configuration says of an upstream that grants depend on."""

from dataclasses import dataclass

from foxtailshunt.config import Configuration
from foxtailshunt.ownership._records import UpstreamRow

#: Longest deadline that the configuration allows, in seconds.
_MAX_DEADLINE_S = 600.0


@dataclass(frozen=True, slots=True)
class UpstreamTerms:
    """How an upstream treats grants and work."""

    #: False if it obeys any sender and counts a grant's time to live from its arrival.
    checks_fences: bool
    #: Time after which work at the upstream has ended, in seconds.
    longest_deadline_s: float


#: For an upstream that the configuration does not name.
_UNKNOWN = UpstreamTerms(checks_fences=False, longest_deadline_s=_MAX_DEADLINE_S)


def terms_of(cfg: Configuration | None, row: UpstreamRow) -> UpstreamTerms:
    """Return the terms of an upstream; the strictest if the configuration does not name it.

    :param cfg: the configuration in force.
    :param row: the upstream's row.
    """
    service = cfg.services.get(row.service) if cfg else None
    if service is None:
        return _UNKNOWN
    for upstream in service.upstreams:
        if upstream.upstream_id == row.upstream_id:
            deadlines = (operation.deadline_s for operation in service.operations)
            return UpstreamTerms(upstream.checks_fences, max(deadlines))
    return _UNKNOWN
