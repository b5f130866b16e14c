"""The assents that this dispatcher was given, and what they allow at this moment."""

import math
import threading
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from foxtailshunt.membership import View
from foxtailshunt.ownership._periods import ASSENT_PERIOD_S, surely_in_force_for
from foxtailshunt.ownership._records import Fence
from foxtailshunt.timing import Clock

#: Time from the sending of a request for assent for which the assent counts, in seconds.
ASSENT_IN_FORCE_S = surely_in_force_for(ASSENT_PERIOD_S)

WitnessSets = tuple[tuple[str, ...], ...]


@dataclass(frozen=True, slots=True)
class _Assent:
    #: When the request was sent, in seconds of the local clock.
    sent_at: float
    #: The fence of the upstream's row in the request.
    fence: Fence
    #: The holder that the witness knew before this dispatcher; empty if none.
    previous: str = ""


#: Assents for one upstream, by witness.
Assents = dict[str, _Assent]


class AssentLedger:
    """Counts assents by upstream and witness; safe to use from any thread.

    An assent has two uses. Whatever its fence, it keeps every other dispatcher from being
    assented to, so a majority of each witness set makes this dispatcher the only sender
    (:meth:`holds`). An assent for a fence also makes its witness refuse lower fences from then on,
    so a majority for the fence of the row makes sure that no dispatcher with an older table will
    send again (:meth:`holds_fence`); grants under a fence need that one.

    :param view: its newest table names the witness sets.
    :param zone: the availability zone of this dispatcher.
    :param clock: a monotonic clock, read at each use.
    """

    def __init__(self, view: View, zone: str, clock: Clock) -> None:
        self._view = view
        self._zone = zone
        self._clock = clock
        self._lock = threading.Lock()
        # By upstream, then by witness; the inner dicts are replaced, never changed.
        self._assents: dict[str, Assents] = {}
        self._held_since: dict[str, float] = {}
        self._dropped_at: dict[str, float] = {}
        self._known_sets: WitnessSets = ()

    def holds(self, upstream_id: str) -> bool:
        """Return whether this dispatcher is the upstream's only sender at this moment.

        :param upstream_id: the upstream.
        """
        return self._has_majorities(self._assents.get(upstream_id), self._witness_sets(), None)

    def holds_fence(self, upstream_id: str, fence: Fence) -> bool:
        """Return whether it is, and most witnesses refuse all lower fences.

        :param upstream_id: the upstream.
        :param fence: the fence of the upstream's row.
        """
        return self._has_majorities(self._assents.get(upstream_id), self._witness_sets(), fence)

    def last_held_since(self, upstream_id: str) -> float | None:
        """Return when the right held now or last began without a break; takes no lock.

        :param upstream_id: the upstream.
        """
        return self._held_since.get(upstream_id)

    def held_since(self, upstream_id: str) -> float | None:
        """Return when the right held now began without a break, or None if it is not held.

        :param upstream_id: the upstream.
        """
        with self._lock:
            self._compare_sets()
            if not self.holds(upstream_id):
                return None
            return self._held_since.get(upstream_id)

    def record(
        self,
        witness: str,
        sent_at: float,
        fences: dict[str, Fence],
        granted: Iterable[str],
        previous: Mapping[str, str] | None = None,
    ) -> list[str]:
        """Count the assents of one reply.

        :param witness: the witness's boot id.
        :param sent_at: a moment before the upstreams asked for were chosen and the request was
            sent, in seconds of the local clock.
        :param fences: the fences asked for, by upstream.
        :param granted: the upstreams assented to.
        :param previous: boot ids of the holders before this dispatcher, by upstream.
        :returns: the upstreams that this dispatcher may send to only since this reply.
        """
        gained = []
        with self._lock:
            self._compare_sets()
            for upstream_id in granted:
                dropped_at = self._dropped_at.get(upstream_id, -math.inf)
                if upstream_id in fences and sent_at > dropped_at:
                    before = (previous or {}).get(upstream_id, "")
                    assent = _Assent(sent_at, fences[upstream_id], before)
                    if self._add(upstream_id, witness, assent):
                        gained.append(upstream_id)
        return gained

    def previous_holder(self, upstream_id: str) -> str | None:
        """Return the dispatcher that held the upstream directly before this one, None if unsure.

        A majority of every witness set names it. Any sender in between under one of these sets
        had a majority of it, so at least one of the witnesses that count would name that one.

        :param upstream_id: the upstream.
        :returns: its boot id.
        """
        assents = self._assents.get(upstream_id, {})
        sets = self._witness_sets()
        if not self.holds(upstream_id) or not sets:
            return None
        oldest = self._clock.now() - ASSENT_IN_FORCE_S
        named = {_named_by_majority(assents, members, oldest) for members in sets}
        return named.pop() if len(named) == 1 else None

    def is_predecessor_named(self, upstream_id: str) -> bool:
        """Return whether any witness names an earlier holder of an upstream.

        :param upstream_id: the upstream.
        """
        return any(assent.previous for assent in self._assents.get(upstream_id, {}).values())

    def drop(self, upstream_id: str) -> None:
        """Stop counting what was asked for until now.

        A reply to a request sent before counts nothing either.

        :param upstream_id: the upstream.
        """
        with self._lock:
            self._dropped_at[upstream_id] = self._clock.now()
            self._assents.pop(upstream_id, None)
            self._held_since.pop(upstream_id, None)

    def note_table(self) -> None:
        """Compare the witness sets with those of the newest table; called after each change."""
        with self._lock:
            self._compare_sets()

    def held_upstreams(self) -> list[str]:
        """Return the upstreams that this dispatcher may send to."""
        return [upstream_id for upstream_id in list(self._assents) if self.holds(upstream_id)]

    def _witness_sets(self) -> WitnessSets:
        table = self._view.table(self._zone)
        return table.witness_sets if table else ()

    def _has_majorities(
        self, assents: Assents | None, sets: WitnessSets, fence: Fence | None
    ) -> bool:
        if not assents or not sets:
            return False
        oldest = self._clock.now() - ASSENT_IN_FORCE_S
        for members in sets:
            count = 0
            for witness in members:
                assent = assents.get(witness)
                if assent is None or assent.sent_at <= oldest:
                    continue
                if fence is None or assent.fence >= fence:
                    count += 1
            if count * 2 <= len(members):
                return False
        return True

    def _add(self, upstream_id: str, witness: str, assent: _Assent) -> bool:
        assents = {**self._assents.get(upstream_id, {}), witness: assent}
        # Held without a start: new witness sets gave the right after a break under the old ones.
        unbroken = upstream_id in self._held_since and self.holds(upstream_id)
        gained = not unbroken and self._has_majorities(assents, self._witness_sets(), None)
        if gained:
            # Set first, so that no thread takes the new right for the last one.
            self._held_since[upstream_id] = self._clock.now()
        self._assents[upstream_id] = assents
        return gained

    def _compare_sets(self) -> None:
        """Forget since when a right is held unless it is held under old and new witness sets."""
        sets = self._witness_sets()
        if sets == self._known_sets:
            return
        for upstream_id in list(self._held_since):
            assents = self._assents.get(upstream_id)
            kept = self._has_majorities(assents, sets, None)
            if not kept or not self._has_majorities(assents, self._known_sets, None):
                del self._held_since[upstream_id]
        self._known_sets = sets
        self._drop_unknown_witnesses(sets)

    def _drop_unknown_witnesses(self, sets: WitnessSets) -> None:
        known = {witness for members in sets for witness in members}
        for upstream_id, assents in list(self._assents.items()):
            left = {witness: assent for witness, assent in assents.items() if witness in known}
            if left:
                self._assents[upstream_id] = left
            else:
                del self._assents[upstream_id]


def _named_by_majority(assents: Assents, members: tuple[str, ...], oldest: float) -> str | None:
    in_force = [
        assents[witness]
        for witness in members
        if witness in assents and assents[witness].sent_at > oldest
    ]
    counts = Counter(assent.previous for assent in in_force if assent.previous)
    for boot_id, count in counts.items():
        if count * 2 > len(members):
            return boot_id
    return None
