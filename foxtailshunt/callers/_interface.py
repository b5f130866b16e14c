"""What a node needs of an interface for callers."""

from typing import Protocol

from foxtailshunt.callers._types import Failure, Headers, Reply, RequestInfo
from foxtailshunt.routing import RouteMatch


class CallerInterface(Protocol):
    """Reads requests of callers and forms their answers; decides nothing."""

    def request_id(self, headers: Headers) -> str:
        """Return the id that a request is known by.

        :param headers: the request's headers.
        :raises FoxtailshuntError: with ``BAD_REQUEST`` if the caller's id is malformed.
        """
        ...

    def read(self, request_id: str, match: RouteMatch, headers: Headers) -> RequestInfo:
        """Return what a caller says about its request.

        :param request_id: id of the request.
        :param match: its route.
        :param headers: the request's headers.
        :raises FoxtailshuntError: with ``BAD_REQUEST`` if a header is malformed.
        """
        ...

    def success(self, request_id: str, status: int, headers: Headers, body: bytes) -> Reply:
        """Return the answer that carries an upstream's answer.

        :param request_id: id of the request.
        :param status: the upstream's status.
        :param headers: the upstream's headers for the caller.
        :param body: the upstream's body.
        """
        ...

    def failure(self, request_id: str, failure: Failure) -> Reply:
        """Return the answer to a request that has no upstream's answer.

        :param request_id: id of the request; empty if it is not known.
        :param failure: why.
        """
        ...
