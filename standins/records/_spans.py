"""Times over which an upstream held something, and overlaps between upstreams."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Span:
    """An upstream held something from a start to an end."""

    #: Id of the upstream.
    upstream: str
    #: When it began.
    start: float
    #: When it ended.
    end: float


@dataclass(frozen=True, slots=True)
class Overlap:
    """Two upstreams held the same at one moment."""

    #: Ids of both upstreams; the one that began first stands first.
    upstreams: tuple[str, str]
    #: When both held it.
    start: float
    #: When one of them ended.
    end: float


def overlap_of(first: Span, second: Span) -> Overlap | None:
    """Return the overlap of two spans of different upstreams, or None.

    :param first: a span.
    :param second: another.
    """
    start = max(first.start, second.start)
    end = min(first.end, second.end)
    if first.upstream == second.upstream or start >= end:
        return None
    earlier, later = sorted((first, second), key=lambda span: span.start)
    return Overlap((earlier.upstream, later.upstream), start, end)


def overlaps_among(spans: Iterable[Span]) -> Iterator[Overlap]:
    """Yield each overlap between spans of different upstreams.

    :param spans: spans of the same thing.
    """
    open_spans: list[Span] = []
    for span in sorted(spans, key=lambda span: span.start):
        open_spans = [other for other in open_spans if other.end > span.start]
        for other in open_spans:
            overlap = overlap_of(other, span)
            if overlap is not None:
                yield overlap
        open_spans.append(span)
