"""Models of the platform's answers, and their conversion to data classes."""

from base64 import b64decode
from typing import Literal

from pydantic import BaseModel, TypeAdapter, ValidationError

from foxtailshunt.errors import StoreUnavailableError, StoreUnknownError
from foxtailshunt.kvstore._interface import InstanceState, InstanceStatus, StoreRecord


class _KvEntry(BaseModel):
    """One entry of ``GET /v1/kv``."""

    Value: str | None
    ModifyIndex: int


class _Session(BaseModel):
    """The answer of ``PUT /v1/session/create``."""

    ID: str


class _NodeMeta(BaseModel):
    """The part of a node's metadata that is read."""

    state: Literal["live", "leaving"]


class _Node(BaseModel):
    """One entry of ``GET /v1/catalog/nodes``."""

    Node: str
    Meta: _NodeMeta


_KV_ENTRIES = TypeAdapter(list[_KvEntry])
_NODES = TypeAdapter(list[_Node])
_FLAG = TypeAdapter(bool)


def record_of(key: str, body: bytes) -> StoreRecord:
    """Return the record in an answer of ``GET /v1/kv``.

    :param key: the key that was asked for.
    :param body: the answer's body.
    :raises StoreUnavailableError: the body is malformed.
    """
    try:
        entry = _KV_ENTRIES.validate_json(body)[0]
        value = b64decode(entry.Value or "").decode()
    except (ValidationError, IndexError, ValueError) as exc:
        raise StoreUnavailableError(f"malformed answer to a read of {key}: {exc}")
    return StoreRecord(key, value, entry.ModifyIndex)


def instances_of(body: bytes) -> tuple[InstanceStatus, ...]:
    """Return the instances in an answer of ``GET /v1/catalog/nodes``.

    :param body: the answer's body.
    :raises StoreUnavailableError: the body is malformed.
    """
    try:
        nodes = _NODES.validate_json(body)
    except ValidationError as exc:
        raise StoreUnavailableError(f"malformed list of instances: {exc}")
    return tuple(InstanceStatus(node.Node, InstanceState(node.Meta.state)) for node in nodes)


def lease_id_of(body: bytes) -> str:
    """Return the id in an answer of ``PUT /v1/session/create``.

    :param body: the answer's body.
    :raises StoreUnknownError: the body is malformed.
    """
    try:
        return _Session.model_validate_json(body).ID
    except ValidationError as exc:
        raise StoreUnknownError(f"malformed answer to a new session: {exc}")


def flag_of(body: bytes) -> bool:
    """Return the ``true`` or ``false`` of an answer to a write.

    :param body: the answer's body.
    :raises StoreUnknownError: the body is neither.
    """
    try:
        return _FLAG.validate_json(body, strict=True)
    except ValidationError as exc:
        raise StoreUnknownError(f"malformed answer to a write: {exc}")
