"""The formats of configuration documents that the product reads."""

import json
from collections.abc import Callable
from dataclasses import dataclass

from foxtailshunt.checks import Description
from foxtailshunt.config import CONFIG_KEY, describe_file, describe_record
from foxtailshunt.platform import CONFIGURATION_KEY, describe_configuration


@dataclass(frozen=True, slots=True)
class DocumentFormat:
    """A format of configuration documents."""

    #: Name of the interface that uses it, as in the settings of nodes.
    interface: str
    #: Key of the version in force in the store.
    store_key: str
    #: Describes a document that an operator wrote.
    describe: Callable[[str], Description]
    #: Returns the place of a value in the order of configurations, which is the era that it states
    #: and its version, and its description.
    describe_stored: Callable[[bytes], tuple[tuple[int, int], Description]]


def _describe_platform_text(text: str) -> Description:
    return describe_configuration(text.encode())


def _describe_platform_value(value: bytes) -> tuple[tuple[int, int], Description]:
    description = describe_configuration(value)
    return (0, description.version or 0), description


#: Format of the files that are applied with the operator command.
OWN_FORMAT = DocumentFormat("own", CONFIG_KEY, describe_file, describe_record)
#: Format of the platform's operator.
PLATFORM_FORMAT = DocumentFormat(
    "platform", CONFIGURATION_KEY, _describe_platform_text, _describe_platform_value
)
#: All formats by the name of their interface.
FORMATS = {item.interface: item for item in (OWN_FORMAT, PLATFORM_FORMAT)}


def detect_format(text: str) -> DocumentFormat:
    """Return the format of a document; the own format if it cannot be determined.

    :param text: content of the document, which may be malformed.
    """
    try:
        document = json.loads(text, parse_int=str)
    except (ValueError, RecursionError):
        return OWN_FORMAT
    if not isinstance(document, dict) or "fleet" in document:
        return OWN_FORMAT
    # In the own format, the services are a list and contain the routes.
    is_platform = "routes" in document or isinstance(document.get("services"), dict)
    return PLATFORM_FORMAT if is_platform else OWN_FORMAT
