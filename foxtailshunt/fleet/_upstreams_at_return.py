"""The upstreams that a node knew when the store returned from an older copy."""

import threading
from collections.abc import Mapping
from dataclasses import replace

from foxtailshunt.fleet._era import era_of
from foxtailshunt.fleet._types import Upstream


class UpstreamsAtReturn:
    """What a node knew of upstreams before the store's return; safe to use from any thread.

    The copy shows upstreams that have left since it was taken, or as ready ones that are leaving,
    and lacks those that registered later. So what was known counts until an upstream writes its
    entry again. A node that knew no upstreams uses what it reads.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        #: Revision of the first list after the return; 0 if there was none.
        self._first_revision = 0
        #: When it was read, in seconds of the reader's clock.
        self.listed_at = float("-inf")
        #: The upstreams that were known before it, by id.
        self.known: Mapping[str, Upstream] = {}

    def observe_list(self, revision: int, known: Mapping[str, Upstream], now: float) -> None:
        """Record that a complete list was read; the first one of a later era shows a return.

        :param revision: revision of the list.
        :param known: the upstreams that are known without it, by id.
        :param now: the current time, in seconds of the clock.
        """
        with self._lock:
            if era_of(revision) > era_of(self._first_revision):
                self._first_revision, self.listed_at = revision, now
                self.known = known

    def judge(self, upstream: Upstream, revision: int) -> Upstream | None:
        """Return an upstream as it counts; None until it has written its entry again.

        :param upstream: the upstream by its entry.
        :param revision: revision of the entry.
        """
        with self._lock:
            if not self.known or revision > self._first_revision:
                return upstream
            before = self.known.get(upstream.upstream_id)
        if before is None:
            return None
        if before.incarnation == upstream.incarnation:
            return replace(upstream, leaving=upstream.leaving or before.leaving)
        return upstream if upstream.started_ms >= before.started_ms else before
