"""Routes by method and path pattern; the key stands in the path or the query."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from urllib.parse import unquote_to_bytes

from foxtailshunt.errors import FoxtailshuntError, ResultCode
from foxtailshunt.routing._types import RequestLine, Route, RouteMatch

#: Longest key, in characters.
MAX_KEY_LENGTH = 512

_KEY_SEGMENT = "{key}"


@dataclass(frozen=True, slots=True)
class Operation:
    """A route and the requests that take it."""

    #: HTTP method.
    method: str
    #: Path pattern; ``{key}`` stands for the key and ``{name}`` for any other one segment.
    path: str
    #: Name of the query parameter that holds the key, if there is one and the path does not.
    key_query: str | None
    #: The route.
    route: Route


@dataclass(slots=True)
class _Node:
    """One segment's place in the tree of a method's path patterns."""

    literals: dict[str, "_Node"] = field(default_factory=dict)
    wildcard: "_Node | None" = None
    leaf: Operation | None = None


class OperationRoutes:
    """Finds routes; a literal segment goes before a wildcard.

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
        """Return the route of a request, or None if there is none.

        :param line: what the request is routed by.
        :raises FoxtailshuntError: with ``BAD_REQUEST`` if the key is missing or malformed.
        """
        path, _, query = line.target.partition("?")
        segments = path.split("/")
        root = self._roots.get(line.method)
        operation = _walk(root, segments, 0) if root else None
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


def _walk(node: _Node, segments: list[str], index: int) -> Operation | None:
    if index == len(segments):
        return node.leaf
    segment = segments[index]
    literal = node.literals.get(segment)
    if literal is not None:
        found = _walk(literal, segments, index + 1)
        if found is not None:
            return found
    if node.wildcard is None or not segment:
        return None
    return _walk(node.wildcard, segments, index + 1)


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
        raise _bad_key(f"the query parameter {name} must stand exactly once")
    return values[0].replace("+", " ")


def _decode_key(raw_key: str) -> str:
    if not raw_key:
        raise _bad_key("the key is empty")
    try:
        key = unquote_to_bytes(raw_key).decode() if "%" in raw_key else raw_key
    except UnicodeDecodeError:
        raise _bad_key("the key is not UTF-8")
    if not key.isprintable():
        raise _bad_key("the key has unprintable characters")
    if len(key) > MAX_KEY_LENGTH:
        raise _bad_key(f"the key is over {MAX_KEY_LENGTH} characters")
    return key


def _bad_key(message: str) -> FoxtailshuntError:
    return FoxtailshuntError(ResultCode.BAD_REQUEST, message)
