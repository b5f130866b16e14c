"""The newest ownership table that a node holds in memory."""

from dataclasses import dataclass

from foxtailshunt.fleet._era import era_of
from foxtailshunt.fleet._types import KeyRange


@dataclass(frozen=True, slots=True, order=True)
class TablePosition:
    """Place of a table in the order in which tables were published."""

    #: Era of the store in which the table was published.
    era: int
    #: Term of the leader that published it.
    term: int
    #: The highest fencing token in it.
    token: int


@dataclass(frozen=True, slots=True)
class TableCopy:
    """An ownership table with its origin."""

    #: Term of the leader that published it.
    term: int
    #: The ranges.
    ranges: tuple[KeyRange, ...]
    #: The era of the store before which no leader published a later table, as its leader, which has
    #: stopped, has established; 0 if that is not known.
    final_before: int = 0

    @property
    def position(self) -> TablePosition:
        """Return the place of the table in the order of tables."""
        token = max((item.fence for item in self.ranges), default=0)
        return TablePosition(era_of(self.term), self.term, token)
