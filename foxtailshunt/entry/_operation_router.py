"""Finds the service, operation and key of a caller's request."""

from dataclasses import dataclass, field
from urllib.parse import unquote_to_bytes

from foxtailshunt.config import Configuration, Operation, Service
from foxtailshunt.errors import FoxtailshuntError, ResultCode

#: Longest key, in characters.
MAX_KEY_LENGTH = 512

_KEY_SEGMENT = "{key}"


@dataclass(frozen=True, slots=True)
class OperationMatch:
    """What a request asks for."""

    #: The service.
    service: Service
    #: The operation.
    operation: Operation
    #: The key, decoded.
    key: str


@dataclass(frozen=True, slots=True)
class _CompiledOperation:
    service: Service
    operation: Operation
    #: Position of the key among the path's segments; None if a query parameter holds it.
    key_index: int | None


@dataclass(slots=True)
class _Node:
    """One segment's place in the tree of a method's path patterns."""

    literals: dict[str, "_Node"] = field(default_factory=dict)
    wildcard: "_Node | None" = None
    leaf: _CompiledOperation | None = None


class OperationRouter:
    """Matches method and path against the operations of all services.

    A literal segment goes before a wildcard.

    :param cfg: the configuration that names the operations.
    """

    def __init__(self, cfg: Configuration) -> None:
        self._roots: dict[str, _Node] = {}
        for service in cfg.services.values():
            for operation in service.operations:
                self._add(service, operation)

    def match(self, method: str, target: str) -> OperationMatch:
        """Return what a request asks for.

        :param method: HTTP method.
        :param target: path and query as they stand in the request line.
        :raises FoxtailshuntError: with ``NO_ROUTE`` if no operation matches, with ``BAD_REQUEST``
            if the key is missing or malformed.
        """
        path, _, query = target.partition("?")
        segments = path.split("/")
        compiled = self._find(method, segments)
        if compiled is None:
            raise FoxtailshuntError(ResultCode.NO_ROUTE, f"no operation matches {method} here")
        if compiled.key_index is None:
            raw_key = _query_value(query, compiled.operation.key_query or "")
        else:
            raw_key = segments[compiled.key_index]
        return OperationMatch(compiled.service, compiled.operation, _decode_key(raw_key))

    def _add(self, service: Service, operation: Operation) -> None:
        segments = operation.path.split("/")
        key_index = segments.index(_KEY_SEGMENT) if _KEY_SEGMENT in segments else None
        node = self._roots.setdefault(operation.method, _Node())
        for segment in segments:
            node = _child(node, segment)
        node.leaf = _CompiledOperation(service, operation, key_index)

    def _find(self, method: str, segments: list[str]) -> _CompiledOperation | None:
        root = self._roots.get(method)
        return _walk(root, segments, 0) if root else None


def _child(node: _Node, segment: str) -> _Node:
    if segment.startswith("{") and segment.endswith("}"):
        if node.wildcard is None:
            node.wildcard = _Node()
        return node.wildcard
    return node.literals.setdefault(segment, _Node())


def _walk(node: _Node, segments: list[str], index: int) -> _CompiledOperation | None:
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


def _query_value(query: str, name: str) -> str:
    values = [
        value for key, _, value in (pair.partition("=") for pair in query.split("&")) if key == name
    ]
    if len(values) != 1:
        raise FoxtailshuntError(
            ResultCode.BAD_REQUEST, f"the query parameter {name} must stand exactly once"
        )
    return values[0].replace("+", " ")


def _decode_key(raw_key: str) -> str:
    if not raw_key:
        raise FoxtailshuntError(ResultCode.BAD_REQUEST, "the key is empty")
    try:
        key = unquote_to_bytes(raw_key).decode() if "%" in raw_key else raw_key
    except UnicodeDecodeError:
        raise FoxtailshuntError(ResultCode.BAD_REQUEST, "the key is not UTF-8")
    if not key.isprintable():
        raise FoxtailshuntError(ResultCode.BAD_REQUEST, "the key has unprintable characters")
    if len(key) > MAX_KEY_LENGTH:
        raise FoxtailshuntError(
            ResultCode.BAD_REQUEST, f"the key is over {MAX_KEY_LENGTH} characters"
        )
    return key
