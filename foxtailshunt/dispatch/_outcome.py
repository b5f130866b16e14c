"""The outcome of one request, before it becomes a reply."""

from dataclasses import dataclass

from foxtailshunt.errors import Family, ResultCode, family_of


@dataclass(frozen=True, slots=True)
class Outcome:
    """What became of a request."""

    #: The numbered result.
    code: ResultCode
    #: One sentence on the cause, empty if the code says it all.
    detail: str = ""
    #: HTTP status of the upstream's answer, 0 without one.
    status: int = 0
    #: Headers of the upstream's answer.
    headers: tuple[tuple[str, str], ...] = ()
    #: Body of the upstream's answer.
    body: bytes = b""

    @property
    def family(self) -> Family:
        """Return whether the request ran."""
        return family_of(self.code)

    def size_bytes(self) -> int:
        """Return the size of the answer in bytes."""
        headers = sum(len(name) + len(value) for name, value in self.headers)
        return len(self.body) + headers + len(self.detail)
