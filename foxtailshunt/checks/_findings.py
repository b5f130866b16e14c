"""Finds entries without effect and contradictory limits in a valid configuration."""

from collections.abc import Iterator

from foxtailshunt.checks._description import DescribedRoute, Description
from foxtailshunt.checks._finding import Finding, FindingKind
from foxtailshunt.checks._matching import match_identity, unclosed_placeholder, unmatchable_reason
from foxtailshunt.routing import Route


def find_findings(
    description: Description, regions: frozenset[str] | None = None
) -> tuple[Finding, ...]:
    """Return all findings about a configuration.

    :param description: the configuration.
    :param regions: regions of the deployment's zones; None if they are not known.
    """
    hidden = dict(_find_hidden(description.routes))
    effective = [
        item
        for item in description.routes
        if item.location not in hidden and unmatchable_reason(item.match) is None
    ]
    return (
        *hidden.values(),
        *_find_ignored(description),
        *(finding for item in description.routes for finding in _check_match(item)),
        *(finding for item in description.routes for finding in _check_regions(item, regions)),
        *_find_unrouted(description, effective),
        *_find_unused_floors(description, effective),
        *_find_unused_zones(description),
        *(finding for item in description.routes for finding in _check_limits(item, description)),
        *_check_attempts(description),
        *_check_services(description),
        *_check_warmups(description),
        *_check_caller_limits(description),
    )


def find_outdated_version(description: Description, in_force: int) -> tuple[Finding, ...]:
    """Return a finding if nodes would ignore a changed configuration because of its version.

    :param description: the configuration, which differs from the version in force.
    :param in_force: number of the version in force.
    """
    if description.version is None or description.version > in_force:
        return ()
    message = (
        f"the number {description.version} is not above {in_force}, which is in force; "
        "nodes would ignore the configuration"
    )
    return (Finding(FindingKind.OUTDATED_VERSION, "version", message),)


def receiving_services(route: Route) -> tuple[str, ...]:
    """Return the services that get requests of a route.

    :param route: the route.
    """
    weighted = tuple(part.service for part in route.services if part.weight > 0)
    # If no weight is above 0, the first service gets all requests.
    return weighted or (route.services[0].service,)


def _find_hidden(routes: tuple[DescribedRoute, ...]) -> Iterator[tuple[str, Finding]]:
    used: dict[tuple[str, ...], str] = {match_identity(it.match): it.location for it in routes}
    for item in routes:
        winner = used[match_identity(item.match)]
        if winner != item.location:
            message = f"{winner} matches the same requests and is used in its place"
            yield item.location, Finding(FindingKind.HIDDEN_ROUTE, item.location, message)


def _find_ignored(description: Description) -> Iterator[Finding]:
    for location, message in description.ignored_values:
        yield Finding(FindingKind.IGNORED_VALUE, location, message)


def _check_match(item: DescribedRoute) -> Iterator[Finding]:
    reason = unmatchable_reason(item.match)
    if reason is not None:
        yield Finding(FindingKind.UNMATCHABLE_ROUTE, item.location, reason)
    segment = unclosed_placeholder(item.match)
    if segment is not None:
        message = f"the segment {segment} is no placeholder; it only matches itself"
        yield Finding(FindingKind.UNCLOSED_PLACEHOLDER, f"{item.location}.path", message)


def _check_regions(item: DescribedRoute, regions: frozenset[str] | None) -> Iterator[Finding]:
    allowed = item.route.allowed_regions
    location = f"{item.location}.allowed_regions"
    if allowed is None:
        return
    if not allowed:
        message = "no region is allowed; no upstream may get the requests"
        yield Finding(FindingKind.UNKNOWN_REGION, location, message)
    elif regions is not None:
        for name in sorted(allowed - regions):
            message = f"no zone is in the region {name}"
            yield Finding(FindingKind.UNKNOWN_REGION, location, message)


def _find_unrouted(description: Description, routes: list[DescribedRoute]) -> Iterator[Finding]:
    routed = {name for item in routes for name in receiving_services(item.route)}
    for service in description.services:
        if service.info.name not in routed:
            message = "no route sends requests to the service"
            yield Finding(FindingKind.UNROUTED_SERVICE, service.location, message)


def _find_unused_floors(
    description: Description, routes: list[DescribedRoute]
) -> Iterator[Finding]:
    ranks = {(name, item.route.rank) for item in routes for name in receiving_services(item.route)}
    for service in description.services:
        for floor in service.info.floors:
            location = service.stated_floors.get(floor.rank)
            if location is None or floor.share == 0 or (service.info.name, floor.rank) in ranks:
                continue
            message = "no operation of the service has this rank"
            yield Finding(FindingKind.UNUSED_FLOOR, location, message)


def _find_unused_zones(description: Description) -> Iterator[Finding]:
    for zone, location in description.zones.items():
        if zone not in description.used_zones:
            yield Finding(FindingKind.UNUSED_ZONE, location, "the zone has no upstreams")


def _check_limits(item: DescribedRoute, description: Description) -> Iterator[Finding]:
    route, names = item.route, description.names
    if route.timeout_s == 0:
        message = "no request can be served in a time of 0"
        yield Finding(FindingKind.ZERO_TIMEOUT, f"{item.location}.{names.timeout}", message)
    elif route.latency_objective_s > route.timeout_s:
        message = (
            f"the latency objective of {route.latency_objective_s:g} s is above the timeout of "
            f"{route.timeout_s:g} s"
        )
        location = f"{item.location}.{names.latency_objective}"
        yield Finding(FindingKind.OBJECTIVE_ABOVE_TIMEOUT, location, message)


def _check_attempts(description: Description) -> Iterator[Finding]:
    counts = {
        service.info.name: len(service.info.upstream_addresses)
        for service in description.services
        if service.info.upstream_addresses is not None
    }
    for item in description.routes:
        available = max(counts.get(part.service, 0) for part in item.route.services)
        if item.states_max_upstreams and 0 < available < item.route.max_upstreams:
            message = (
                f"a request may be sent to {item.route.max_upstreams} upstreams, but there are "
                f"only {available}"
            )
            location = f"{item.location}.{description.names.max_upstreams}"
            yield Finding(FindingKind.ATTEMPTS_ABOVE_UPSTREAMS, location, message)


def _check_services(description: Description) -> Iterator[Finding]:
    defined = {service.info.name for service in description.services}
    for item in description.routes:
        parts = item.route.services
        for name in sorted({part.service for part in parts} - defined):
            message = f"the service {name} is not defined; it gets defaults and owns no keys"
            yield Finding(FindingKind.UNDEFINED_SERVICE, item.location, message)
        if all(part.weight <= 0 for part in parts):
            message = f"no weight is above 0; {parts[0].service} gets all requests"
            yield Finding(FindingKind.NO_WEIGHT, item.location, message)


def _check_warmups(description: Description) -> Iterator[Finding]:
    for service in description.services:
        if service.info.warmup_rate > 0 and service.info.warmup_s == 0:
            message = (
                "there is a rate for cold upstreams, but no warm-up time; only upstreams that "
                "state a warm-up are limited"
            )
            yield Finding(FindingKind.RATE_WITHOUT_WARMUP, service.location, message)


def _check_caller_limits(description: Description) -> Iterator[Finding]:
    limits, names = description.limits, description.names
    timeouts = (
        (names.header_timeout, limits.header_timeout_s),
        (names.idle_timeout, limits.idle_timeout_s),
    )
    for location, timeout_s in timeouts:
        if timeout_s == 0:
            message = "a time of 0 leaves callers no time to send a request"
            yield Finding(FindingKind.ZERO_TIMEOUT, location, message)
