"""Outcomes of requests."""

from dataclasses import dataclass

from foxtailshunt.errors import Family, ResultCode, family_of


@dataclass(frozen=True, slots=True)
class Outcome:
    """The outcome of one attempt of a request."""

    #: Result code.
    code: ResultCode
    #: Reason in words, for logs.
    detail: str
    #: HTTP status of the upstream's response; 0 if there is none.
    status: int = 0
    #: Headers of the upstream's response that are passed to the caller.
    headers: tuple[tuple[str, str], ...] = ()
    #: Body of the upstream's response.
    body: bytes = b""
    #: Time after which a retry may succeed, in seconds; None if unknown.
    retry_after_s: float | None = None
    #: The upstream that was chosen for the request, if any.
    upstream_id: str | None = None
    #: True if the request reached, or may have reached, an upstream.
    arrived: bool = False
    #: Instance that queued the request and sent it to the upstream; empty if unknown.
    sender: str = ""
    #: Time in that instance's queue, in seconds.
    queued_s: float = 0.0
    #: Time that the upstream took, in seconds; 0 if the request was not sent to one.
    upstream_s: float = 0.0

    @property
    def family(self) -> Family:
        """Return whether the request was executed, was not executed, or may have been."""
        return family_of(self.code)
