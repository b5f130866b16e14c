"""Since when this dispatcher has seen every request of a key."""

from collections.abc import Callable

from foxtailshunt.ownership import UpstreamRow
from foxtailshunt.timing import Clock

#: Time between two observations of the right after which another dispatcher may have had it in
#: between, in seconds; well below the assent period.
_MAX_OBSERVATION_GAP_S = 0.3


class MemoryEra:
    """The moments from which on one upstream's requests were all sent here.

    A key's moment is when the right to send its requests was first seen here, without a gap since.
    It starts anew when the right lapses, when the upstream gains the key's slot, and when the key
    is pinned to the upstream or returned to its slot. Its owner's lock guards it.

    :param clock: the clock; moments are wall time, to be compared with request ids.
    :param slot_of: returns the slot of a key.
    """

    def __init__(self, clock: Clock, slot_of: Callable[[str], int]) -> None:
        self._clock = clock
        self._slot_of = slot_of
        self._row: UpstreamRow | None = None
        self._observed_at: float | None = None
        self._slots: dict[int, float] = {}
        self._keys: dict[str, float] = {}
        self._pending_keys: set[str] = set()

    def take_row(self, row: UpstreamRow | None) -> None:
        """Follow a change of the upstream's row in the table.

        :param row: the row now.
        """
        old = self._row
        self._row = row
        if old is None or row is None:
            self.end()
            return
        for slot in old.slots - row.slots:
            self._slots.pop(slot, None)
        gained = (row.pins - old.pins) | (old.excluded - row.excluded - row.pins)
        for key in gained:
            self._keys.pop(key, None)
            self._pending_keys.add(key)

    def end(self) -> None:
        """Forget all moments because the right lapsed."""
        self._observed_at = None
        self._slots.clear()
        self._keys.clear()
        self._pending_keys.clear()

    def observe(self, is_held: bool, may_send: Callable[[int, str], bool]) -> None:
        """Observe the right; called at short intervals.

        :param is_held: whether this dispatcher is the upstream's only sender now.
        :param may_send: returns whether the right to send for a slot and key is in force now.
        """
        row = self._row
        if row is None or not is_held:
            self.end()
            return
        self._note_observation()
        for slot in row.slots.difference(self._slots):
            if not may_send(slot, ""):
                break
            self._slots[slot] = self._clock.wall_time()
        for key in [*self._pending_keys, *row.pins.difference(self._keys)]:
            if may_send(self._slot_of(key), key):
                self._keys[key] = self._clock.wall_time()
                self._pending_keys.discard(key)

    def since(self, slot: int, key: str) -> float:
        """Return the moment of a key, now if it had none; called while the right is in force.

        :param slot: the key's slot.
        :param key: the key.
        :returns: wall time in seconds since the epoch.
        """
        self._note_observation()
        if key in self._pending_keys or (self._row and key in self._row.pins):
            self._pending_keys.discard(key)
            return self._keys.setdefault(key, self._clock.wall_time())
        moment = self._slots.setdefault(slot, self._clock.wall_time())
        return max(moment, self._keys.get(key, moment))

    def _note_observation(self) -> None:
        now = self._clock.now()
        last = self._observed_at
        if last is not None and now - last > _MAX_OBSERVATION_GAP_S:
            self.end()
        self._observed_at = now
