"""Validates fields of messages, which the generated code does not do by itself."""

from collections.abc import Callable
from functools import cache
from typing import Any

from thrift.Thrift import TType
from thrift.transport.TTransport import TTransportException

_SPEC_TYPE, _SPEC_NAME, _SPEC_ARGS = 1, 2, 3
#: Stands for bytes that are not UTF-8 in text that the compiled decoder returns.
_REPLACEMENT_CHARACTER = "\ufffd"


class ReplacedTextError(TTransportException):
    """Text of a request contains the replacement character, so it may not have been UTF-8."""


def check_required_fields(message: Any) -> None:
    """Check the required fields of a message and of all nested messages.

    :param message: a struct of the protocol.
    :raises TProtocolException: a required field is missing.
    """
    message.validate()
    for name, is_list in _nested_fields(type(message)):
        value = getattr(message, name)
        if value is None:
            continue
        for nested in value if is_list else (value,):
            check_required_fields(nested)


class ValidatingHandler:
    """Wraps a handler and validates requests; an invalid request closes its connection.

    :param handler: object whose methods handle the calls.
    :param is_text_checked: False if the decoder rejects text that is not UTF-8.
    :param on_valid: called before each call of the handler.
    """

    def __init__(
        self, handler: Any, is_text_checked: bool, on_valid: Callable[[], None] = lambda: None
    ) -> None:
        self._handler = handler
        self._on_valid = on_valid
        self._is_text_checked = is_text_checked

    def __getattr__(self, name: str) -> Any:
        method = getattr(self._handler, name)

        def call(req: Any) -> Any:
            _check_request(req)
            if self._is_text_checked and _has_replaced_text(req):
                raise ReplacedTextError()
            self._on_valid()
            return method(req)

        return call


def _check_request(req: Any) -> None:
    if req is None:
        raise TTransportException(message="the call has no request struct")
    try:
        check_required_fields(req)
    except Exception as exc:
        # The generated code would turn an exception of another type into an error reply.
        raise TTransportException(message=str(exc))


def _has_replaced_text(message: Any) -> bool:
    for name, is_list in _text_fields(type(message)):
        value = getattr(message, name)
        texts = value if is_list else (value,)
        if any(_REPLACEMENT_CHARACTER in text for text in texts or () if text is not None):
            return True
    for name, is_list in _nested_fields(type(message)):
        value = getattr(message, name)
        nested = value if is_list else (value,)
        if any(_has_replaced_text(item) for item in nested or () if item is not None):
            return True
    return False


@cache
def _text_fields(struct_class: type) -> tuple[tuple[str, bool], ...]:
    fields = []
    for spec in struct_class.thrift_spec:  # type: ignore[attr-defined]
        if spec is None:
            continue
        is_list = spec[_SPEC_TYPE] == TType.LIST
        args = spec[_SPEC_ARGS]
        is_text = args[:2] == (TType.STRING, "UTF8") if is_list else args == "UTF8"
        if is_text:
            fields.append((spec[_SPEC_NAME], is_list))
    return tuple(fields)


@cache
def _nested_fields(struct_class: type) -> tuple[tuple[str, bool], ...]:
    fields = []
    for spec in struct_class.thrift_spec:  # type: ignore[attr-defined]
        if spec is None:
            continue
        is_list = spec[_SPEC_TYPE] == TType.LIST
        if spec[_SPEC_TYPE] == TType.STRUCT or (is_list and spec[_SPEC_ARGS][0] == TType.STRUCT):
            fields.append((spec[_SPEC_NAME], is_list))
    return tuple(fields)
