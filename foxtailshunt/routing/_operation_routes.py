"""Routing by method and path pattern, with the key in the path or the query."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from urllib.parse import unquote_to_bytes

from foxtailshunt.errors import FoxtailshuntError, ResultCode
from foxtailshunt.routing._types import RequestLine, Route, RouteMatch

#: Maximum length of a key, in characters.
MAX_KEY_LENGTH = 512

_KEY_SEGMENT = "{key}"


@dataclass(frozen=True, slots=True)
class Operation:
    """A route and the requests that it matches."""

    #: HTTP method.
    method: str
    #: Path pattern; ``{key}`` matches the key's segment and ``{name}`` any other single segment.
    path: str
    #: Name of the query parameter that holds the key; None if the path holds it or there is none.
    key_query: str | None
    #: The route.
    route: Route


@dataclass(slots=True)
class _Node:
    """A node in the prefix tree of a method's path patterns."""

    #: Children by literal segment.
    literals: dict[str, "_Node"] = field(default_factory=dict)
    #: Child for any non-empty segment.
    wildcard: "_Node | None" = None
    #: Operation whose pattern ends here.
    leaf: Operation | None = None


class OperationRoutes:
    """Matches requests by method and path; literal segments take precedence over wildcards.

    :param operations: the operations of all services.
    """

    def __init__(self, operations: Iterable[Operation]) -> None:
        self._roots: dict[str, _Node] = {}
        for operation in operations:
            node = self._roots.setdefault(operation.method, _Node())
            for segment in operation.path.split("/"):
                node = _child(node, segment)
            node.leaf = operation

    def find(self, line: RequestLine) -> RouteMatch | None:
        """Return the route and the key of a request, or None if no route matches.

        :param line: method, host and target of the request.
        :raises FoxtailshuntError: with ``BAD_REQUEST`` if the key is missing or malformed.
        """
        path, _, query = line.target.partition("?")
        segments = path.split("/")
        root = self._roots.get(line.method)
        operation = _match_segments(root, segments, 0) if root else None
        if operation is None:
            return None
        raw_key = _raw_key(operation, segments, query)
        return RouteMatch(operation.route, None if raw_key is None else _decode_key(raw_key))


def _child(node: _Node, segment: str) -> _Node:
    if segment.startswith("{") and segment.endswith("}"):
        if node.wildcard is None:
            node.wildcard = _Node()
        return node.wildcard
    return node.literals.setdefault(segment, _Node())


def _match_segments(node: _Node, segments: list[str], index: int) -> Operation | None:
    if index == len(segments):
        return node.leaf
    segment = segments[index]
    literal = node.literals.get(segment)
    if literal is not None:
        found = _match_segments(literal, segments, index + 1)
        if found is not None:
            return found
    if node.wildcard is None or not segment:
        return None
    return _match_segments(node.wildcard, segments, index + 1)


def _raw_key(operation: Operation, segments: list[str], query: str) -> str | None:
    pattern = operation.path.split("/")
    if _KEY_SEGMENT in pattern:
        return segments[pattern.index(_KEY_SEGMENT)]
    if operation.key_query is not None:
        return _query_value(query, operation.key_query)
    return None


def _query_value(query: str, name: str) -> str:
    values = [
        value for key, _, value in (pair.partition("=") for pair in query.split("&")) if key == name
    ]
    if len(values) != 1:
        raise _key_error(f"the query parameter {name} must occur exactly once")
    return values[0].replace("+", " ")


def _decode_key(raw_key: str) -> str:
    if not raw_key:
        raise _key_error("the key is empty")
    try:
        key = unquote_to_bytes(raw_key).decode() if "%" in raw_key else raw_key
    except UnicodeDecodeError:
        raise _key_error("the key is not valid UTF-8")
    if not key.isprintable():
        raise _key_error("the key contains unprintable characters")
    if len(key) > MAX_KEY_LENGTH:
        raise _key_error(f"the key is longer than {MAX_KEY_LENGTH} characters")
    return key


def _key_error(message: str) -> FoxtailshuntError:
    return FoxtailshuntError(ResultCode.BAD_REQUEST, message)
