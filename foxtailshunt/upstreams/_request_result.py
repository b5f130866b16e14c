"""What the result of a request states about its upstream."""

from enum import Enum


class RequestResult(Enum):
    """The result of a request that was sent, or was to be sent, to an upstream."""

    #: The upstream responded, with a status below 500.
    SERVED = "served"
    #: The upstream responded with a status of 500 or above, or with an unusable response.
    ERROR = "error"
    #: The upstream refused the request, although it had a free slot by the sender's count.
    REFUSED = "refused"
    #: No connection could be established.
    UNREACHABLE = "unreachable"
    #: The connection was lost, or no response came within several times the usual latency.
    NO_RESPONSE = "no_response"
    #: Says nothing about the upstream: the caller left, the key moved, or the time was short.
    NOT_RATED = "not_rated"

    @property
    def is_failure(self) -> bool:
        """Return whether the upstream failed the request."""
        return self not in (RequestResult.SERVED, RequestResult.NOT_RATED)

    @property
    def is_unanswered(self) -> bool:
        """Return whether the upstream did not respond at all."""
        return self in (RequestResult.UNREACHABLE, RequestResult.NO_RESPONSE)
