"""Protocol that every caller interface implements."""

from typing import Protocol

from foxtailshunt.callers._types import Failure, Headers, Reply, RequestInfo
from foxtailshunt.routing import RouteMatch


class CallerInterface(Protocol):
    """Parses request headers of callers and formats replies; makes no routing decisions."""

    def request_id(self, headers: Headers) -> str:
        """Return the id of a request.

        :param headers: the request's headers.
        :raises FoxtailshuntError: with ``BAD_REQUEST`` if the id sent by the caller is malformed.
        """
        ...

    def read(self, request_id: str, match: RouteMatch, headers: Headers) -> RequestInfo:
        """Parse the headers of a request.

        :param request_id: id of the request.
        :param match: the matched route.
        :param headers: the request's headers.
        :raises FoxtailshuntError: with ``BAD_REQUEST`` if a header is malformed.
        """
        ...

    def success(self, request_id: str, status: int, headers: Headers, body: bytes) -> Reply:
        """Return the reply that carries the response of an upstream.

        :param request_id: id of the request.
        :param status: HTTP status of the upstream's response.
        :param headers: headers of the upstream's response to pass to the caller.
        :param body: body of the upstream's response.
        """
        ...

    def failure(self, request_id: str, failure: Failure) -> Reply:
        """Return the reply to a request that failed without a response of an upstream.

        :param request_id: id of the request; empty if unknown.
        :param failure: cause of the failure.
        """
        ...
