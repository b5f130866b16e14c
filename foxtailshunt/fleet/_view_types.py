"""Types of a node's view: versions, changes, and what follows them."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from foxtailshunt.fleet._types import Upstream


@dataclass(frozen=True, slots=True)
class Versions:
    """Versions of the parts of a view; 0 for a part that is not known yet."""

    #: Version of the configuration.
    configuration: int = 0
    #: Term of the leader that published the other parts.
    term: int = 0
    #: Version of the list of upstreams, within the term.
    upstreams: int = 0
    #: Version of the ownership table, within the term.
    ownership: int = 0
    #: Version of the list of members, within the term.
    members: int = 0
    #: Revision of the store at which the evacuations were read, in any term.
    evacuations: int = 0
    #: Era of the store in which the configuration was written, as the configuration states it. It
    #: precedes the version in the order of configurations.
    configuration_era: int = 0

    @property
    def configuration_order(self) -> tuple[int, int]:
        """Return the place of the configuration in the order of configurations."""
        return self.configuration_era, self.configuration


@dataclass(frozen=True, slots=True)
class UpstreamChanges:
    """The difference between two lists of upstreams."""

    #: Upstreams that are new or differ.
    changed: tuple[Upstream, ...]
    #: Ids of upstreams that are gone.
    removed: tuple[str, ...]


class UpstreamObserver(Protocol):
    """Follows the warm-up of upstreams."""

    def observe(self, upstreams: Mapping[str, Upstream], age_s: float) -> None:
        """Record a complete list of upstreams, or a later read that found no change.

        :param upstreams: the upstreams by id.
        :param age_s: time since the list was read, in seconds.
        """
        ...

    def record_evacuation_end(self, zone: str) -> None:
        """Record that upstreams of a zone may get requests again.

        :param zone: the zone.
        """
        ...

    def warmup_remaining_s(self, upstream: Upstream) -> float:
        """Return how long an upstream stays cold, in seconds; 0 if it is warm.

        :param upstream: the upstream.
        """
        ...
