"""Which requests a route matches, and whether it can match any."""

from foxtailshunt.routing import HostRoute, Operation


def match_identity(match: HostRoute | Operation) -> tuple[str, ...]:
    """Return a value that is equal for two routes that match the same requests.

    No other route hides one completely: a prefix or a placeholder always matches further paths
    than the finitely many more specific routes.

    :param match: the route and the requests that it matches.
    """
    if isinstance(match, HostRoute):
        return match.host.lower(), match.prefix
    segments = ("{}" if is_placeholder(item) else item for item in match.path.split("/"))
    return match.method, "/".join(segments)


def is_placeholder(segment: str) -> bool:
    """Return whether a segment of a path pattern matches any segment.

    :param segment: the segment.
    """
    return segment.startswith("{") and segment.endswith("}")


def unclosed_placeholder(match: HostRoute | Operation) -> str | None:
    """Return the first segment with a brace that is matched literally; None if there is none.

    :param match: the route and the requests that it matches.
    """
    if isinstance(match, HostRoute):
        return None
    segments = match.path.split("/")
    return next((s for s in segments if ("{" in s or "}" in s) and not is_placeholder(s)), None)


def unmatchable_reason(match: HostRoute | Operation) -> str | None:
    """Return why a route matches no request; None if it may match some.

    :param match: the route and the requests that it matches.
    """
    path = match.prefix if isinstance(match, HostRoute) else match.path
    if not path.isascii():
        return "the path has characters that a request has only in percent-encoded form"
    if not isinstance(match, HostRoute):
        return None
    if ":" in match.host:
        return "the host has a port or scheme; requests are matched by the host name alone"
    if not path.startswith("/"):
        return "the prefix does not start with a slash"
    if not path.endswith("/"):
        return "the prefix does not end with a slash"
    if "?" in path:
        return "the prefix has a question mark; requests are matched without their query"
    return None
