"""Findings about a valid configuration."""

from dataclasses import dataclass
from enum import StrEnum


class Category(StrEnum):
    """What is wrong with an entry of a configuration."""

    #: The configuration is invalid.
    ERROR = "error"
    #: The entry can never take effect.
    NO_EFFECT = "no-effect"
    #: The entry contradicts another one.
    CONTRADICTION = "contradiction"


class FindingKind(StrEnum):
    """Kind of a finding; a stable name for programs that read the output."""

    HIDDEN_ROUTE = "hidden-route"
    UNMATCHABLE_ROUTE = "unmatchable-route"
    UNCLOSED_PLACEHOLDER = "unclosed-placeholder"
    UNROUTED_SERVICE = "unrouted-service"
    UNUSED_FLOOR = "unused-floor"
    UNUSED_ZONE = "unused-zone"
    UNKNOWN_REGION = "unknown-region"
    IGNORED_VALUE = "ignored-value"
    REPEATED_NAME = "repeated-name"
    UNDEFINED_SERVICE = "undefined-service"
    NO_WEIGHT = "no-weight"
    OBJECTIVE_ABOVE_TIMEOUT = "objective-above-timeout"
    ZERO_TIMEOUT = "zero-timeout"
    RATE_WITHOUT_WARMUP = "rate-without-warmup"
    ATTEMPTS_ABOVE_UPSTREAMS = "attempts-above-upstreams"
    OUTDATED_VERSION = "outdated-version"

    @property
    def category(self) -> Category:
        """Return the category of this kind."""
        return Category.CONTRADICTION if self in _CONTRADICTIONS else Category.NO_EFFECT


_CONTRADICTIONS = frozenset(
    {
        FindingKind.UNDEFINED_SERVICE,
        FindingKind.NO_WEIGHT,
        FindingKind.OBJECTIVE_ABOVE_TIMEOUT,
        FindingKind.ZERO_TIMEOUT,
        FindingKind.RATE_WITHOUT_WARMUP,
        FindingKind.ATTEMPTS_ABOVE_UPSTREAMS,
        FindingKind.OUTDATED_VERSION,
    }
)


@dataclass(frozen=True, slots=True)
class Finding:
    """One finding about an entry of a configuration."""

    #: Kind of the finding.
    kind: FindingKind
    #: Path of the entry in the document, with names in place of list positions.
    location: str
    #: Description for the operator.
    message: str
