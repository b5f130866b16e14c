"""HTTP request that is passed to a handler."""

import json
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs


@dataclass(frozen=True, slots=True)
class Request:
    """An HTTP request with its body."""

    #: HTTP method.
    method: str
    #: Path without the query.
    path: str
    #: Undecoded query string, without the question mark.
    query: str
    #: Headers by lower-case name.
    headers: dict[str, str]
    #: Body.
    body: bytes
    #: Source IP address of the connection.
    caller_ip: str

    def query_value(self, name: str) -> str | None:
        """Return the first value of a query parameter, or None.

        :param name: name of the parameter.
        """
        return parse_qs(self.query).get(name, [None])[0]

    def json_body(self) -> dict[str, Any]:
        """Return the JSON object in the body; an empty body is an empty object.

        :raises ValueError: the body is not a JSON object.
        """
        value = json.loads(self.body or b"{}")
        if not isinstance(value, dict):
            raise ValueError("request body is not a JSON object")
        return value
